import { expect } from "earl";
import { after, before, beforeEach, describe, it } from "node:test";
import { request } from "undici";

import { Deployment, until } from "./deployment.js";

describe("calls on the platform", () => {
    let site: Deployment;
    before(async () => site = await Deployment.start(1));
    after(() => site.close());
    beforeEach(() => {
        for (const worker of [site.brain, site.ops]) {
            worker.fault = "none";
            worker.ran.length = 0;
            worker.gapMs = 1;
        }
    });

    it("should pass a call on unchanged, but for the headers that only the system sets", async () => {
        const headers = { "Request-Id": "a1", "X-Note": "kept", "Hold": "7", "Pin-Ms": "9", "Kv-Backup": "1.2.3.4:5" };
        const res = await site.call("POST", "/order/sugar?kg=5", headers, "five kilos");
        expect([res.status, res.body]).toEqual([200, "answer to a1"]);
        expect(res.headers["response-signature"]).toEqual("3e1b.07.5a2");
        const ran = site.ops.ran[0]!;
        expect([ran.path, ran.body, ran.headers["x-note"]]).toEqual(["/order/sugar?kg=5", "five kilos", "kept"]);
        expect([ran.headers["hold"], ran.headers["pin-ms"], ran.headers["kv-backup"]]).toEqual([
            undefined,
            undefined,
            undefined,
        ]);
        expect(Number(ran.headers["deadline-ms"])).toSatisfy(left => left > 2_000 && left <= 2_500);
    });

    it("should answer 404 only for what no route allows", async () => {
        expect((await site.call("GET", "/nowhere/1")).status).toEqual(404);
        expect((await site.call("GET", "/look/1")).status).toEqual(200);
    });

    it("should refuse a body over the limit without sending it on", async () => {
        expect((await site.call("POST", "/order/1", {}, "x".repeat(1_001))).status).toEqual(413);
        expect(site.ops.ran).toEqual([]);
    });

    it("should never run a call twice that must not be repeated", async () => {
        site.ops.fault = "loseAnswer";
        expect((await site.call("POST", "/order/1", {}, "once")).status).toEqual(502);
        expect(site.ops.ran.length).toEqual(1);
    });

    it("should promise that a call has not run only if the worker said so", async () => {
        site.ops.fault = "full";
        const refused = await site.call("POST", "/order/1", {}, "once");
        expect([refused.status, Number(refused.headers["retry-after"]) > 0]).toEqual([503, true]);
        site.ops.fault = "vague";
        expect((await site.call("POST", "/order/2", {}, "once")).status).toEqual(502);
    });

    it("should not pass on what is no answer, or the answer to another call", async () => {
        site.ops.fault = "garble";
        expect((await site.call("POST", "/order/1", {}, "x")).status).toEqual(502);
        site.ops.fault = "otherRequest";
        const res = await site.call("POST", "/order/2", {}, "x");
        expect([res.status, res.body.includes("foreign")]).toEqual([502, false]);
    });

    it("should pass events on as they come, and never end a cut stream as if it were whole", async () => {
        const whole = await site.turn("p-events", "e1", "hello");
        expect(whole.body).toEqual("id: 0\ndata: e1-0\n\nid: 1\ndata: e1-1\n\nid: 2\ndata: e1-2\n\n");
        site.brain.fault = "cut";
        await expect(site.turn("p-cut", "e2", "hello")).toBeRejected();
    });

    it("should not take what ends with its connection for whole: a crash looks the same", async () => {
        for (const fault of ["unframed", "unframedReset"] as const) {
            site.ops.fault = fault;
            const res = await site.call("POST", "/order/1", {}, "x");
            expect([res.status, res.body.includes("half")]).toEqual([502, false]);
        }
        site.brain.fault = "cutClosing";
        await expect(site.turn("p-closing", "e3", "hello")).toBeRejected();
    });

    it("should answer at the route's timeout", async () => {
        site.ops.gapMs = 1_000;
        const startedAt = performance.now();
        expect((await site.call("GET", "/short/1")).status).toEqual(504);
        expect(performance.now() - startedAt).toSatisfy(ms => ms >= 190 && ms < 700);
    });

    it("should stop a worker within half a second after the caller has left", async () => {
        site.brain.gapMs = 300;
        site.brain.abandoned.length = 0;
        const leaving = new AbortController();
        const res = await request(`http://127.0.0.1:${site.gateways[0]!.port}/chat/turn`, {
            method: "POST",
            headers: { "Host": "carts.example", "Request-Id": "gone-1", "Token-Usage": "40,50", "Model": "m" },
            body: "hello",
            signal: leaving.signal,
        });
        res.body.on("error", () => {});
        leaving.abort();
        const leftAt = performance.now();
        await until(() => site.brain.abandoned.includes("gone-1"));
        expect(performance.now() - leftAt < 500).toEqual(true);
    });

    it("should send nothing to a worker that drains, and use it again when it is ready", async () => {
        site.store.put("servers/i-ops", site.ops.entry("draining"));
        await until(() => site.gateways[0]!.upstreams.get("i-ops")!.entry.draining);
        const refused = await site.call("GET", "/look/1");
        expect([refused.status, site.ops.ran.length]).toEqual([503, 0]);
        site.store.put("servers/i-ops", site.ops.entry("ready"));
        await until(() => !site.gateways[0]!.upstreams.get("i-ops")!.entry.draining);
        expect((await site.call("GET", "/look/2")).status).toEqual(200);
    });
});
