import { expect } from "earl";
import { describe, it } from "node:test";

import { runSoak } from "../../bench/soak/soak.js";

/** Length of the run; starts beside other processes and kills of all fronts make it some twenty seconds longer. */
const seconds = 15;

describe("soak of real programs with overlapping starts", () => {
    // Guards against processes that end at a port that is taken. Has a file of its own, since all runs of a file have to end within its
    // time limit.
    it("should keep all promises to callers under overlapping faults, seed 5002", async () => {
        const options = { seed: 5_002, seconds, losesPower: true, overlapsStarts: true };
        const { violations, counts, faults } = await runSoak(options);
        expect(violations).toEqual([]);
        expect((counts["program complete"] ?? 0) > 0).toEqual(true);
        expect(faults.length).toSatisfy(count => count > 10);
    });
});
