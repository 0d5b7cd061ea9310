import type { Gateway } from "@marigolddrift/gateway";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";

import { Deployment } from "./deployment.js";

/** Limit that the worker names, in requests a second. */
const limit = 5;

/** Time from the first named limit until all instances must keep to it. */
const contactMs = 4_000;

/** Length of the window in which arrivals are counted. */
const windowMs = 4_000;

/** Time after which all instances know each other. */
const settledMs = 10_000;

/** Arrivals that are allowed in one window: one and a half times what the limit allows, and 5 more. */
const allowed = 1.5 * limit * (windowMs / 1_000) + 5;

/** Calls a second through each instance. */
const callsPerSecond = 12;

const mostInWindow = (times: readonly number[]): number =>
    Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + windowMs).length));

/** Interval at which the test looks whether its process runs, and the delay from which it did not. */
const checkIntervalMs = 20;
const minStallMs = 50;

/** Records the times in which the process, which runs the callers, the instances and the worker, does not run. */
class StallRecorder {
    private readonly stalls: { readonly from: number; readonly to: number; }[] = [];
    private lastAt = performance.now();
    private readonly timer = setInterval(() => {
        const now = performance.now();
        const dueAt = this.lastAt + checkIntervalMs;
        if (now - dueAt >= minStallMs) {
            this.stalls.push({ from: dueAt, to: now });
        }
        this.lastAt = now;
    }, checkIntervalMs);

    /** Sum of these times between two moments. */
    stalledMs(from: number, to: number): number {
        return this.stalls.reduce(
            (sum, stall) => sum + Math.max(0, Math.min(to, stall.to) - Math.max(from, stall.from)),
            0,
        );
    }

    close(): void {
        clearInterval(this.timer);
    }
}

describe("limits that upstreams name", () => {
    let deployment: Deployment;
    before(async () => deployment = await Deployment.start(3));
    after(() => deployment.close());

    const callFor = async (gateway: Gateway, durationMs: number): Promise<number[]> => {
        const calls: Promise<number>[] = [];
        const endsAt = performance.now() + durationMs;
        while (performance.now() < endsAt) {
            calls.push(deployment.call("GET", "/look/1", {}, undefined, gateway).then(({ status }) => status));
            await new Promise(resolve => setTimeout(resolve, 1_000 / callsPerSecond));
        }
        return await Promise.all(calls);
    };

    it("should not send an upstream more than its named limit from all instances together", async () => {
        const worker = deployment.plainWorker;
        await Promise.all(deployment.gateways.map(gateway => gateway.refreshPeers()));
        worker.requestsPerSecond = limit;
        const recorder = new StallRecorder();
        const startedAt = performance.now();
        const durationMs = settledMs + windowMs + 500;
        const replies = await Promise.all(deployment.gateways.map(gateway => callFor(gateway, durationMs)));
        recorder.close();
        const late = worker.arrivals.filter(at => at >= startedAt + contactMs);
        expect(mostInWindow(late)).toSatisfy(count => count <= allowed);
        // Most of the limit is used, and what is beyond it is refused with the time after which it can be served.
        const settledAt = startedAt + settledMs;
        const settled = worker.arrivals.filter(at => at >= settledAt && at < settledAt + windowMs);
        const runMs = windowMs - recorder.stalledMs(settledAt, settledAt + windowMs);
        // Three calls at least, so that there is something to count.
        expect(runMs).toSatisfy(ms => ms >= windowMs / 4);
        expect(settled.length).toSatisfy(count => count >= 0.6 * limit * (runMs / 1_000));
        expect([...new Set(replies.flat())].sort()).toEqual([200, 429]);
    });
});
