import { ProblemError, Progress } from "@marigolddrift/common";
import { CallSequencer } from "@marigolddrift/daemon";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

const runCall = async (sequencer: CallSequencer, call: number, ran: number[], progress: Progress): Promise<void> => {
    await sequencer.enter(call, progress);
    ran.push(call);
    sequencer.leave(call, true);
};

describe("the order of calls", () => {
    it("should run calls by number, whatever the order of their arrival", async () => {
        await withClock(async clock => {
            const progress = new Progress(60_000);
            const sequencer = new CallSequencer(1);
            const ran: number[] = [];
            const calls = [4, 2, 3, 1].map(call => runCall(sequencer, call, ran, progress));
            await clock.runAllAsync();
            await Promise.all(calls);
            expect(ran).toEqual([1, 2, 3, 4]);
        });
    });

    it("should wait for a missing earlier call until the deadline, and then report that the call did not run", async () => {
        await withClock(async clock => {
            const progress = new Progress(1_000);
            const waiting = runCall(new CallSequencer(1), 2, [], progress).catch((err: unknown) => err);
            await clock.tickAsync(1_001);
            expect((await waiting as ProblemError).verdict).toEqual("notRun");
        });
    });

    it("should allow a retry of a call that did not run", async () => {
        const progress = new Progress(1_000);
        const sequencer = new CallSequencer(1);
        await sequencer.enter(1, progress);
        sequencer.leave(1, false);
        await sequencer.enter(1, progress);
        expect(sequencer.nextCall).toEqual(1);
        progress.dispose();
    });

    it("should begin with the lowest call that arrives within the grace period after a change of owner", async () => {
        await withClock(async clock => {
            const progress = new Progress(60_000);
            const sequencer = new CallSequencer(undefined);
            const ran: number[] = [];
            const calls = [runCall(sequencer, 8, ran, progress)];
            await clock.tickAsync(100);
            calls.push(runCall(sequencer, 7, ran, progress));
            await clock.tickAsync(1_000);
            await Promise.all(calls);
            expect(ran).toEqual([7, 8]);
        });
    });

    it("should reject a call that arrives after a later one ran", async () => {
        const progress = new Progress(1_000);
        const sequencer = new CallSequencer(5);
        await expect(sequencer.enter(4, progress)).toBeRejectedWith(
            ProblemError,
            "Call 4 comes after call 4 ran.",
        );
        progress.dispose();
    });
});
