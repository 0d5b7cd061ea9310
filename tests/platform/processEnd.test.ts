import { LineLogger } from "@marigolddrift/common";
import { stopAndExit } from "@marigolddrift/platform";
import { expect } from "earl";
import { describe, it, mock } from "node:test";

/** Runs a stop; returns the exit codes in order and what was logged. The mocked exit returns, so that more than one may come. */
const playStop = async (stop: () => Promise<void>): Promise<{ readonly codes: unknown[]; readonly log: string; }> => {
    let log = "";
    const logger = new LineLogger({}, (bytes, done) => {
        log += String(bytes);
        done(undefined, bytes.length);
    });
    const exit = mock.method(process, "exit", (() => {}) as unknown as typeof process.exit);
    try {
        await stopAndExit(logger, stop);
        return { codes: exit.mock.calls.map(call => call.arguments[0]), log };
    }
    finally {
        exit.mock.restore();
    }
};

describe("the end of a process", () => {
    // Guards against a process that stays, and keeps its ports, because a part of it could not be stopped.
    it("should come and be logged if stopping fails", async () => {
        const { codes, log } = await playStop(() => Promise.reject(new Error("the disk is gone")));
        expect(codes[0]).toEqual(1);
        expect(log.includes("\"event\":\"stop failed\"")).toEqual(true);
    });

    it("should be an orderly one if stopping succeeds", async () => {
        const { codes } = await playStop(() => Promise.resolve());
        expect(codes).toEqual([0]);
    });
});
