import { Progress } from "@marigolddrift/common";
import { expect } from "earl";
import { describe, it } from "node:test";

const turnOfTheLoop = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 0));

describe("progress", () => {
    it("should wait for many answers at once without a warning", async () => {
        const warnings: Error[] = [];
        const note = (warning: Error): void => void warnings.push(warning);
        process.on("warning", note);
        const progress = new Progress(1_000);
        const asked = Array.from({ length: 20 }, () => progress.child(500));
        await turnOfTheLoop();
        asked.forEach(child => child.dispose());
        progress.dispose();
        process.off("warning", note);
        expect(warnings).toEqual([]);
    });

    it("should leave no rejection unhandled when the work has ended before the wait began", async () => {
        const unhandled: unknown[] = [];
        const note = (reason: unknown): void => {
            unhandled.push(reason);
        };
        process.on("unhandledRejection", note);
        try {
            const progress = new Progress(1_000);
            progress.abort(new Error("the deadline passed"));
            const late = Promise.reject(new Error("the store did not answer"));
            await expect(progress.race(late)).toBeRejectedWith("the deadline passed");
            await turnOfTheLoop();
        }
        finally {
            process.off("unhandledRejection", note);
        }
        expect(unhandled).toEqual([]);
    });
});
