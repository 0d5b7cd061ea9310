import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";

import { mostInWindow } from "../../bench/soak/workspaceChecks.js";

describe("count of what ran in a quota window", () => {
    it("should find the window with the most, wherever it begins", () => {
        expect(mostInWindow([], 5_000)).toEqual(0);
        expect(mostInWindow([0, 10, 4_000, 5_005], 5_000)).toEqual(3);
        expect(mostInWindow([0, 5_000, 10_000], 5_000)).toEqual(1);
        expect(mostInWindow([9, 3, 7, 100, 5], 10)).toEqual(4);
    });

    // Guards against a sliding count that skips windows, which would let a workspace exceed its quota unseen.
    it("should agree with a count of every window that begins at one of the times", () => {
        fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 500 })), times => {
            const counts = times.map(from => times.filter(time => time >= from && time < from + 100).length);
            expect(mostInWindow(times, 100)).toEqual(Math.max(0, ...counts));
        }));
    });
});
