import {
    compareWithinWorkspace,
    engineUrgency,
    FairQueue,
    largestLoads,
    loadKey,
    relativeLoad,
    usualLoad,
} from "@marigolddrift/policy";
import type { FairCall } from "@marigolddrift/policy";
import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";

const callOf = (workspace: string, changes: Partial<FairCall> = {}): FairCall => ({
    program: "p",
    workspace,
    attainedMs: 0,
    priority: 1,
    enqueuedAt: 0,
    deadline: 100_000,
    expectedMs: 100,
    workspaceLoad: 0,
    cost: 100,
    isContinuation: false,
    weight: 1,
    firstArrivedAt: 0,
    isReturning: false,
    startBy: 99_900,
    ...changes,
});

/** Sends calls in the order of the queue until it is empty or `count` have been sent. */
const drain = (queue: FairQueue, count = Infinity, now = 0): FairCall[] => {
    const sent: FairCall[] = [];
    for (let call = queue.next(now); call !== undefined && sent.length < count; call = queue.next(now)) {
        queue.onSent(call, now);
        sent.push(call);
    }
    return sent;
};

const add = (queue: FairQueue, ...calls: readonly FairCall[]): void => calls.forEach(call => queue.add(call, 0));

const times = (count: number, create: () => FairCall): FairCall[] => Array.from({ length: count }, create);

describe("fair queue", () => {
    // Guards against a workspace getting more slot time than others by the number or the length of its calls.
    it("should keep the slot time of waiting workspaces within one call of each other, by weight", () => {
        const costs = fc.array(fc.integer({ min: 1, max: 400 }), { minLength: 30, maxLength: 60 });
        fc.assert(fc.property(costs, costs, fc.constantFrom(0.5, 1, 4), (north, south, weight) => {
            const queue = new FairQueue();
            add(
                queue,
                ...north.map(cost => callOf("north", { cost })),
                ...south.map(cost => callOf("south", { cost, weight })),
            );
            const taken = { north: 0, south: 0 };
            while (queue.waitingOf(callOf("north")) > 0 && queue.waitingOf(callOf("south", { weight })) > 0) {
                const call = queue.next(0)!;
                queue.onSent(call, 0);
                taken[call.workspace as "north" | "south"] += call.cost / call.weight;
                if (Math.abs(taken.north - taken.south) > 400 + 400 / weight) {
                    return false;
                }
            }
            return true;
        }));
    });

    // Guards against a workspace that has sent nothing for a while taking all of the room when it comes back.
    it("should give no credit for idle time", () => {
        const queue = new FairQueue();
        add(queue, ...times(50, () => callOf("busy")), callOf("rare"));
        drain(queue, 40);
        add(queue, ...times(10, () => callOf("rare")));
        const next = drain(queue, 10).filter(({ workspace }) => workspace === "rare");
        expect(next.length).toEqual(5);
    });

    // Guards against the reverse: calls that found room while nobody waited must not count against their workspace later.
    it("should not hold the use of idle upstreams against a workspace", () => {
        const queue = new FairQueue();
        for (let call = 0; call < 100; call++) {
            add(queue, callOf("busy"));
            drain(queue);
        }
        add(queue, ...times(10, () => callOf("busy")), ...times(10, () => callOf("rare")));
        const next = drain(queue, 10).filter(({ workspace }) => workspace === "busy");
        expect(next.length).toBeGreaterThanOrEqual(4);
    });

    it("should serve urgent calls first, and begun programs and returning callers within a workspace", () => {
        const queue = new FairQueue();
        const late = callOf("north", { startBy: 900 });
        const early = callOf("north", { startBy: 800 });
        const returning = callOf("north", { startBy: 2_000, isReturning: true });
        const begun = callOf("north", { startBy: 3_000, isContinuation: true });
        const urgent = callOf("south", { priority: 0 });
        add(queue, late, early, returning, begun, urgent);
        expect(drain(queue)).toEqual([urgent, begun, returning, early, late]);
        expect(compareWithinWorkspace(begun, returning) < 0).toEqual(true);
    });

    // Guards against cheap estimates: a workspace whose calls take longer than expected would get more than its share.
    it("should charge what a call took instead of what was expected", () => {
        const queue = new FairQueue();
        const long = callOf("north");
        add(queue, long, ...times(9, () => callOf("north")), ...times(9, () => callOf("south")));
        expect(drain(queue, 1)).toEqual([long]);
        queue.onEnded(long, 500, 0);
        expect(drain(queue, 5).map(({ workspace }) => workspace)).toEqual(Array.from({ length: 5 }, () => "south"));
    });

    // Guards against a workspace that comes through many instances, with a call or two at each.
    it("should serve a workspace with far more than usual calls in the region after the others", () => {
        const load: Record<string, number> = { "1 hot": 80, "1 north": 9, "1 south": 10, "1 east": 8, "0 urgent": 90 };
        let inFlight = 1;
        const queue = new FairQueue({
            relativeLoadOf: (urgency, workspace, weight) =>
                relativeLoad(load[loadKey(urgency, workspace)] ?? 0, weight, usualLoad(urgency, load)),
            slots: () => ({ slots: 10, inFlight, instances: 1 }),
        });
        add(queue, callOf("hot"), callOf("north"), callOf("south"), callOf("urgent", { priority: 0 }));
        expect(drain(queue).map(({ workspace, priority }) => `${workspace} ${priority}`)).toEqual([
            "urgent 0",
            "north 1",
            "south 1",
            "hot 1",
        ]);
        inFlight = 10;
        add(queue, callOf("hot"), callOf("north"), callOf("urgent", { priority: 0 }));
        expect(drain(queue).map(({ workspace }) => workspace)).toEqual(["urgent", "north"]);
        expect(queue.size).toEqual(1);
        // The workspace is due room all the same once it is served far less than others.
        for (let call = 0; call < 100; call++) {
            queue.countOffered(callOf("hot"), 20_000);
        }
        add(queue, callOf("north"));
        expect(queue.next(20_000)?.workspace).toEqual("hot");
    });

    it("should tell the load of a workspace from that of usual ones only with enough calls and workspaces", () => {
        expect(relativeLoad(3, 1, usualLoad(1, { "1 a": 3, "1 b": 1 }))).toEqual(0);
        expect(relativeLoad(90, 1, usualLoad(1, { "1 a": 90, "2 b": 9, "2 c": 9 }))).toEqual(0);
        expect(relativeLoad(90, 3, usualLoad(1, { "1 a": 90, "1 b": 10, "1 c": 3 }))).toEqual(3);
        expect(largestLoads({ a: 1, b: 3, c: 2 }, 2)).toEqual({ b: 3, c: 2 });
    });

    // Guards against memory that grows with the number of workspaces that have ever sent a call.
    it("should remember a bounded number of workspaces", () => {
        const queue = new FairQueue();
        for (let index = 0; index < 5_000; index++) {
            const call = callOf(`workspace-${index}`);
            add(queue, call);
            drain(queue);
            queue.onEnded(call, 100, 0);
        }
        expect(queue.flowCount).toBeLessThanOrEqual(2_000);
        expect(queue.size).toEqual(0);
    });

    it("should forget calls that are removed, and count running ones", () => {
        const queue = new FairQueue();
        const [first, second] = [callOf("north"), callOf("north")];
        add(queue, first, second);
        expect(queue.costAhead(callOf("south", { priority: 2 }), true)).toEqual(200);
        expect(queue.remove(first, 0)).toEqual(true);
        expect(queue.remove(first, 0)).toEqual(false);
        expect(drain(queue)).toEqual([second]);
        add(queue, first, callOf("south"));
        const calls: Record<string, number> = {};
        queue.addCalls(calls);
        expect(calls).toEqual({ "1 north": 2, "1 south": 1 });
    });
});

