import { expect } from "earl";
import { describe, it } from "node:test";

import { config, Deployment, waitUntil } from "./deployment.js";

const withDeployment = async (gateways: number, test: (deployment: Deployment) => Promise<void>): Promise<void> => {
    const deployment = await Deployment.start(gateways);
    try {
        await test(deployment);
    }
    finally {
        deployment.close();
    }
};

describe("programs on the platform", () => {
    it("should continue a conversation on an instance that has not served it before", () =>
        withDeployment(2, async deployment => {
            await deployment.turn("p1", "t1", "first ");
            await deployment.turn("p1", "t2", "second ", "t1", deployment.gateways[1]);
            await deployment.turn("p1", "t3", "third", "t2", deployment.gateways[0]);
            const output = (id: string): string => [0, 1, 2].map(event => `${id}-${event}\n`).join("");
            expect(deployment.streamingWorker.ran[2]!.body).toEqual(`first ${output("t1")}second ${output("t2")}third`);
        }));

    it("should let several turns continue the same one", () =>
        withDeployment(1, async deployment => {
            deployment.streamingWorker.events = 1;
            await deployment.turn("p1", "t1", "root ");
            await Promise.all([deployment.turn("p1", "t2", "left", "t1"), deployment.turn("p1", "t3", "right", "t1")]);
            expect(deployment.streamingWorker.ran.slice(1).map(({ body }) => body).sort()).toEqual([
                "root t1-0\nleft",
                "root t1-0\nright",
            ]);
        }));

    it("should answer 404 for a turn that does not exist, and 503 while the store does not answer", () =>
        withDeployment(1, async deployment => {
            expect((await deployment.turn("p1", "t2", "x", "nothing")).status).toEqual(404);
            deployment.store.fault = "silent";
            const res = await deployment.turn("p1", "t3", "x", "unseen");
            expect([res.status, Number(res.headers["retry-after"]) > 0]).toEqual([503, true]);
        }));

    it("should not end the response of a turn before the turn is durable", () =>
        withDeployment(1, async deployment => {
            await deployment.turn("p1", "t1", "first ");
            deployment.streamingWorker.delayMs = 50;
            const running = deployment.turn("p1", "t2", "second", "t1").then(() => "whole", () => "broken off");
            await waitUntil(() => deployment.streamingWorker.ran.length === 2);
            deployment.store.fault = "down";
            expect(await running).toEqual("broken off");
            expect(deployment.store.state.get("marigolddrift/turns/t2")).toEqual(undefined);
        }));

    it("should never give out more tokens than the budget plus one turn, across all instances", () =>
        withDeployment(2, async deployment => {
            let events = 0;
            for (let turn = 0; turn < 16; turn++) {
                const res = await deployment.turn("p1", `t${turn}`, "again", undefined, deployment.gateways[turn % 2]);
                expect([200, 402]).toInclude(res.status);
                events += res.body.split("\n\n").length - 1;
            }
            expect(events * 10).toSatisfy(tokens => tokens > 100 && tokens <= 250);
        }));

    it("should refuse new programs at once while the store is unavailable, and serve them after it recovers", () =>
        withDeployment(1, async deployment => {
            deployment.store.fault = "busy";
            await Promise.all([deployment.turn("p1", "t1", "x"), deployment.turn("p2", "t2", "x")]);
            const startedAt = performance.now();
            const [first, second] = await Promise.all([
                deployment.turn("p3", "t3", "x"),
                deployment.turn("p4", "t4", "x"),
            ]);
            expect([first.status, second.status]).toEqual([503, 503]);
            expect(performance.now() - startedAt < 1_000).toEqual(true);
            expect(deployment.streamingWorker.ran).toEqual([]);
            deployment.store.fault = "none";
            await waitUntil(() => deployment.gateways[0]!.isReady);
            await new Promise(resolve => setTimeout(resolve, 300));
            expect((await deployment.turn("p5", "t5", "x")).status).toEqual(200);
        }));

    it("should take new versions of the configuration, and ignore older ones", () =>
        withDeployment(1, async deployment => {
            const added = { ...config(5).routes[1]!, name: "added", prefix: "/added/" };
            deployment.store.put("op/config", { ...config(5), routes: [...config(5).routes, added] });
            await waitUntil(() => true);
            await new Promise(resolve => setTimeout(resolve, 200));
            expect((await deployment.call("GET", "/added/1")).status).toEqual(200);
            deployment.store.put("op/config", config(4));
            await new Promise(resolve => setTimeout(resolve, 200));
            expect((await deployment.call("GET", "/added/1")).status).toEqual(200);
        }));

    it("should finish calls in progress when asked to stop, and ask callers to reconnect elsewhere", () =>
        withDeployment(2, async deployment => {
            deployment.streamingWorker.delayMs = 300;
            const [stopping] = deployment.gateways;
            const running = deployment.turn("p1", "t1", "x");
            await waitUntil(() => deployment.streamingWorker.ran.length === 1);
            const drained = stopping!.drain();
            expect(stopping!.isReady).toEqual(false);
            const moved = await deployment.call("GET", "/look/1");
            expect([moved.status, moved.headers["connection"]]).toEqual([200, "close"]);
            expect((await running).status).toEqual(200);
            await drained;
            expect(stopping!.entry.active).toEqual(0);
        }));

    it("should keep serving through a peer when the store turns away its connections", () =>
        withDeployment(2, async deployment => {
            await waitUntil(() => deployment.store.state.get("marigolddrift/members/front-1") !== undefined);
            await deployment.gateways[0]!.refreshPeers();
            deployment.disconnectFromStore(0);
            const res = await deployment.turn("p1", "t1", "x");
            expect(res.status).toEqual(200);
            expect((await deployment.turn("p1", "t2", "y", "t1", deployment.gateways[1])).status).toEqual(200);
        }));
});
