import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

import { Deployment, waitUntil } from "./deployment.js";

/** Time after which nothing more may reach a worker that has said that it leaves. */
const drainMs = 2_500;

describe("upstreams that say in their answers that they leave", () => {
    let deployment: Deployment;
    beforeEach(async () => deployment = await Deployment.start(1));
    afterEach(() => deployment.close());

    const callOps = (method: "GET" | "POST" = "GET") =>
        deployment.call(method, method === "GET" ? "/look/1" : "/order/1", { "Deadline-Ms": "600" });

    /** Number of requests that reach the worker from now on until it would have to be free of new ones. */
    const countLaterArrivals = async (): Promise<number> => {
        const endsAt = performance.now() + drainMs + 300;
        const before = deployment.plainWorker.arrivals.length;
        while (performance.now() < endsAt) {
            await callOps();
        }
        return deployment.plainWorker.arrivals.length - before;
    };

    it("should pass the answer on without the header, and send nothing more, although the store says ready", async () => {
        deployment.plainWorker.isLeaving = true;
        const answer = await callOps();
        expect([answer.status, answer.headers["server-leaving"]]).toEqual([200, undefined]);
        expect(await countLaterArrivals()).toEqual(0);
    });

    it("should take the word of a refusal, too", async () => {
        deployment.plainWorker.isLeaving = true;
        deployment.plainWorker.fault = "full";
        expect((await callOps("POST")).status).toEqual(503);
        deployment.plainWorker.fault = "none";
        expect(await countLaterArrivals()).toEqual(0);
    });

    it("should not use the process again when its entry is removed and comes back, but its successor", async () => {
        const { gateways, plainWorker, store } = deployment;
        plainWorker.isLeaving = true;
        await callOps();
        store.remove("servers/i-ops");
        await waitUntil(() => gateways[0]!.upstreams.get("i-ops") === undefined);
        store.put("servers/i-ops", plainWorker.entry());
        await waitUntil(() => gateways[0]!.upstreams.get("i-ops") !== undefined);
        const arrivals = plainWorker.arrivals.length;
        await callOps();
        expect(plainWorker.arrivals.length).toEqual(arrivals);
        plainWorker.isLeaving = false;
        store.put("servers/i-ops", { ...plainWorker.entry(), born: Date.now() + 1 });
        await waitUntil(() => gateways[0]!.upstreams.usable("ops").length === 1);
        expect((await callOps()).status).toEqual(200);
    });

    it("should use the other workers of the service", async () => {
        deployment.streamingWorker.isLeaving = true;
        expect((await deployment.turn("p1", "t1", "hello")).status).toEqual(200);
        expect((await callOps()).status).toEqual(200);
    });
});
