import { FirstByteWait, hasRoomForHedge, HedgeBudget, HedgeDelays } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";
import { expect } from "earl";
import { describe, it } from "node:test";

const workers = 8;
const slots = 4;
const stuckMs = 2_000;

interface HedgeReplay {
    readonly calls: number;
    readonly copies: number;
    readonly p99Ms: number;
}

/** Replays calls in virtual time, of which some are stuck at their worker; the load is the share of busy workers that each call finds. */
const replay = (share: number, stuckShare: number, load: number, seed: number): HedgeReplay => {
    const random = createRandom(seed);
    const delays = new HedgeDelays(share);
    const budget = new HedgeBudget(share);
    const latencies: number[] = [];
    let copies = 0;
    const calls = 4_000;
    const serviceMs = (): number => 20 - Math.log(1 - random()) * 20;
    for (let call = 0; call < calls; call++) {
        budget.onCall();
        const firstMs = random() < stuckShare ? stuckMs : serviceMs();
        const delayMs = delays.delayMs("k") ?? Infinity;
        const inFlight = Array.from({ length: workers - 1 }, () => random() < load ? slots : 0);
        const room = { waiting: load > 1 ? 3 : 0, hasFreeWorker: inFlight.some(count => count < slots) };
        let ms = firstMs;
        if (firstMs > delayMs && hasRoomForHedge(room) && budget.tryAcquire()) {
            copies += 1;
            ms = Math.min(firstMs, delayMs + serviceMs());
        }
        delays.record("k", ms);
        latencies.push(ms);
    }
    const sorted = latencies.slice(500).sort((a, b) => a - b);
    return { calls, copies, p99Ms: sorted[Math.floor(sorted.length * 0.99)]! };
};

describe("hedging", () => {
    // Guards against a few calls that are stuck at their upstream until the deadline while others have room.
    it("should shorten the longest waits within the share of calls that the operator allows", () => {
        for (const seed of [1, 2, 3]) {
            const without = replay(0, 0.02, 0.3, seed);
            const hedged = replay(0.05, 0.02, 0.3, seed);
            expect([without.copies, without.p99Ms]).toEqual([0, stuckMs]);
            expect(hedged.copies / hedged.calls).toSatisfy(share => share > 0.01 && share <= 0.05);
            expect(hedged.p99Ms).toSatisfy(ms => ms < stuckMs / 4);
        }
    });

    it("should never send more copies than the share, also if all calls become slow at once", () => {
        for (const share of [0.01, 0.02, 0.1]) {
            const { copies, calls } = replay(share, 0.5, 0.3, 4);
            expect(copies / calls).toSatisfy(value => value <= share);
        }
    });

    it("should stop when no worker has room, and when calls wait", () => {
        expect(replay(0.05, 0.02, 1, 5).copies).toEqual(0);
        expect(replay(0.05, 0.02, 1.1, 5).copies).toEqual(0);
        expect(hasRoomForHedge({ waiting: 1, hasFreeWorker: true })).toEqual(false);
    });

    it("should send no copy before it knows how long calls take, nor for a kind that it has not seen", () => {
        const delays = new HedgeDelays(0.05);
        for (let call = 0; call < 30; call++) {
            delays.record("k", 10);
        }
        expect(delays.delayMs("k")).toEqual(undefined);
        for (let call = 0; call < 30; call++) {
            delays.record("k", 10);
        }
        expect([delays.delayMs("k"), delays.delayMs("other")]).toEqual([20, undefined]);
    });
});

describe("waits for the first byte", () => {
    // Guards against calls that are sent to an upstream at which earlier ones have been waiting for seconds.
    it("should see a call that waits before it has ended, and forget it soon afterwards", () => {
        const waits = new FirstByteWait();
        const ticket = waits.begin(100, 0);
        expect(waits.waitMs(250)).toEqual(0);
        expect(waits.waitMs(1_300)).toEqual(1_000);
        waits.onFirstByte(ticket, 1_300);
        expect(waits.waitMs(1_300)).toSatisfy(ms => ms > 300 && ms < 500);
        expect(waits.waitMs(6_300)).toEqual(0);
    });

    it("should take nothing from a call that its caller ended", () => {
        const waits = new FirstByteWait();
        waits.end(waits.begin(100, 0));
        expect(waits.waitMs(5_000)).toEqual(0);
    });

    it("should not take calls within the usual spread for waiting ones", () => {
        const waits = new FirstByteWait();
        for (let now = 0; now < 2_000; now += 10) {
            waits.onFirstByte(waits.begin(100, now), now + 80 + (now % 50));
        }
        expect(waits.waitMs(2_000)).toEqual(0);
    });
});
