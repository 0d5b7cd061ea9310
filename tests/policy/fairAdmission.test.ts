import { admitFairly, CallCosts, DecayingSum, DrainRate, fairRetryAfterMs, RecentKeys } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";
import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";

import { plainRecord } from "../arbitraries.js";

const load = {
    hasRoom: false,
    waiting: 40,
    ownWaiting: 10,
    isUnderserved: false,
    costAhead: 8_000,
    drainRate: 4,
    capacity: 20,
};
const request = { isContinuation: false, isReturning: false, leftMs: 5_000, expectedMs: 200 };

describe("fair admission", () => {
    // Guards against refusals of calls that would have been served, which a caller sees as an outage.
    it("should never refuse while there is room, nothing waits, or the durations are not known", () => {
        const loads = plainRecord({
            waiting: fc.integer({ min: 0, max: 1_000 }),
            ownWaiting: fc.integer({ min: 0, max: 1_000 }),
            isUnderserved: fc.boolean(),
            costAhead: fc.integer({ min: 0, max: 1_000_000 }),
            drainRate: fc.option(fc.double({ min: 0, max: 50, noNaN: true }), { nil: undefined }),
            capacity: fc.integer({ min: 0, max: 500 }),
        });
        fc.assert(fc.property(loads, fc.integer({ min: 1, max: 20_000 }), (some, leftMs) => {
            const kinds = [
                admitFairly({ ...some, hasRoom: true }, { ...request, leftMs }),
                admitFairly({ ...some, hasRoom: false, waiting: 0 }, { ...request, leftMs }),
                admitFairly({ ...some, hasRoom: false }, { ...request, leftMs, expectedMs: undefined }),
                admitFairly({ ...some, hasRoom: false, capacity: 0 }, { ...request, leftMs }),
            ].map(({ kind }) => kind);
            return kinds.every(kind => kind === "admit");
        }));
    });

    it("should refuse what cannot end in time, first calls before returning ones, and these before begun programs", () => {
        const kindOf = (costAhead: number, changes: Partial<typeof request>): string =>
            admitFairly({ ...load, costAhead }, { ...request, ...changes }).kind;
        const first = {};
        const returning = { isReturning: true };
        const begun = { isContinuation: true };
        expect([first, returning, begun].map(changes => kindOf(4_000, changes))).toEqual(["admit", "admit", "admit"]);
        expect([first, returning, begun].map(changes => kindOf(6_000, changes))).toEqual(["refuse", "admit", "admit"]);
        expect([first, returning, begun].map(changes => kindOf(12_000, changes))).toEqual([
            "refuse",
            "refuse",
            "admit",
        ]);
        expect([first, returning, begun].map(changes => kindOf(20_000, changes))).toEqual([
            "refuse",
            "refuse",
            "refuse",
        ]);
    });

    // Guards against a workspace that is refused each time, so that nothing of it waits when there is room.
    it("should let some calls of a workspace wait that is served far less than others", () => {
        const far = { ...load, costAhead: 1_000_000, isUnderserved: true };
        expect(admitFairly({ ...far, ownWaiting: 0 }, request).kind).toEqual("admit");
        expect(admitFairly({ ...far, ownWaiting: 4 }, request).kind).toEqual("refuse");
    });

    // Guards against all refused callers returning at the same moment: they come after a third of their time at the latest.
    it("should spread returns, at most over a third of the time that is left", () => {
        const random = createRandom(3);
        for (const waitMs of [500, 2_000, 60_000, Infinity]) {
            for (const leftMs of [1_000, 4_000, 30_000]) {
                const told = Array.from(
                    { length: 300 },
                    () => fairRetryAfterMs(waitMs, { ...request, leftMs }, random()),
                );
                const [least, most] = [Math.min(...told), Math.max(...told)];
                expect(most).toBeLessThanOrEqual(leftMs / 3 + 1);
                expect(least).toBeGreaterThan(0);
                expect(most).toBeGreaterThanOrEqual(1.5 * least);
            }
        }
    });

    it("should tell a caller to return when its wait will have fallen to what it may wait", () => {
        // It may wait half of its 20 s; 3 s of the 13 s must pass before.
        expect(fairRetryAfterMs(13_000, { ...request, leftMs: 20_000 }, 0)).toEqual(20_000 / 9);
        expect(fairRetryAfterMs(11_000, { ...request, leftMs: 20_000 }, 0)).toEqual(1_000);
    });
});

describe("observed rates and costs", () => {
    // Guards against estimates from too few calls, which would refuse good ones.
    it("should not know the rate before calls have waited for some time", () => {
        const drain = new DrainRate();
        for (let call = 0; call < 50; call++) {
            drain.advance(false, call * 100);
            drain.onSent(1, 100, call * 100);
        }
        expect(drain.rate(0, 5_000)).toEqual(undefined);
    });

    it("should measure the slot time by urgency while calls wait", () => {
        const drain = new DrainRate();
        drain.advance(true, 0);
        for (let ms = 10; ms <= 8_000; ms += 10) {
            drain.advance(true, ms);
            drain.onSent(ms % 20 === 0 ? 0 : 3, 40, ms);
        }
        const [all, low] = [drain.rate(0, 8_000)!, drain.rate(3, 8_000)!];
        expect(Math.abs(all - 4) < 0.2).toEqual(true);
        expect(Math.abs(low - 2) < 0.2).toEqual(true);
    });

    // Guards against an assumed duration of 2 s outweighing what calls took.
    it("should know the duration of calls after twenty of them, whatever was assumed", () => {
        const costs = new CallCosts();
        expect(costs.expectedMs("look", 30)).toEqual(30);
        for (let call = 0; call < 20; call++) {
            expect(costs.isKnown("look")).toEqual(false);
            costs.onEnded("look", 30, 240);
        }
        expect(costs.isKnown("look")).toEqual(true);
        expect(Math.round(costs.expectedMs("look", 30))).toEqual(240);
        expect(Math.round(costs.expectedMs("look", 60))).toEqual(480);
    });

    it("should remember a bounded number of keys for a bounded time", () => {
        const keys = new RecentKeys(3, 1_000);
        ["a", "b", "c", "d"].forEach((key, at) => keys.set(key, at));
        expect(keys.size).toEqual(3);
        expect(keys.get("a", 10)).toEqual(undefined);
        expect(keys.get("d", 10)).toEqual(3);
        expect(keys.get("d", 2_000)).toEqual(undefined);
    });

    it("should let old values fade", () => {
        const sum = new DecayingSum(1_000);
        sum.add(8, 0);
        expect(sum.at(1_000) < 3).toEqual(true);
        sum.add(1, 20_000);
        expect(Math.abs(sum.at(20_000) - 1) < 0.001).toEqual(true);
    });
});
