import { expect } from "earl";
import { after, before, beforeEach, describe, it } from "node:test";

import { Deployment, waitUntil } from "./deployment.js";

const mib = 1024 * 1024;

/** Time by which a call must have ended: its deadline and half a second. */
const callTimeoutMs = 2_500 + 500;

/** Number of calls that get an endless reply at the same time. */
const concurrentCalls = 4;

describe("replies without end", () => {
    let deployment: Deployment;
    before(async () => deployment = await Deployment.start(1));
    after(() => deployment.close());
    beforeEach(() => deployment.resetWorkers());

    const callAll = async (call: (index: number) => Promise<unknown>): Promise<{ ms: number; results: unknown[]; }> => {
        const startedAt = performance.now();
        const results = await Promise.all(Array.from({ length: concurrentCalls }, (_, index) => call(index)));
        return { ms: performance.now() - startedAt, results };
    };
    const placeOrder = async (index: number): Promise<string> => {
        const { status, body } = await deployment.call("POST", `/order/${index}`, {}, "once");
        return `${status} ${(JSON.parse(body) as { verdict: string; }).verdict}`;
    };
    const playTurn = async (index: number): Promise<string> => {
        try {
            const { status } = await deployment.turn(`endless-${index}`, deployment.newId(), "hello");
            return status === 200 ? "complete" : "failed";
        }
        catch {
            return "broken off";
        }
    };
    const allEqual = (text: string): string[] => Array.from({ length: concurrentCalls }, () => text);

    it("should report that an order may have run when the head does not end, soon and with little memory", async () => {
        deployment.plainWorker.fault = "endlessHead";
        const { ms, results } = await callAll(placeOrder);
        expect(results).toEqual(allEqual("502 mayHaveRun"));
        expect(ms).toSatisfy(value => value < callTimeoutMs);
        expect(deployment.plainWorker.endlessBytes).toSatisfy(bytes => bytes <= concurrentCalls * mib);
        expect(deployment.plainWorker.ran.length).toEqual(concurrentCalls);
    });

    it("should break off a body that does not end before it fills the memory", async () => {
        deployment.plainWorker.fault = "endlessBody";
        const { ms, results } = await callAll(placeOrder);
        expect(results).toEqual(allEqual("502 mayHaveRun"));
        expect(ms).toSatisfy(value => value < callTimeoutMs);
        // Four MiB are kept of each body; the rest is in the buffers of the sockets.
        expect(deployment.plainWorker.endlessBytes).toSatisfy(bytes => bytes <= concurrentCalls * 16 * mib);
    });

    it("should end a call at its deadline when the body drips on", async () => {
        deployment.plainWorker.fault = "drippingBody";
        const { ms, results } = await callAll(placeOrder);
        expect(results).toEqual(allEqual("504 mayHaveRun"));
        expect(ms).toSatisfy(value => value < callTimeoutMs);
    });

    it("should break off a stream that does not end, never as if it were complete", async () => {
        for (const fault of ["endlessHead", "endlessBody", "drippingBody"] as const) {
            deployment.streamingWorker.fault = fault;
            deployment.streamingWorker.endlessBytes = 0;
            const { ms, results } = await callAll(playTurn);
            expect(results).not.toInclude("complete");
            expect(ms).toSatisfy(value => value < callTimeoutMs);
            expect(deployment.streamingWorker.endlessBytes).toSatisfy(bytes => bytes <= concurrentCalls * 16 * mib);
        }
    });

    it("should take a refusal at its word when its body does not end", async () => {
        deployment.plainWorker.fault = "endlessRefusal";
        const { ms, results } = await callAll(placeOrder);
        expect(results).toEqual(allEqual("503 notRun"));
        expect(ms).toSatisfy(value => value < 500);
        expect(deployment.plainWorker.ran).toEqual([]);
        // A chunk that was written before the connection closed is still counted.
        await waitUntil(() => deployment.plainWorker.openEndlessReplies === 0, 1_000);
        expect(deployment.plainWorker.endlessBytes).toSatisfy(bytes => bytes <= concurrentCalls * mib);
    });

    // Guards against endless replies to many calls at once, each within its own limit, that fill the memory of a small machine.
    it("should bound the memory of all replies together, and break off the largest", async () => {
        const limit = 3 * mib;
        const gateway = await deployment.addGateway({ memory: { replyBytes: limit } });
        deployment.streamingWorker.fault = "endlessBody";
        const turns = callAll(async index => {
            try {
                const { status } = await deployment.turn(
                    `many-${index}`,
                    deployment.newId(),
                    "hello",
                    undefined,
                    gateway,
                );
                return status === 200 ? "complete" : "failed";
            }
            catch {
                return "broken off";
            }
        });
        let mostBytes = 0;
        const timer = setInterval(() => mostBytes = Math.max(mostBytes, gateway.replyMemory.heldBytes), 1);
        const startedAt = performance.now();
        while (performance.now() - startedAt < 300) {
            expect((await deployment.call("GET", "/look/1", {}, undefined, gateway)).status).toEqual(200);
        }
        expect((await turns).results).not.toInclude("complete");
        clearInterval(timer);
        expect(mostBytes).toSatisfy(bytes => bytes > 0 && bytes <= limit);
        expect(gateway.replyMemory.heldBytes).toEqual(0);
    });

    it("should serve other calls while and after replies do not end", async () => {
        deployment.streamingWorker.fault = "endlessBody";
        const turns = callAll(playTurn);
        await waitUntil(() => deployment.streamingWorker.endlessBytes > 0);
        const startedAt = performance.now();
        expect((await deployment.call("GET", "/look/1")).status).toEqual(200);
        expect(performance.now() - startedAt).toSatisfy(ms => ms < 1_000);
        await turns;
        deployment.streamingWorker.fault = "none";
        expect((await deployment.turn("endless-after", deployment.newId(), "hello")).status).toEqual(200);
    });
});
