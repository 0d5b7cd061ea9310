import { Progress, silentLogger } from "@marigolddrift/common";
import {
    callHeaders,
    parseHedgeShare,
    parsePlacement,
    parseSettings,
    PlatformStandin,
    PlatformStore,
    RetirementHandler,
    storeLayout,
} from "@marigolddrift/platform";
import { HistoryGoneError, StoreError, StoreRefusalError } from "@marigolddrift/store";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";

import { config, waitUntil } from "./deployment.js";
import { machineSettings } from "./machineSettings.js";

const settings = machineSettings({
    node: "front-north-a-1",
    fields: ["somethingNew = true"],
    listen: ["front = \"10.1.0.38:8149\"", "ready = \"10.1.0.38:8141\""],
});

describe("platform settings", () => {
    // Guards against a front that sends copies of calls because of a mistyped setting.
    it("should take the share of second copies from 0 to 1, and refuse anything else", () => {
        expect([undefined, "", "0", "0.02", "1"].map(parseHedgeShare)).toEqual([0, 0, 0, 0.02, 1]);
        for (const text of ["2 %", "-0.1", "1.5", "NaN"]) {
            expect(() => parseHedgeShare(text)).toThrow("MARIGOLDDRIFT_HEDGE_SHARE");
        }
    });

    it("should place by observation only if the operator has chosen it, and refuse a value that it does not know", () => {
        expect([undefined, "regional", "observed"].map(parsePlacement)).toEqual([false, false, true]);
        expect(() => parsePlacement("best")).toThrow("MARIGOLDDRIFT_PLACEMENT");
    });

    it("should be parsed, and new fields left out", () => {
        const cfg = parseSettings(settings);
        expect(cfg.listen.front).toEqual({ host: "10.1.0.38", port: 8149 });
        expect([cfg.innerPorts[0], cfg.bounds.graceS, cfg.dataDir]).toEqual([7380, 8, undefined]);
    });

    it("should be refused with the name of the invalid field", () => {
        expect(() => parseSettings(settings.replace("10.1.0.38:8149", "nowhere"))).toThrow("front");
    });
});

describe("platform store entries", () => {
    const bytes = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

    it("should decode routes by the values of their fields", () => {
        const decoded = storeLayout.decodeConfig(bytes(config(7)))!;
        const [chat, look, order] = decoded.routes;
        expect([chat!.isStreaming, chat!.idempotent, chat!.turnRetentionMs]).toEqual([true, false, 60_000]);
        expect([look!.isStreaming, look!.idempotent, look!.maxUpstreams]).toEqual([false, true, 2]);
        expect([order!.idempotent, order!.turnRetentionMs]).toEqual([false, 0]);
        expect(decoded.services[0]!.engine?.tokensPerEvent).toEqual(10);
    });

    it("should take a stream as idempotent only if it is resumable", () => {
        const [route] = config(7).routes;
        const resumable = { ...config(7), routes: [{ ...route, resumable: true }] };
        expect(storeLayout.decodeConfig(bytes(resumable))!.routes[0]!.idempotent).toEqual(true);
    });

    it("should leave out an entry that names no valid upstream, and an invalid configuration", () => {
        const entry = { service: "s", address: "10.0.0.1:80", zone: "z", version: "v1", slots: 4, state: "ready" };
        const decode = (value: Buffer) => storeLayout.decodeUpstream("servers/i-1", value);
        expect(decode(bytes(entry))?.id).toEqual("i-1");
        expect(decode(bytes({ ...entry, version: 7 }))?.build).toEqual("7");
        expect(decode(bytes({ ...entry, version: undefined }))).toEqual(undefined);
        // Guards against a version that does not fit into the declaration of its service, with which no other is declared either.
        expect(decode(bytes({ ...entry, version: "v".repeat(1_024) }))?.build.length).toEqual(1_024);
        expect(decode(bytes({ ...entry, version: "v".repeat(1_025) }))).toEqual(undefined);
        expect(decode(bytes({ ...entry, state: "dreaming" }))).toEqual(undefined);
        expect(decode(bytes({ ...entry, address: 7 }))).toEqual(undefined);
        expect(decode(bytes({ ...entry, slots: "4" }))).toEqual(undefined);
        expect(decode(Buffer.from([0xff, 0x00]))).toEqual(undefined);
        expect(storeLayout.decodeConfig(bytes({ version: 8 }))).toEqual(undefined);
    });
});

