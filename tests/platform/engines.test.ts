import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

import { config, Deployment, waitUntil } from "./deployment.js";

describe("engines with batches and shared memory", () => {
    let deployment: Deployment;
    beforeEach(async () => deployment = await Deployment.start(1));
    afterEach(() => deployment.close());

    it("should wait for a stream that is preempted in its middle, and pass each event on once", async () => {
        deployment.streamingWorker.preemptedAtEvent = 1;
        deployment.streamingWorker.preemptionMs = 700;
        const res = await deployment.turn("p1", "t1", "hello");
        expect(res.body).toEqual("id: 0\ndata: t1-0\n\nid: 1\ndata: t1-1\n\nid: 2\ndata: t1-2\n\n");
        expect(deployment.streamingWorker.ran.length).toEqual(1);
    });

    it("should pass a new version of the weights on, and leave it out of the conversation", async () => {
        deployment.streamingWorker.weightVersion = 2;
        deployment.streamingWorker.weightVersionFromEvent = 1;
        const res = await deployment.turn("p1", "t1", "hello ");
        expect(res.body).toEqual(
            "id: 0\ndata: t1-0\n\nweight-versions: 2\nid: 1\ndata: t1-1\n\nid: 2\ndata: t1-2\n\n",
        );
        await deployment.turn("p1", "t2", "again", "t1");
        expect(deployment.streamingWorker.ran.at(-1)!.body).toEqual("hello t1-0\nt1-1\nt1-2\nagain");
    });

    it("should refuse a prompt that no engine can hold at once, and send it to none", async () => {
        const memoryTokens = config(1).services[0]!.engine!.kvCapacity;
        deployment.streamingWorker.memoryTokens = memoryTokens;
        const headers = { "Token-Usage": `${memoryTokens + 1},50`, "Model": "m" };
        const startedAt = performance.now();
        const res = await deployment.call("POST", "/chat/1", headers, "long");
        expect([res.status, performance.now() - startedAt < 200]).toEqual([503, true]);
        expect(res.headers["retry-after"]).toEqual(undefined);
        expect(deployment.streamingWorker.arrivals.length).toEqual(0);
        expect((await deployment.call("POST", "/chat/1", { "Token-Usage": "40,50", "Model": "m" }, "x")).status)
            .toEqual(200);
    });

    it("should not let a caller pin the version of the weights, which a worker refuses like a foreign call", async () => {
        const res = await deployment.turn("p1", "t1", "hello");
        expect(res.status).toEqual(200);
        const pinned = await deployment.call(
            "POST",
            "/chat/1",
            { "Token-Usage": "40,50", "Model": "m", "Expect-Version": "9" },
            "x",
        );
        expect(pinned.status).toEqual(200);
        expect(deployment.streamingWorker.ran.at(-1)!.headers["expect-version"]).toEqual(undefined);
        await waitUntil(() => deployment.gateways[0]!.upstreams.usable("brain").length === 1);
    });
});
