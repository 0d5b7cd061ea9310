import { expect } from "earl";
import { request } from "node:http";
import { after, before, beforeEach, describe, it } from "node:test";

import { Deployment, waitUntil } from "./deployment.js";
import type { ReceivedResponse } from "./deployment.js";

/** Connections of an instance to the plain worker: its `maxConns`, shared among the instances that the gateway assumes. */
const connections = 12;

describe("a call that ends before it has a connection to a sound worker", () => {
    let deployment: Deployment;
    let calls: Promise<ReceivedResponse>[];
    before(async () => {
        deployment = await Deployment.start(1);
        const { store, plainWorker, gateways } = deployment;
        // More slots than connections, so that calls wait for a connection.
        store.put("servers/i-ops", { ...plainWorker.entry(), slots: 10 * connections });
        await waitUntil(() => gateways[0]!.upstreams.get("i-ops")?.entry.slots === 10 * connections);
    });
    after(() => deployment.close());
    beforeEach(async () => {
        const { plainWorker } = deployment;
        plainWorker.delayMs = 1_000;
        const arrivedBefore = plainWorker.arrivals.length;
        calls = Array.from({ length: connections }, () => deployment.call("POST", "/order/1", {}, "long"));
        await waitUntil(() => plainWorker.arrivals.length === arrivedBefore + connections);
    });

    const isUsable = (): boolean => deployment.gateways[0]!.upstreams.usable("ops").length > 0;

    // Guards against all calls of an instance being refused for a second because one caller had no time left.
    it("should not make the worker unusable for others when its deadline passes", async () => {
        expect((await deployment.call("GET", "/short/1")).status).toEqual(504);
        expect(isUsable()).toEqual(true);
        const next = await deployment.call("POST", "/order/2", {}, "next");
        expect([next.status, (await Promise.all(calls)).map(({ status }) => status)]).toEqual([
            200,
            Array.from({ length: connections }, () => 200),
        ]);
    });

    // Guards against all calls of an instance being refused for a second because one caller left.
    it("should not make the worker unusable for others when its caller leaves", async () => {
        const gateway = deployment.gateways[0]!;
        const headers = { "Host": "carts.example", "Request-Id": "leaves", "Deadline-Ms": "2500" };
        const req = request({ host: "127.0.0.1", port: gateway.port, path: "/look/1", headers, agent: false });
        req.on("error", () => {});
        req.end();
        await waitUntil(() => gateway.entry.active === connections + 1);
        await new Promise(resolve => setTimeout(resolve, 50));
        req.destroy();
        await waitUntil(() => gateway.entry.active === connections);
        expect(isUsable()).toEqual(true);
        await Promise.all(calls);
    });
});
