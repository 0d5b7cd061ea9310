import { expect } from "earl";
import { after, before, beforeEach, describe, it } from "node:test";
import { request } from "undici";

import { Deployment, waitUntil } from "./deployment.js";
import type { ReceivedResponse } from "./deployment.js";

/** How the caller can tell the end of a response. */
const framingOf = ({ headers }: ReceivedResponse) => ({
    length: headers["content-length"],
    encoding: headers["transfer-encoding"],
    connection: headers["connection"],
});

describe("calls on the platform", () => {
    let deployment: Deployment;
    before(async () => deployment = await Deployment.start(1));
    after(() => deployment.close());
    beforeEach(() => deployment.resetWorkers());

    it("should pass a call on unchanged except for headers that are reserved for the system", async () => {
        const headers = { "Request-Id": "a1", "X-Note": "kept", "Hold": "7", "Pin-Ms": "9", "Kv-Backup": "1.2.3.4:5" };
        const res = await deployment.call("POST", "/order/sugar?kg=5", headers, "five kilos");
        expect([res.status, res.body]).toEqual([200, "answer to a1"]);
        expect(res.headers["response-signature"]).toEqual("3e1b.07.5a2");
        const ran = deployment.plainWorker.ran[0]!;
        expect([ran.path, ran.body, ran.headers["x-note"]]).toEqual(["/order/sugar?kg=5", "five kilos", "kept"]);
        expect([ran.headers["hold"], ran.headers["pin-ms"], ran.headers["kv-backup"]]).toEqual([
            undefined,
            undefined,
            undefined,
        ]);
        expect(Number(ran.headers["deadline-ms"])).toSatisfy(left => left > 2_000 && left <= 2_500);
    });

    it("should answer 404 only for paths without a route", async () => {
        expect((await deployment.call("GET", "/nowhere/1")).status).toEqual(404);
        expect((await deployment.call("GET", "/look/1")).status).toEqual(200);
    });

    it("should refuse a body over the limit without passing it on", async () => {
        expect((await deployment.call("POST", "/order/1", {}, "x".repeat(1_001))).status).toEqual(413);
        expect(deployment.plainWorker.ran).toEqual([]);
    });

    it("should never run a non-idempotent call twice", async () => {
        deployment.plainWorker.fault = "loseResponse";
        expect((await deployment.call("POST", "/order/1", {}, "once")).status).toEqual(502);
        expect(deployment.plainWorker.ran.length).toEqual(1);
    });

    it("should answer 503 for a call that has not run only if the worker says so", async () => {
        deployment.plainWorker.fault = "full";
        const refused = await deployment.call("POST", "/order/1", {}, "once");
        expect([refused.status, Number(refused.headers["retry-after"]) > 0]).toEqual([503, true]);
        deployment.plainWorker.fault = "bare503";
        expect((await deployment.call("POST", "/order/2", {}, "once")).status).toEqual(502);
    });

    it("should not pass on a malformed response or the response to another call", async () => {
        deployment.plainWorker.fault = "malformedResponse";
        expect((await deployment.call("POST", "/order/1", {}, "x")).status).toEqual(502);
        deployment.plainWorker.fault = "wrongRequestId";
        const res = await deployment.call("POST", "/order/2", {}, "x");
        expect([res.status, res.body.includes("foreign")]).toEqual([502, false]);
    });

    it("should pass events on as they arrive, and never end a truncated stream as if it were complete", async () => {
        const whole = await deployment.turn("p-events", "e1", "hello");
        expect(whole.body).toEqual("id: 0\ndata: e1-0\n\nid: 1\ndata: e1-1\n\nid: 2\ndata: e1-2\n\n");
        deployment.streamingWorker.fault = "truncate";
        await expect(deployment.turn("p-cut", "e2", "hello")).toBeRejected();
    });

    it("should take a response that ends with its connection as complete, unless the connection is reset", async () => {
        deployment.plainWorker.fault = "unframed";
        const whole = await deployment.call("POST", "/order/1", { "Request-Id": "w1" }, "x");
        expect([whole.status, whole.body]).toEqual([200, "answer to w1"]);
        expect(framingOf(whole)).toEqual({ length: undefined, encoding: undefined, connection: "close" });
        deployment.plainWorker.fault = "unframedReset";
        const reset = await deployment.call("POST", "/order/1", {}, "x");
        expect([reset.status, reset.body.includes("answer to")]).toEqual([502, false]);
    });

    it("should leave it to the caller whether a response that ends with its connection is whole", async () => {
        deployment.plainWorker.fault = "unframedCut";
        const cut = await deployment.call("POST", "/order/1", {}, "x");
        expect([cut.status, cut.body]).toEqual([200, "answer to "]);
        expect(framingOf(cut)).toEqual({ length: undefined, encoding: undefined, connection: "close" });
    });

    it("should take a stream that ends with its connection as complete, and keep its turn", async () => {
        deployment.streamingWorker.fault = "unframed";
        const whole = await deployment.turn("p-unframed", "u1", "hello ");
        expect(whole.body).toEqual("id: 0\ndata: u1-0\n\nid: 1\ndata: u1-1\n\nid: 2\ndata: u1-2\n\n");
        expect(framingOf(whole).encoding).toEqual("chunked");
        deployment.streamingWorker.fault = "none";
        await deployment.turn("p-unframed", "u2", "again", "u1");
        expect(deployment.streamingWorker.ran.at(-1)!.body).toEqual("hello u1-0\nu1-1\nu1-2\nagain");
    });

    for (const fault of ["unframedReset", "unframedInsideEvent", "endInsideEvent", "truncateAndClose"] as const) {
        it(`should not end a stream as complete that was broken off: ${fault}`, async () => {
            deployment.streamingWorker.fault = fault;
            await expect(deployment.turn("p-broken", `b-${fault}`, "hello")).toBeRejected();
            deployment.streamingWorker.fault = "none";
            const next = await deployment.turn("p-broken", `n-${fault}`, "again", `b-${fault}`);
            expect(next.status).toEqual(404);
        });
    }

    it("should answer 504 at the route's timeout", async () => {
        deployment.plainWorker.delayOf = path => path.startsWith("/look/") ? 500 : 1_000;
        const startedAt = performance.now();
        const ended: string[] = [];
        const call = async (path: string): Promise<number> => {
            const { status } = await deployment.call("GET", path);
            ended.push(path);
            return status;
        };
        const timedOut = call("/short/1").then(status => ({ status, ms: performance.now() - startedAt }));
        // Ends after half a second, or later by as much as the whole process is late.
        const answered = call("/look/1");
        const { status, ms } = await timedOut;
        expect(status).toEqual(504);
        expect(ms).toSatisfy(value => value >= 190);
        expect(await answered).toEqual(200);
        expect(ended).toEqual(["/short/1", "/look/1"]);
    });

    it("should stop the call to a worker within half a second after the caller disconnects", async () => {
        deployment.streamingWorker.delayMs = 300;
        deployment.streamingWorker.abandonedRequestIds.length = 0;
        const callerAbort = new AbortController();
        const res = await request(`http://127.0.0.1:${deployment.gateways[0]!.port}/chat/turn`, {
            method: "POST",
            headers: { "Host": "carts.example", "Request-Id": "gone-1", "Token-Usage": "40,50", "Model": "m" },
            body: "hello",
            signal: callerAbort.signal,
        });
        res.body.on("error", () => {});
        callerAbort.abort();
        const disconnectedAt = performance.now();
        await waitUntil(() => deployment.streamingWorker.abandonedRequestIds.includes("gone-1"));
        expect(performance.now() - disconnectedAt < 500).toEqual(true);
    });

    it("should send no calls to a draining worker, and use it again when it is ready", async () => {
        deployment.store.put("servers/i-ops", deployment.plainWorker.entry("draining"));
        await waitUntil(() => deployment.gateways[0]!.upstreams.get("i-ops")!.entry.draining);
        const refused = await deployment.call("GET", "/look/1");
        expect([refused.status, deployment.plainWorker.ran.length]).toEqual([503, 0]);
        deployment.store.put("servers/i-ops", deployment.plainWorker.entry("ready"));
        await waitUntil(() => !deployment.gateways[0]!.upstreams.get("i-ops")!.entry.draining);
        expect((await deployment.call("GET", "/look/2")).status).toEqual(200);
    });
});
