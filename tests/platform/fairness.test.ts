import { LineLogger } from "@marigolddrift/common";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";

import { config, Deployment, waitUntil } from "./deployment.js";
import type { ReceivedResponse } from "./deployment.js";

/** Duration of a call at the worker, which runs four at a time; two more may be on their way. */
const callMs = 100;
const callsPerSecond = 6 * 1_000 / callMs;

const deadlineMs = 2_000;

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

interface CallLine {
    readonly event: string;
    readonly request?: string;
    readonly error?: string;
    readonly workspace?: string;
    readonly queuedMs?: number;
    readonly expectedWaitMs?: number;
    readonly waiting?: number;
    readonly share?: number;
}

describe("fairness between workspaces", () => {
    let deployment: Deployment;
    const lines: CallLine[] = [];
    const log = new LineLogger({}, (bytes, done) => {
        lines.push(...bytes.toString().split("\n").filter(Boolean).map(line => JSON.parse(line) as CallLine));
        done(undefined, bytes.length);
    });

    before(async () => {
        deployment = await Deployment.start(0);
        const gateway = await deployment.addGateway({ log });
        const tenants = ["hot", "calm"].map(name => ({ name, apiKeys: [`key-of-${name}`] }));
        deployment.store.put("op/config", { ...config(10), tenants });
        await waitUntil(() => gateway.configVersion === 10);
        deployment.plainWorker.delayMs = callMs;
    });
    after(() => deployment.close());

    const call = (workspace: string, id: string): Promise<ReceivedResponse> =>
        deployment.call("GET", `/look/${id}`, {
            "Api-Key": `key-of-${workspace}`,
            "Request-Id": id,
            "Deadline-Ms": String(deadlineMs),
        });

    // Guards against one workspace's calls filling the queue, so that those of others time out behind them.
    it("should serve a workspace within its share, and refuse at once what finds no room for the others", async () => {
        // The durations must be known before anything is refused.
        for (let round = 0; round < 8; round++) {
            await Promise.all(Array.from({ length: 4 }, (_, index) => call("calm", `warm-${round}-${index}`)));
        }
        const startedAt = performance.now();
        const hot: Promise<ReceivedResponse & { ms: number; id: string; }>[] = [];
        const calm: Promise<ReceivedResponse>[] = [];
        for (let round = 0; round < 40; round++) {
            for (let index = 0; index < 12; index++) {
                const id = `hot-${round}-${index}`;
                const sentAt = performance.now();
                hot.push(call("hot", id).then(reply => ({ ...reply, id, ms: performance.now() - sentAt })));
            }
            if (round % 4 === 0) {
                calm.push(call("calm", `calm-${round}`));
            }
            await pause(50);
        }
        const seconds = (performance.now() - startedAt) / 1_000;
        const [hotReplies, calmReplies] = [await Promise.all(hot), await Promise.all(calm)];
        // The worker has room for a third of the calls of the hot workspace; the calm one needs a twelfth of it.
        expect(hotReplies.length / seconds).toBeGreaterThan(2 * callsPerSecond);
        expect(calmReplies.map(({ status }) => status)).toEqual(calmReplies.map(() => 200));
        const refused = hotReplies.filter(({ status }) => status === 429);
        expect(refused.length).toBeGreaterThan(hotReplies.length / 4);
        for (const { id, headers } of refused) {
            const retryAfterSeconds = Number(headers["retry-after"]);
            expect(retryAfterSeconds).toBeGreaterThan(0);
            expect(retryAfterSeconds).toBeLessThanOrEqual(deadlineMs / 3 / 1_000);
            expect(deployment.plainWorker.ran.some(ran => ran.id === id)).toEqual(false);
        }
        await waitUntil(() => refused.every(({ id }) => lines.some(({ request }) => request === id)));
        const line = lines.find(({ request }) => request === refused.at(-1)!.id)!;
        expect(line.error).toEqual("overloaded");
        expect(line.workspace).toEqual("hot");
        for (const value of [line.queuedMs, line.expectedWaitMs, line.waiting, line.share]) {
            expect(typeof value).toEqual("number");
        }
        expect(await deployment.gateways[0]!.metrics.text()).toInclude("fair.refused");
    });
});