describe("urgency for engines", () => {
    const input = { priority: 1, isContinuation: false, runningShare: 1, waitedShare: 0 };

    it("should stay as it was without workspaces, and within 0 to 9", () => {
        fc.assert(fc.property(fc.integer({ min: 0, max: 12 }), fc.boolean(), (priority, isContinuation) => {
            const urgency = engineUrgency({ priority, isContinuation, runningShare: undefined, waitedShare: 0.9 });
            return urgency === Math.min(9, 2 * priority + (isContinuation ? 2 : 3));
        }));
        expect(engineUrgency(input)).toEqual(5);
    });

    it("should put begun programs first, and workspaces far above their share last", () => {
        expect(engineUrgency({ ...input, isContinuation: true })).toEqual(4);
        expect(engineUrgency({ ...input, runningShare: 2 })).toEqual(6);
        expect(engineUrgency({ ...input, runningShare: 8 })).toEqual(7);
        expect(engineUrgency({ ...input, priority: 8, runningShare: 8 })).toEqual(9);
    });

    // Guards against the engine's own queue starving calls that the instance let pass for the share of their urgency.
    it("should raise calls that have waited long, unless their workspace is above its share", () => {
        expect(engineUrgency({ ...input, priority: 6, waitedShare: 0.3 })).toEqual(3);
        expect(engineUrgency({ ...input, priority: 6, waitedShare: 0.3, runningShare: 3 })).toEqual(9);
    });
});
