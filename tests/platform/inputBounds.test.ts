import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

import { config, Deployment, waitUntil } from "./deployment.js";

const mib = 1024 * 1024;
const bodyBytes = 4 * mib;

/** The default of a machine of 88 MB. */
const maxInputMemoryBytes = 11 * mib;

describe("bound on the input of all callers", () => {
    let deployment: Deployment;
    beforeEach(async () => {
        deployment = await Deployment.start(0);
        const { limits, ...others } = config(4);
        deployment.store.put("op/config", { ...others, limits: { ...limits, maxBodyBytes: bodyBytes } });
        const gateway = await deployment.addGateway({ maxInputMemoryBytes });
        await waitUntil(() => gateway.configVersion === 4);
    });
    afterEach(() => deployment.close());

    // Guards against a default that refuses a caller without other load.
    it("should serve bodies of the largest size one after the other on the smallest machine", async () => {
        const { memory } = deployment.gateways[0]!.input;
        const framings: Record<string, string>[] = [
            { "Content-Length": String(bodyBytes) },
            { "Transfer-Encoding": "chunked" },
        ];
        for (const framing of framings) {
            const { status } = await deployment.call("POST", "/order/1", framing, "x".repeat(bodyBytes));
            expect(status).toEqual(200);
            await waitUntil(() => memory.heldBytes === 0);
        }
        expect(deployment.plainWorker.ran.map(({ body }) => body.length)).toEqual([bodyBytes, bodyBytes]);
    });

    // Guards against a refusal that a caller can't tell from a call that may have run.
    it("should refuse what does not fit with 503 and Retry-After, and not run it", async () => {
        deployment.plainWorker.delayMs = 1_500;
        const calls = Array.from(
            { length: 6 },
            () =>
                deployment.call("POST", "/order/1", { "Content-Length": String(bodyBytes) }, "x".repeat(bodyBytes))
                    .catch(() => undefined),
        );
        const answers = await Promise.all(calls);
        const statuses = answers.map(answer => answer?.status);
        expect(statuses.every(status => status === 200 || status === 503 || status === undefined)).toEqual(true);
        expect(statuses).toInclude(503);
        const refusals = answers.filter(answer => answer?.status === 503);
        expect(refusals.every(answer => answer!.headers["retry-after"] === "1")).toEqual(true);
        expect(deployment.plainWorker.ran.length).toEqual(statuses.filter(status => status === 200).length);
    });
});
