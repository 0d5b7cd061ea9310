import type { Gateway } from "@marigolddrift/gateway";
import { storeLayout, WorkerStandin } from "@marigolddrift/platform";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

import { config, Deployment, waitUntil } from "./deployment.js";

/** Time after which an upstream that is not cold gets its full share of the calls, and some more. */
const rampMs = 5_200;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

describe("uneven upstreams", () => {
    let deployment: Deployment;
    const others: WorkerStandin[] = [];

    beforeEach(async () => {
        deployment = await Deployment.start(1);
        const { routes, ...rest } = config(4);
        const sticky = routes.map(route => ({ ...route, sticky: route.name === "look" }));
        deployment.store.put("op/config", { ...rest, routes: sticky });
        for (const id of ["i-ops-2", "i-ops-3"]) {
            const worker = new WorkerStandin(id, "ops", false);
            await worker.start();
            others.push(worker);
            deployment.store.put(`servers/${id}`, worker.entry());
        }
        await waitUntil(() => deployment.gateways[0]!.upstreams.usable("ops").length === 3);
        await waitUntil(() => deployment.gateways[0]!.configVersion === 4);
    });
    afterEach(() => {
        others.splice(0).forEach(worker => worker.close());
        deployment.close();
    });

    const all = (): WorkerStandin[] => [deployment.plainWorker, ...others];

    const callMany = async (
        count: number,
        path: string,
        headers: Record<string, string> = {},
        gateway?: Gateway,
    ): Promise<void> => {
        for (let index = 0; index < count; index++) {
            await deployment.call("POST", path, headers, "x", gateway);
        }
    };

    // Guards against an upstream that answers errors at once, is therefore idle, and gets most of the calls.
    it("should send few calls to one that fails them, but go on trying it", async () => {
        const [failing] = others;
        failing!.fault = "error";
        await callMany(60, "/order/1");
        const before = failing!.ran.length;
        await callMany(150, "/order/1");
        expect(failing!.ran.length - before).toSatisfy(calls => calls < 30);
    });

    it("should send fewer calls to one that is slow", async () => {
        const [slow] = others;
        slow!.delayMs = 80;
        await Promise.all(Array.from({ length: 3 }, () => callMany(25, "/order/1")));
        const before = all().map(worker => worker.ran.length);
        await Promise.all(Array.from({ length: 3 }, () => callMany(25, "/order/1")));
        const [first, second, third] = all().map((worker, index) => worker.ran.length - before[index]!);
        expect(second!).toSatisfy(calls => calls < (first! + third!) / 4);
    });

    it("should send calls about one object to the same one, on sticky routes only", async () => {
        for (const key of ["cart-1", "cart-2", "cart-3"]) {
            all().forEach(worker => worker.ran.length = 0);
            await callMany(8, "/look/1", { Cookie: `Affinity-Key=${key}` });
            expect(all().filter(worker => worker.ran.length > 0).length).toEqual(1);
        }
    });

    it("should choose the same one for an object on all instances", async () => {
        const second = await deployment.addGateway();
        await waitUntil(() => second.upstreams.usable("ops").length === 3);
        for (const key of ["a", "b", "c", "d", "e"]) {
            all().forEach(worker => worker.ran.length = 0);
            for (const gateway of deployment.gateways) {
                await deployment.call("GET", "/look/1", { Cookie: `Affinity-Key=${key}` }, undefined, gateway);
            }
            expect(all().filter(worker => worker.ran.length > 0).length).toEqual(1);
        }
    });

    it("should send calls about an object elsewhere once its upstream has gone", async () => {
        const headers = { Cookie: "Affinity-Key=cart-9" };
        await deployment.call("GET", "/look/1", headers);
        const serving = all().find(worker => worker.ran.length > 0)!;
        serving.close();
        for (let index = 0; index < 4; index++) {
            expect((await deployment.call("GET", "/look/1", headers)).status).toEqual(200);
        }
    });

    // Guards against a new upstream that gets the calls of all instances at once while it is cold. The gateway's random numbers
    // are all the same, and the upstream is cold for longer than the test lasts, so that neither luck nor a slow machine decides.
    it("should bring a new one in by degrees", async () => {
        let draw = 0.1;
        const gateway = await deployment.addGateway({ random: () => draw });
        await sleep(rampMs);
        const add = async (id: string, coldLeftMs: number): Promise<WorkerStandin> => {
            const added = new WorkerStandin(id, "ops", false);
            await added.start();
            others.push(added);
            const count = all().length;
            deployment.store.put(`servers/${id}`, { ...added.entry(), coldLeftMs });
            await waitUntil(() => gateway.upstreams.usable("ops").length === count);
            return added;
        };
        // Two at once, so that one that is considered is chosen before one that is busy.
        const countCalls = async (workers: readonly WorkerStandin[]): Promise<number[]> => {
            const before = workers.map(worker => worker.ran.length);
            await Promise.all(Array.from({ length: 2 }, () => callMany(30, "/order/1", {}, gateway)));
            return workers.map((worker, index) => worker.ran.length - before[index]!);
        };
        const cold = await add("i-ops-4", 60_000);
        expect(await countCalls([cold])).toEqual([0]);
        draw = 0.099;
        expect((await countCalls([cold]))[0]!).toSatisfy(calls => calls > 0);

        const warm = await add("i-ops-5", 0);
        await sleep(rampMs);
        draw = 0.999;
        const [coldCalls, warmCalls] = await countCalls([cold, warm]);
        expect(coldCalls).toEqual(0);
        expect(warmCalls!).toSatisfy(calls => calls > 0);
    });

    it("should read for how long an upstream stays slow, and bear entries without or with an odd time", () => {
        const decode = (changes: Record<string, unknown>) =>
            storeLayout.decodeUpstream(
                "servers/i-1",
                Buffer.from(JSON.stringify({ ...deployment.plainWorker.entry(), ...changes })),
            );
        expect(decode({ coldLeftMs: 2_500 })?.coldLeftMs).toEqual(2_500);
        expect(decode({ coldLeftMs: undefined })?.coldLeftMs).toEqual(undefined);
        expect(decode({ coldLeftMs: "long" })?.slots).toEqual(4);
    });
});
