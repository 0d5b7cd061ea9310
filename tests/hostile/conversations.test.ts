import { expect } from "earl";
import { describe, it } from "node:test";
import type { TestContext } from "node:test";

import { callOrdinarily, playProgram } from "./programs.js";
import type { ProgramPlan } from "./programs.js";
import { useSmallestFront } from "./smallestFront.js";

const mb = 1_000_000;

// Guards against turns that are each within the limits, but continue conversations that together fill the memory: each call held a joined
// copy of its conversation and another one with its input, which nothing counted, and the process was ended with all calls of others.
describe("large conversations", () => {
    const setup = useSmallestFront();

    /** Plays programs beside ordinary callers; all are to be served within the memory of the process. */
    const play = async (t: TestContext, programs: number, plan: Omit<ProgramPlan, "name">): Promise<void> => {
        const stopCalls = callOrdinarily(setup.front);
        const outcomes = await Promise.all(
            Array.from({ length: programs }, (_, index) => playProgram(setup.front, { ...plan, name: `p-${index}` })),
        );
        expect(outcomes.flat().filter(outcome => outcome !== 200)).toEqual([]);
        expect(await stopCalls()).toEqual([]);
        expect(await setup.front.findFaults(t)).toEqual([]);
    };

    it("should be served if many sub-agents continue one at once", async t => {
        setup.front.streamingWorker.delayMs = 100;
        await play(t, 1, { turns: 2, inputBytes: 3.5 * mb, subAgents: 10 });
        const bodies = setup.front.streamingWorker.ran.map(({ body }) => body.length);
        expect(bodies.slice(2).every(length => length > 7 * mb)).toEqual(true);
    });

    it("should be served if several are continued at once", async t => {
        setup.front.streamingWorker.delayMs = 100;
        await play(t, 4, { turns: 2, inputBytes: 3 * mb, subAgents: 4 });
    });

    it("should be served if they consist of many turns of moderate size", async t => {
        setup.front.streamingWorker.delayMs = 20;
        await play(t, 6, { turns: 12, inputBytes: 0.3 * mb, subAgents: 6 });
    });

    it("should be served if the answers are what is large", async t => {
        Object.assign(setup.front.streamingWorker, { events: 16, eventBytes: 64 * 1024, delayMs: 10 });
        await play(t, 4, { turns: 3, inputBytes: 100, subAgents: 6 });
    });
});
