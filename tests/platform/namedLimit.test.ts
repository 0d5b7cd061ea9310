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
        const startedAt = performance.now();
        const durationMs = settledMs + windowMs + 500;
        const replies = await Promise.all(deployment.gateways.map(gateway => callFor(gateway, durationMs)));
        const late = worker.arrivals.filter(at => at >= startedAt + contactMs);
        expect(mostInWindow(late)).toSatisfy(count => count <= allowed);
        // Most of the limit is used, and what is beyond it is refused with the time after which it can be served.
        const settled = worker.arrivals.filter(at =>
            at >= startedAt + settledMs && at < startedAt + settledMs + windowMs
        );
        expect(settled.length).toSatisfy(count => count >= 0.6 * limit * (windowMs / 1_000));
        expect([...new Set(replies.flat())].sort()).toEqual([200, 429]);
    });
});
