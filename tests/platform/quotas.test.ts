import { parseSettings, quotaSettings } from "@marigolddrift/platform";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";

import { config, Deployment, waitUntil } from "./deployment.js";

const settings = { windowMs: 5_000, over: 0.1, slack: 20 };

/** Time after which the first instances of a fleet lend their shares. */
const settledMs = 10_500;

const ratePerS = 5;
const burst = 4;

/** Time to which the returns of refused callers are spread at most, before the random part. */
const maxToldS = 5;

/** Times are rounded up to a millisecond. */
const roundingS = 0.001;

const tenants = [
    { name: "small", apiKeys: ["key-of-small"], ratePerS, burst },
    { name: "free", apiKeys: ["key-of-free"] },
];

describe("quotas of workspaces", () => {
    let deployment: Deployment;
    before(async () => {
        deployment = await Deployment.start(0);
        deployment.store.put("op/config", { ...config(11), tenants });
        await deployment.addGateway({ quotas: settings });
        await deployment.addGateway({ quotas: settings });
        await deployment.gateways[0]!.refreshPeers();
        await new Promise(resolve => setTimeout(resolve, settledMs));
        await waitUntil(() => deployment.gateways.every(gateway => gateway.configVersion === 11));
    });
    after(() => deployment.close());

    const look = (key: string, index: number) =>
        deployment.call("GET", "/look/1", { "Api-Key": key }, undefined, deployment.gateways[index % 2]);

    it("should refuse calls over the quota with 429, and not pass them on", async () => {
        await new Promise(resolve => setTimeout(resolve, 2_500));
        const before = deployment.plainWorker.ran.length;
        const startedAt = performance.now();
        const replies = await Promise.all(Array.from({ length: 40 }, (_, index) => look("key-of-small", index)));
        const elapsedS = (performance.now() - startedAt) / 1_000;
        const refused = replies.filter(({ status }) => status === 429);
        const served = replies.filter(({ status }) => status === 200);
        expect(refused.length + served.length).toEqual(40);
        // The burst, and what is added in the time that the calls may wait.
        expect(served.length).toSatisfy(count => count >= 3 && count <= burst + ratePerS);
        expect(deployment.plainWorker.ran.length - before).toEqual(served.length);
        // The first refused caller can be served when the next request is added to the bucket, each further one after another. Those that
        // waited for a request of their own come before them. Callers may be told up to a quarter more, so that they spread.
        const waited = Math.max(0, served.length - burst);
        const retries = refused.map(({ headers }) => Number(headers["retry-after"])).sort((a, b) => a - b);
        retries.forEach((seconds, index) => {
            const servedAfter = (index + 1 + waited) / ratePerS;
            const earliest = Math.min(maxToldS, index / ratePerS) - elapsedS;
            expect(seconds).toSatisfy(value =>
                value > 0 && value >= earliest && value <= 1.25 * servedAfter + roundingS
            );
        });
        for (const { body } of refused) {
            expect((JSON.parse(body) as { code: string; verdict: string; }).code).toEqual("quota_exceeded");
        }
    });

    it("should not limit a workspace without a quota", async () => {
        await new Promise(resolve => setTimeout(resolve, 2_500));
        const replies = await Promise.all(Array.from({ length: 60 }, (_, index) => look("key-of-free", index)));
        expect(replies.every(({ status }) => status === 200)).toEqual(true);
    });
});

describe("settings of quotas", () => {
    const text = (bounds: string): string => `
node = "n"
ip = "127.0.0.1"
zone = "z"
region = "r"
innerPorts = [1, 2]
zones = { z = "r" }
listen = {}
platform = { address = "a:1" }
tolerate = { machines = 1 }
bounds = { graceS = 4, contactMs = 5000, drainMs = 2500, configApplyMs = 4000${bounds} }
`;

    it("should be absent without a window, and otherwise have the documented bounds", () => {
        expect(quotaSettings(parseSettings(text("")))).toEqual(undefined);
        expect(quotaSettings(parseSettings(text(", quotaWindowS = 5")))).toEqual(settings);
    });
});
