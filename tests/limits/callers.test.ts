import type { Problem } from "@marigolddrift/common";
import { Client } from "@marigolddrift/workload";
import { expect } from "earl";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { LocalFleet } from "../../bench/localFleet.js";
import { barbeDouce, inOneZone } from "../../bench/sampleBundle.js";

const layout = inOneZone(barbeDouce, { daemons: 1, engines: 1 });

describe("caller requests", () => {
    const fleet = new LocalFleet({ layout });
    const client = new Client(layout.callerKey);
    let id = "";

    before(async () => {
        await fleet.start();
        ({ id } = await client.open(fleet.url(0), { agent: "restock-planner" }));
    });
    after(async () => {
        await client.close();
        await fleet.stop();
    });

    const send = async (
        path: string,
        body: string,
        headers: Record<string, string> = {},
        method: "POST" | "GET" = "POST",
    ): Promise<Problem> => {
        const res = await request(`${fleet.url(0)}${path}`, {
            method,
            body: method === "POST" ? body : null,
            headers: { "authorization": `Bearer ${layout.callerKey}`, "program-id": id, ...headers },
        });
        return await res.body.json() as Problem;
    };
    const chat = (body: unknown, headers: Record<string, string> = {}): Promise<Problem> =>
        send("/v1/chat/completions", typeof body === "string" ? body : JSON.stringify(body), headers);

    it("should reject malformed JSON", async () => {
        expect(await chat("{\"messages\": [")).toHaveSubset({ status: 400, code: "malformed_json", verdict: "notRun" });
    });

    it("should name unknown fields and fields of the wrong type", async () => {
        const unknown = await chat({ messages: [{ role: "user", content: "a" }], max_tokns: 5 });
        expect([unknown.code, unknown.detail.includes("max_tokns")]).toEqual(["invalid_request", true]);
        const wrong = await chat({ messages: "hello" });
        expect([wrong.code, wrong.detail.includes("messages")]).toEqual(["invalid_request", true]);
    });

    it("should reject invalid call numbers", async () => {
        const body = { messages: [{ role: "user", content: "a" }] };
        for (const call of ["0", "-1", "1.5", "x"]) {
            expect(await chat(body, { "program-call": call })).toHaveSubset({ code: "invalid_request" });
        }
    });

    it("should reject bodies and headers that are too large", async () => {
        const large = await chat(JSON.stringify({ messages: [{ role: "user", content: "x".repeat(9 * 1024 * 1024) }] }))
            .catch(() => undefined);
        expect(large?.code ?? "body_too_large").toEqual("body_too_large");
        expect(await send("/v1/programs", "{}", { "x-long": "x".repeat(40_000) })).toHaveSubset({
            status: 431,
            code: "headers_too_large",
        });
    });

    it("should reject unknown paths, programs, agents and services", async () => {
        expect(await send("/v1/nothing", "{}")).toHaveSubset({ status: 404, code: "not_found" });
        expect(await send("/v1/programs/p.abc.def", "", {}, "GET")).toHaveSubset({ code: "unknown_program" });
        expect(await send("/v1/programs", "{\"agent\":\"nobody\"}")).toHaveSubset({ code: "invalid_request" });
        expect(await send("/v1/services/nothing/x", "{}")).toHaveSubset({ code: "unknown_service" });
        expect(await send("/v1/services/cart-ops/x", "{}", { "program-id": "" })).toHaveSubset({
            code: "idempotency_key_required",
            status: 428,
        });
    });

    it("should keep serving after a malformed or truncated request", async () => {
        const { port } = new URL(fleet.url(0));
        const truncatedRequest = "POST /v1/programs HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{";
        for (const text of ["\u0000\u0001garbage\r\n\r\n", truncatedRequest, "GET /"]) {
            await new Promise<void>(resolve => {
                const socket = connect(Number(port), "127.0.0.1", () => {
                    socket.write(text);
                    setTimeout(() => socket.destroy(), 30);
                });
                socket.on("close", () => resolve());
                socket.on("error", () => {});
            });
        }
        const answer = await client.chat(fleet.url(0), id, [{ role: "user", content: "a [[tokens=3]]" }], { call: 1 });
        expect(answer.status).toEqual(200);
    });

    it("should cancel the engine's work when the caller disconnects, and let the call run again", async () => {
        const programId = (await client.open(fleet.url(0), { agent: "restock-planner" })).id;
        const engine = [...fleet.standins.engines.values()][0]!;
        const abort = new AbortController();
        const messages = [{ role: "user" as const, content: "long [[tokens=900]]" }];
        const abortedCall = client.chat(fleet.url(0), programId, messages, {
            call: 1,
            stream: true,
            maxTokens: 900,
            signal: abort.signal,
        }).catch(() => undefined);
        await new Promise(resolve => setTimeout(resolve, 200));
        abort.abort();
        await abortedCall;
        for (let tries = 0; engine.core.counters.cancelled === 0 && tries < 100; tries++) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        expect(engine.core.counters.cancelled).toEqual(1);
        const short = [{ role: "user" as const, content: "long [[tokens=4]]" }];
        expect((await client.chat(fleet.url(0), programId, short, { call: 1 })).status).toEqual(200);
    });
});
