import { LineLogger } from "@marigolddrift/common";
import type { Gateway } from "@marigolddrift/gateway";
import { WorkerStandin } from "@marigolddrift/platform";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

import { Deployment, waitUntil } from "./deployment.js";

const slowMs = 1_500;

describe("second copies of late calls", () => {
    let deployment: Deployment;
    let second: WorkerStandin;
    let secondBrain: WorkerStandin;
    let hedging: Gateway;
    let lines: string[];

    beforeEach(async () => {
        lines = [];
        deployment = await Deployment.start(1);
        second = new WorkerStandin("i-ops-2", "ops", false);
        secondBrain = new WorkerStandin("i-brain-2", "brain", true);
        for (const worker of [second, secondBrain]) {
            await worker.start();
            deployment.store.put(`servers/${worker.id}`, worker.entry());
        }
        const log = new LineLogger({}, (bytes, done) => {
            lines.push(bytes.toString());
            done(undefined, bytes.length);
        });
        hedging = await deployment.addGateway({ hedgeShare: 0.2, log });
        await waitUntil(() => hedging.upstreams.usable("ops").length === 2);
        await waitUntil(() => hedging.upstreams.usable("brain").length === 2);
    });
    afterEach(() => {
        second.close();
        secondBrain.close();
        deployment.close();
    });

    const ops = (): WorkerStandin[] => [deployment.plainWorker, second];
    const brains = (): WorkerStandin[] => [deployment.streamingWorker, secondBrain];

    const look = (path = "/look/1") => deployment.call("GET", path, {}, undefined, hedging);
    const talk = () => deployment.call("POST", "/talk/1", { "Token-Usage": "40,50", "Model": "m" }, "hello", hedging);

    /** Makes calls until it is known how long they take, and copies are available. */
    const learn = async (call: () => Promise<unknown>): Promise<void> => {
        for (let index = 0; index < 60; index++) {
            await call();
        }
    };

    /** Counters of copies; calls that are late by chance while times are learned may have had some. */
    const copies = async () => ({
        sent: await counted("hedges.sent"),
        won: await counted("hedges.won"),
        suppressed: await counted("hedges.suppressed"),
    });

    const counted = async (name: string): Promise<number> => {
        const text = await hedging.metrics.text();
        return Number(new RegExp(`events_total\\{name="${name}"\\} (\\d+)`).exec(text)?.[1] ?? 0);
    };

    /** The first of two arrivals at any of the workers gets a slow answer, the second one a fast answer. */
    const delayFirstArrival = (workers: readonly WorkerStandin[]): void => {
        let arrived = 0;
        workers.forEach(worker => worker.delayOf = () => (arrived += 1) === 1 ? slowMs : 1);
    };

    // Guards against a call that waits at a stuck upstream until its deadline while another one has room.
    it("should answer by the copy, and cancel the first attempt", async () => {
        await learn(look);
        const before = await copies();
        delayFirstArrival(ops());
        ops().forEach(worker => worker.abandonedRequestIds.length = 0);
        const startedAt = performance.now();
        const answer = await look();
        expect([answer.status, answer.body.startsWith("answer to id-")]).toEqual([200, true]);
        expect(performance.now() - startedAt).toSatisfy(ms => ms < slowMs - 300);
        await waitUntil(() => ops().some(worker => worker.abandonedRequestIds.length === 1));
        const { sent, won } = await copies();
        expect([sent - before.sent, won - before.won]).toEqual([1, 1]);
        await waitUntil(() => lines.join("").includes("\"hedged\":\"i-ops"));
    });

    it("should wait for the first attempt if the copy fails", async () => {
        await learn(look);
        const before = await copies();
        let arrived = 0;
        ops().forEach(worker => {
            worker.delayOf = () => {
                arrived += 1;
                // The attempt that has arrived already keeps its delay; the copy meets the fault.
                ops().filter(other => other !== worker).forEach(other => other.fault = "error");
                return arrived === 1 ? 400 : 1;
            };
        });
        expect((await look()).status).toEqual(200);
        const { sent, won } = await copies();
        expect([sent - before.sent, won - before.won]).toEqual([1, 0]);
    });

    it("should send the copy of a stream without a first event, and pass on its whole stream", async () => {
        await learn(talk);
        brains().forEach(worker => {
            worker.preemptedAtEvent = 0;
            worker.preemptionMs = 1_200;
        });
        const before = brains().map(worker => worker.ran.length);
        const answering = talk();
        await waitUntil(() => brains().every((worker, index) => worker.ran.length > before[index]!));
        brains().forEach(worker => worker.preemptionMs = 1);
        const answer = await answering;
        expect(answer.body.match(/data: /g)!.length).toEqual(3);
        await waitUntil(() => brains().some(worker => worker.abandonedRequestIds.length === 1));
    });

    it("should run on no more upstreams than the route allows, copies included", async () => {
        await learn(look);
        delayFirstArrival(ops());
        const total = (): number => ops().reduce((sum, worker) => sum + worker.ran.length, 0);
        const before = total();
        const answering = look();
        await waitUntil(() => total() > before);
        ops().forEach(worker => worker.fault = "loseResponse");
        // The copy is lost, and the first attempt still has its answer.
        expect((await answering).status).toEqual(200);
        expect(total() - before).toEqual(2);
    });

    it("should never copy a call that must not be repeated", async () => {
        const order = () => deployment.call("POST", "/order/1", {}, "once", hedging);
        await learn(order);
        delayFirstArrival(ops());
        const before = ops().reduce((sum, worker) => sum + worker.ran.length, 0);
        expect((await order()).status).toEqual(200);
        expect(ops().reduce((sum, worker) => sum + worker.ran.length, 0) - before).toEqual(1);
    });

    it("should send none if no other upstream has room", async () => {
        await learn(look);
        second.close();
        deployment.store.remove("servers/i-ops-2");
        await waitUntil(() => hedging.upstreams.usable("ops").length === 1);
        const before = await copies();
        deployment.plainWorker.delayOf = () => 300;
        expect((await look()).status).toEqual(200);
        const { sent, suppressed } = await copies();
        expect([sent - before.sent, suppressed - before.suppressed]).toEqual([0, 1]);
    });

    it("should send none unless the operator allows a share", async () => {
        const plain = () => deployment.call("GET", "/look/1");
        await learn(plain);
        delayFirstArrival(ops());
        const before = ops().reduce((sum, worker) => sum + worker.ran.length, 0);
        expect((await plain()).status).toEqual(200);
        expect(ops().reduce((sum, worker) => sum + worker.ran.length, 0) - before).toEqual(1);
    });
});