describe("platform headers", () => {
    it("should not pass on hop-by-hop headers, or headers named by the Connection list", () => {
        const raw = ["Connection", "keep-alive, X-Hop", "X-Hop", "1", "X-End", "2", "Expect-Instance", "forged"];
        const headers = callHeaders.buildUpstreamHeaders(raw, {
            upstream: "i-1",
            leftMs: 900,
            caller: undefined,
            enginePriority: undefined,
        });
        expect(headers).toEqual(["X-End", "2", "Deadline-Ms", "900", "Expect-Instance", "i-1"]);
    });

    it("should decode the headers of a turn", () => {
        const head = callHeaders.parseCall({
            "request-id": "r1",
            "token-usage": "1460,80",
            "prompt-prefix": "5c1e:800,91bd:410",
            "program-id": "p1",
            "session-id": "l1",
            "finish-ms": "5200",
            "token-budget": "2304",
            "previous-turn": "t0",
        });
        expect(head.prompt!).toHaveSubset({ promptTokens: 1_460, maxOutputTokens: 80 });
        expect(head.prompt!.parts.map(part => part.tokens)).toEqual([800, 410]);
        expect(head.program).toEqual({
            id: "p1",
            thread: "l1",
            finishInMs: 5_200,
            tokenBudget: 2_304,
            previousTurnId: "t0",
        });
    });

    it("should take a call as not run only if marked so by the worker", () => {
        const read = (status: number, headers: string[]) => callHeaders.parseReply(status, headers);
        expect(read(503, ["Not-Executed", "1"])).toHaveSubset({ notRun: true, promisesNotRun: true });
        expect(read(421, [])).toHaveSubset({ notRun: true });
        expect(read(503, [])).toHaveSubset({ notRun: false, promisesNotRun: true });
    });
});

describe("platform store client", () => {
    const standin = new PlatformStandin();
    const progress = () => new Progress(2_000);
    before(() => standin.start());
    after(() => standin.close());

    it("should report the outcome of each call", async () => {
        const store = new PlatformStore(standin.address);
        const value = Buffer.from("v");
        const first = await store.txn([{ key: "a", revision: 0 }], [{ key: "a", value }], progress());
        expect(first.succeeded).toEqual(true);
        const second = await store.txn([{ key: "a", revision: 0 }], [{ key: "a", value }], progress());
        expect([second.succeeded, second.current![0]!.revision]).toEqual([false, first.revision]);
        expect(await store.get("nothing", progress())).toEqual(undefined);
        standin.oldestRevision = standin.state.revision;
        await expect(store.changes("", 0, 10, progress())).toBeRejectedWith(HistoryGoneError);
        standin.fault = "busy";
        await expect(store.get("a", progress())).toBeRejectedWith(StoreRefusalError);
        standin.fault = "down";
        await expect(store.get("a", progress())).toBeRejectedWith(StoreError);
        standin.fault = "none";
        await store.close();
    });

    it("should report the retirement of a store machine as complete when it was requested", async () => {
        const store = new PlatformStore(standin.address);
        const retirement = new RetirementHandler("store-1", store, async () => {}, 5_000, silentLogger);
        retirement.start();
        standin.put("op/retire/store-12", { durationS: 5 });
        standin.put("op/retire/store-1", { durationS: 5 });
        await waitUntil(() => standin.state.get("status/retire/store-1") !== undefined);
        expect(standin.state.get("status/retire/store-1")!.value.toString()).toEqual("{\"state\":\"complete\"}");
        expect(standin.state.get("status/retire/store-12")).toEqual(undefined);
        retirement.stop();
        await store.close();
    });

    it("should retry the report of a machine no more once stopped, although the store never accepted it", async () => {
        const store = new PlatformStore(standin.address);
        let evacuations = 0;
        const evacuate = async (): Promise<void> => {
            evacuations += 1;
            standin.fault = "down";
        };
        const retirement = new RetirementHandler("store-2", store, evacuate, 5_000, silentLogger);
        retirement.start();
        standin.put("op/retire/store-2", { durationS: 5 });
        await waitUntil(() => (store.calls["/api/kv-txn"] ?? 0) >= 2);
        retirement.stop();
        const calls = store.calls["/api/kv-txn"]!;
        await new Promise(resolve => setTimeout(resolve, 800));
        expect([store.calls["/api/kv-txn"], evacuations]).toEqual([calls, 1]);
        standin.fault = "none";
        await store.close();
    });
});
