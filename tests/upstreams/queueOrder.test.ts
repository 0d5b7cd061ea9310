import { Progress, silentLogger } from "@marigolddrift/common";
import { Dispatcher } from "@marigolddrift/dispatch";
import type { CallQueue, DispatcherOptions, DispatchLease, DispatchRequest } from "@marigolddrift/dispatch";
import { GatewayMetrics } from "@marigolddrift/gateway";
import { FairQueue, nextCall, place } from "@marigolddrift/policy";
import type { FairCall } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";
import { expect } from "earl";
import { describe, it } from "node:test";

import { workerView } from "../policy/workerView.js";

type Call = DispatchRequest & FairCall;

const callOf = (workspace: string, call: number, changes: Partial<Call> = {}): Call => ({
    model: "m",
    program: `p-${call}`,
    workspace,
    call,
    attainedMs: 0,
    priority: 1,
    enqueuedAt: 0,
    deadline: 1_000_000,
    expectedMs: 100,
    workspaceLoad: 0,
    shape: { promptTokens: 0, expectedTokens: 1 },
    firstCall: true,
    excluded: new Set(),
    bytes: 0,
    cost: 100,
    isContinuation: false,
    weight: 1,
    firstArrivedAt: call,
    isReturning: false,
    startBy: 1_000_000,
    ...changes,
});

/** One worker that takes one call at a time, and the calls in the order in which they were assigned to it. */
class Queueing {
    readonly assigned: number[] = [];
    private running = 0;
    private readonly leases: DispatchLease[] = [];
    private readonly dispatcher: Dispatcher<Call>;

    constructor(options: Pick<DispatcherOptions<Call>, "order" | "queueOf">) {
        const view = workerView("w", {
            reportAgeMs: 0,
            roundTripMs: 0,
            maxInFlight: 1,
            cost: {
                prefillMsPerToken: 0,
                decodeBaseMs: 1,
                decodePerSequenceMs: 0,
                maxBatch: 1,
                importMsPerToken: 0,
            },
        });
        const target = {
            views: () => [{ ...view, localInFlight: this.running }],
            capacity: () => 1,
            onAssigned: () => this.running += 1,
            onReleased: () => this.running -= 1,
            tryAdmit: () => true,
        };
        const all = { ...options, place, admission: false, random: () => 0.5 };
        this.dispatcher = new Dispatcher(target, all, silentLogger, new GatewayMetrics());
    }

    get waiting(): number {
        return this.dispatcher.waitingCalls;
    }

    async add(call: Call, progress = new Progress(60_000)): Promise<void> {
        void this.dispatcher.acquire(call, progress).then(
            lease => {
                this.assigned.push(call.call);
                this.leases.push(lease);
            },
            () => {},
        );
        await settle();
    }

    /** Ends the running calls one after the other until none is left. */
    async runAll(): Promise<void> {
        for (let lease = this.leases.shift(); lease !== undefined; lease = this.leases.shift()) {
            lease.release();
            await settle();
        }
    }
}

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

describe("order of queued calls", () => {
    // Guards against a change for deployments without workspaces: their calls keep the order that they had.
    it("should be the same as before while no queue with an order of its own is in use", async () => {
        const random = createRandom(5);
        const before = new Queueing({ order: nextCall });
        const now = new Queueing({ order: nextCall, queueOf: () => undefined });
        const asked: string[] = [];
        const counting = new Queueing({
            order: (calls, at) => {
                asked.push(calls.map(({ program }) => program).join());
                return nextCall(calls, at);
            },
            queueOf: () => undefined,
        });
        for (let call = 0; call < 60; call++) {
            // Far apart, so that the time of the run has no influence on the order.
            const changes = { priority: Math.floor(random() * 4), expectedMs: Math.floor(random() * 60) * 100_000 };
            const req = callOf("route", call, changes);
            for (const queueing of [before, now, counting]) {
                await queueing.add(req);
            }
        }
        for (const queueing of [before, now, counting]) {
            await queueing.runAll();
        }
        expect(now.assigned.length).toEqual(60);
        expect(now.assigned).toEqual(before.assigned);
        expect(counting.assigned).toEqual(before.assigned);
        expect(asked.length).toBeGreaterThanOrEqual(60);
    });

    it("should be that of a fair queue where there is one", async () => {
        const fair = new FairQueue<Call>();
        const queueing = new Queueing({ order: nextCall, queueOf: () => fair });
        for (let call = 0; call < 6; call++) {
            await queueing.add(callOf("north", call));
        }
        await queueing.add(callOf("south", 6));
        await queueing.add(callOf("east", 7, { priority: 0 }));
        await queueing.runAll();
        expect(queueing.assigned.slice(0, 3)).toEqual([0, 7, 6]);
        expect(queueing.assigned.length).toEqual(8);
        expect(fair.size).toEqual(0);
    });

    // Guards against calls that stay in the fair queue after their callers have left, and block those behind them.
    it("should forget calls that are given up", async () => {
        const fair = new FairQueue<Call>();
        const queueing = new Queueing({ queueOf: () => fair });
        const progress = new Progress(60_000);
        await queueing.add(callOf("north", 0));
        await queueing.add(callOf("north", 1), progress);
        await queueing.add(callOf("north", 2));
        progress.abort(new Error("gone"));
        await settle();
        expect(fair.size).toEqual(1);
        await queueing.runAll();
        expect(queueing.assigned).toEqual([0, 2]);
    });

    // Guards against calls that wait while a configuration with or without workspaces comes into force.
    it("should keep all waiting calls when the order changes", async () => {
        const fair = new FairQueue<Call>();
        let current: CallQueue<Call> | undefined;
        const queueing = new Queueing({ order: nextCall, queueOf: () => current });
        for (let call = 0; call < 3; call++) {
            await queueing.add(callOf("north", call));
        }
        current = fair;
        await queueing.add(callOf("south", 3));
        expect(fair.size).toEqual(3);
        current = undefined;
        await queueing.add(callOf("north", 4));
        await queueing.runAll();
        expect([...queueing.assigned].sort()).toEqual([0, 1, 2, 3, 4]);
        expect([fair.size, queueing.waiting]).toEqual([0, 0]);
    });
});
