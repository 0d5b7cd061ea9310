import { Progress } from "@marigolddrift/common";
import { expect } from "earl";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
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

    it("should read what has arrived during a stall of the process before it gives up", async () => {
        const server = createServer(socket => socket.end("in time"));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        // Neither must keep a failed test's process alive.
        server.unref();
        socket.unref();
        const progress = new Progress(50);
        const answer = new Promise<string>(resolve => socket.on("data", data => resolve(data.toString())));
        await once(server, "connection");
        const stalledUntil = performance.now() + 150;
        while (performance.now() < stalledUntil) {
            // The process is busy; the answer waits in its socket.
        }
        expect(await progress.race(answer)).toEqual("in time");
        server.close();
    });
});
