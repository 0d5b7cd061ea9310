import { WorkerStandin } from "@marigolddrift/platform";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

import { Deployment, waitUntil } from "./deployment.js";

// Guards against 502 for calls that have time and attempts left, because the upstream that they were sent to had gone.
describe("calls that an upstream refused or broke", () => {
    let deployment: Deployment;
    let second: WorkerStandin;

    beforeEach(async () => {
        deployment = await Deployment.start(1);
        second = new WorkerStandin("i-ops-2", "ops", false);
        await second.start();
    });
    afterEach(() => {
        second.close();
        deployment.close();
    });

    const addSecond = async (): Promise<void> => {
        deployment.store.put("servers/i-ops-2", second.entry());
        await waitUntil(() => deployment.gateways[0]!.upstreams.get("i-ops-2") !== undefined);
    };

    const callMany = async (method: "GET" | "POST", path: string, count = 12): Promise<number[]> => {
        const statuses: number[] = [];
        for (let index = 0; index < count; index++) {
            statuses.push((await deployment.call(method, path, {}, method === "GET" ? undefined : "once")).status);
        }
        return statuses;
    };

    const distinct = (statuses: readonly number[]): number[] => [...new Set(statuses)];

    for (const [method, path] of [["GET", "/look/1"], ["POST", "/order/1"]] as const) {
        it(`should be sent elsewhere if the upstream has gone, although its entry is still there: ${path}`, async () => {
            await addSecond();
            second.close();
            expect(distinct(await callMany(method, path))).toEqual([200]);
        });
    }

    it("should be sent elsewhere if the upstream has gone while its connections were idle", async () => {
        await addSecond();
        expect(distinct(await callMany("POST", "/order/1"))).toEqual([200]);
        second.close();
        expect(distinct(await callMany("POST", "/order/1"))).toEqual([200]);
    });

    it("should be sent to the same upstream again only if there is no other", async () => {
        let lost = 0;
        deployment.plainWorker.fault = "loseResponse";
        const restored = waitUntil(() => {
            lost = deployment.plainWorker.ran.length;
            return lost > 0;
        }).then(() => deployment.plainWorker.fault = "none");
        expect((await deployment.call("GET", "/look/1")).status).toEqual(200);
        await restored;
        expect(deployment.plainWorker.ran.length).toEqual(2);
    });

    it("should wait for an upstream if all others refuse connections after one may have run the call", async () => {
        await addSecond();
        second.close();
        deployment.plainWorker.fault = "loseResponse";
        const restored = waitUntil(() => deployment.plainWorker.ran.length > 0).then(() =>
            deployment.plainWorker.fault = "none"
        );
        expect((await deployment.call("GET", "/look/1")).status).toEqual(200);
        await restored;
        expect(deployment.plainWorker.ran.length).toEqual(2);
    });

    it("should run on no more upstreams than the route allows", async () => {
        await addSecond();
        deployment.plainWorker.fault = "loseResponse";
        second.fault = "loseResponse";
        expect((await deployment.call("GET", "/look/1")).status).toEqual(502);
        expect(deployment.plainWorker.ran.length + second.ran.length).toEqual(2);
    });

    it("should never run twice if they must not be repeated", async () => {
        await addSecond();
        deployment.plainWorker.fault = "loseResponse";
        second.fault = "loseResponse";
        expect(distinct(await callMany("POST", "/order/1"))).toEqual([502]);
        const ids = [...deployment.plainWorker.ran, ...second.ran].map(({ id }) => id);
        expect([ids.length, new Set(ids).size]).toEqual([12, 12]);
    });

    it("should be refused as not run if all upstreams say so", async () => {
        await addSecond();
        deployment.plainWorker.fault = "full";
        second.fault = "full";
        expect(distinct(await callMany("POST", "/order/1", 2))).toEqual([503]);
        expect(deployment.plainWorker.ran.length + second.ran.length).toEqual(0);
    });
});
