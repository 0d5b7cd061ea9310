import { LineLogger, silentLogger } from "@marigolddrift/common";
import type { WriteFunction } from "@marigolddrift/common";
import { chooseTarget, classifyReply, RouteTable, Upstreams } from "@marigolddrift/gateway";
import type { ReplyHead, Route, UpstreamEntry } from "@marigolddrift/gateway";
import { PrefixView } from "@marigolddrift/policy";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

const route = (name: string, host: string, prefix: string): Route => ({
    name,
    host,
    prefix,
    isStreaming: false,
    idempotent: true,
    targets: [{ service: "s", weight: 1 }],
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    priority: 0,
    maxUpstreams: 1,
    turnRetentionMs: 0,
    isPublic: false,
    isSticky: false,
});
const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 };

describe("route table", () => {
    const routes = [
        route("root", "a.example", "/"),
        route("deep", "a.example", "/x/y/"),
        route("b", "b.example", "/x/"),
    ];
    const table = new RouteTable({ version: 1, services: [], workspaces: undefined, limits, routes });

    it("should select the longest matching prefix among the host's routes", () => {
        const match = (host: string, path: string): string | undefined => table.match(host, path)?.name;
        expect(match("a.example", "/x/y/z")).toEqual("deep");
        expect(match("A.example:80", "/x/y?from=/x/y/")).toEqual("root");
        expect(match("b.example", "/x/")).toEqual("b");
        expect(match("b.example", "/x")).toEqual(undefined);
        expect(match("c.example", "/x/")).toEqual(undefined);
    });

    it("should split calls by weight", () => {
        const weighted = {
            ...route("r", "h", "/"),
            targets: [{ service: "s", weight: 9 }, { service: "t", weight: 1 }],
        };
        expect([0, 0.89, 0.91, 0.999].map(random => chooseTarget(weighted, random))).toEqual(["s", "s", "t", "t"]);
    });
});

describe("upstream replies", () => {
    const reply = (changes: Partial<ReplyHead>): ReplyHead => ({
        status: 200,
        callId: "c1",
        signed: true,
        notRun: false,
        promisesNotRun: false,
        isLeaving: false,
        endsWithConnection: false,
        requestsPerSecond: undefined,
        headers: [],
        ...changes,
    });

    it("should be passed on only if they belong to the call", () => {
        expect(classifyReply(reply({}), "c1")).toEqual("answer");
        expect(classifyReply(reply({ status: 500, signed: false, callId: undefined }), "c1")).toEqual("answer");
        expect(classifyReply(reply({ callId: "c0" }), "c1")).toEqual("unusable");
        expect(classifyReply(reply({ callId: "c0", notRun: true }), "c1")).toEqual("unusable");
        expect(classifyReply(reply({ signed: false }), "c1")).toEqual("unusable");
        expect(classifyReply(reply({ callId: undefined }), "c1")).toEqual("unusable");
    });

    it("should mean that the call did not run only if the upstream states it explicitly", () => {
        const refusal = { status: 503, notRun: true, promisesNotRun: true };
        expect(classifyReply(reply(refusal), "c1")).toEqual("notRun");
        expect(classifyReply(reply({ ...refusal, callId: undefined }), "c1")).toEqual("unusable");
        expect(classifyReply(reply({ status: 503, promisesNotRun: true }), "c1")).toEqual("unusable");
    });
});

describe("upstreams", () => {
    const entry = (id: string, changes: Partial<UpstreamEntry> = {}): UpstreamEntry => ({
        id,
        startedAt: 1,
        service: "s",
        build: "v1",
        address: "127.0.0.1:1",
        zone: "z",
        slots: 4,
        draining: false,
        ...changes,
    });
    const create = (): Upstreams => new Upstreams(() => {}, () => undefined, () => 2, silentLogger);

    it("should leave out upstreams at once when they drain or were removed", () => {
        const upstreams = create();
        upstreams.onSnapshot([entry("a"), entry("b"), entry("c")], false);
        upstreams.onEntryPut(entry("a", { draining: true }));
        upstreams.onEntryRemoved("b", false);
        expect(upstreams.usable("s").map(upstream => upstream.entry.id)).toEqual(["c"]);
    });

    it("should give upstreams whose entries expired during a store outage time to register again", () =>
        withClock(async clock => {
            const upstreams = create();
            upstreams.onSnapshot([entry("a"), entry("b")], false);
            upstreams.onSnapshot([entry("a")], true);
            upstreams.onEntryRemoved("a", true);
            await clock.tickAsync(1_500);
            expect(upstreams.usable("s").length).toEqual(2);
            upstreams.onEntryPut(entry("a"));
            await clock.tickAsync(1_000);
            expect(upstreams.usable("s").map(upstream => upstream.entry.id)).toEqual(["a"]);
        }));

    it("should take a restarted process with the same id as a new upstream", () => {
        const upstreams = create();
        upstreams.onEntryPut(entry("a"));
        const before = upstreams.get("a");
        upstreams.onEntryPut(entry("a", { startedAt: 2 }));
        expect(upstreams.get("a") === before).toEqual(false);
    });
});

describe("prefix view", () => {
    it("should count the tokens of the leading prompt parts that a worker has processed", () => {
        const view = new PrefixView();
        const parts = [{ id: "shared", tokens: 512 }, { id: "mine", tokens: 100 }, { id: "new", tokens: 50 }];
        view.onPrefilled("w", parts.slice(0, 2));
        expect(view.cachedTokens("w", parts)).toEqual(612);
        expect(view.cachedTokens("w", parts.slice(1))).toEqual(100);
        expect(view.cachedTokens("v", parts)).toEqual(0);
    });
});

describe("line logger", () => {
    it("should drop whole lines rather than wait when the reader is slow, and log their number", async () => {
        const written: string[] = [];
        let release: (() => void) | undefined;
        const slow: WriteFunction = (bytes, done) => {
            release = () => {
                written.push(bytes.toString());
                done(undefined, bytes.length);
            };
        };
        const log = new LineLogger({ instance: "i" }, slow);
        log.info("first");
        await new Promise(resolve => setImmediate(resolve));
        for (let line = 0; line < 20_000; line++) {
            log.info("flood", { line, text: "x".repeat(60) });
        }
        expect(log.dropped > 1_000).toEqual(true);
        for (let round = 0; round < 5; round++) {
            const releaseOne = release;
            release = undefined;
            releaseOne?.();
            await new Promise(resolve => setImmediate(resolve));
        }
        const lines = written.join("").trim().split("\n").map(line => JSON.parse(line) as Record<string, unknown>);
        expect(lines.find(line => line["event"] === "log lines dropped")?.["lines"]).toEqual(log.dropped);
    });
});
