import { askWhere, describeWhere } from "@marigolddrift/cli";
import { answerCallQuery, outcomeOf, ruledOutReason, StatusServer } from "@marigolddrift/gateway";
import type { Explanation } from "@marigolddrift/gateway";
import { expect } from "earl";
import { after, afterEach, before, describe, it } from "node:test";

import { config, Deployment, waitUntil } from "../platform/deployment.js";

const withWorkspaces = (version: number) => {
    const { routes, ...rest } = config(version);
    return {
        ...rest,
        routes: routes.map(route => ({ ...route, public: route.name === "look" })),
        tenants: [{ name: "north", apiKeys: ["key-of-north"], priority: 2, ratePerS: 50, burst: 5 }],
    };
};

const chat = { url: "carts.example/chat/turn", workspace: "north", parts: "a:500,b:300", outputTokens: 50 };
const turnHeaders = { "Api-Key": "key-of-north", "Token-Usage": "800,50", "Prompt-Prefix": "a:500,b:300" };

describe("marigolddrift where", () => {
    let deployment: Deployment;
    let server: StatusServer;
    let front: string;
    const ask = async (query: Parameters<typeof askWhere>[1]): Promise<Explanation> =>
        await askWhere(front, query) as unknown as Explanation;

    before(async () => {
        deployment = await Deployment.start(1);
        const [gateway] = deployment.gateways;
        server = new StatusServer("/metrics", () => ({ status: 200, contentType: "text/plain", body: "" }));
        server.add("/where", query => answerCallQuery(gateway!.explainer, query));
        front = `127.0.0.1:${await server.listen("127.0.0.1", 0)}`;
        deployment.store.put("op/config", withWorkspaces(10));
        await waitUntil(() => gateway!.configVersion === 10);
    });
    after(() => {
        server.close();
        deployment.close();
    });
    afterEach(async () => {
        deployment.streamingWorker.delayMs = 1;
        deployment.store.put("servers/i-brain", deployment.streamingWorker.entry());
        deployment.store.remove("servers/i-far");
        await waitUntil(() =>
            deployment.gateways[0]!.upstreams.get("i-far") === undefined &&
            deployment.gateways[0]!.upstreams.usable("brain").length === 1
        );
    });

    it("should name the upstream, its figures and what the decision is based on", async () => {
        const answer = await ask(chat);
        expect(answer.outcome.action).toEqual("send");
        expect(answer.outcome.upstream).toEqual("i-brain");
        const { configVersion, route, service, workspace, priority, quota } = answer;
        expect({ configVersion, route, service, workspace, priority, quota }).toEqual({
            configVersion: 10,
            route: "chat",
            service: "brain",
            workspace: "north",
            priority: 2,
            quota: { perSecond: 50, burst: 5 },
        });
        const [candidate] = answer.candidates!;
        expect([candidate!.upstream, candidate!.inFlight, candidate!.cachedTokens, candidate!.open]).toEqual([
            "i-brain",
            0,
            0,
            true,
        ]);
        expect(describeWhere(answer)["outcome"]).toEqual("would be sent to i-brain");
    });

    it("should know what is cached, and send nothing and change nothing by asking", async () => {
        const [gateway] = deployment.gateways;
        await deployment.call("POST", "/chat/turn", { ...turnHeaders, "Program-Id": "p", "Session-Id": "p" }, "hello");
        await waitUntil(() => gateway!.entry.active === 0);
        const state = () => ({
            load: gateway!.upstreams.localLoad(),
            arrivals: deployment.streamingWorker.arrivals.length,
            active: gateway!.entry.active,
        });
        const earlier = state();
        const answers = await Promise.all(Array.from({ length: 40 }, () => ask(chat)));
        expect(answers.map(({ candidates }) => candidates![0]!.cachedTokens)).toEqual(answers.map(() => 800));
        // A part that was only asked about does not count as cached.
        expect((await ask({ ...chat, parts: "c:100" })).candidates![0]!.cachedTokens).toEqual(0);
        expect((await ask({ ...chat, parts: "c:100" })).candidates![0]!.cachedTokens).toEqual(0);
        expect(state()).toEqual(earlier);
    });

    it("should agree with where the next call goes, and say why other upstreams are ruled out", async () => {
        const { store, streamingWorker, gateways } = deployment;
        store.put("servers/i-far", { ...streamingWorker.entry("draining"), address: "127.0.0.1:9" });
        await waitUntil(() => gateways[0]!.upstreams.get("i-far") !== undefined);
        const answer = await ask(chat);
        expect(answer.ruledOut).toEqual([{ upstream: "i-far", zone: "north-a", reason: "draining" }]);
        const id = deployment.newId();
        await deployment.call("POST", "/chat/turn", { ...turnHeaders, "Request-Id": id }, "hello");
        expect(streamingWorker.ran.some(request => request.id === id)).toEqual(answer.outcome.upstream === "i-brain");
    });

    it("should say that a call would wait while all upstreams have as many calls as they take", async () => {
        deployment.streamingWorker.delayMs = 250;
        const [gateway] = deployment.gateways;
        // Calls whose prompt is cached somewhere are placed there, also beyond the usual number.
        const headers = { "Api-Key": "key-of-north", "Token-Usage": "800,50" };
        const running = Array.from(
            { length: 8 },
            () => deployment.call("POST", "/chat/turn", headers, "hello"),
        );
        await waitUntil(() => gateway!.upstreams.get("i-brain")!.inFlight === 6);
        const query = { ...chat, parts: "d:800" };
        let answer = await ask(query);
        while (answer.waitingCalls !== 2 && gateway!.entry.active > 0) {
            answer = await ask(query);
        }
        expect(answer.outcome.action).toEqual("wait");
        expect(answer.waitingCalls).toEqual(2);
        expect([answer.candidates![0]!.inFlight, answer.candidates![0]!.open]).toEqual([6, false]);
        expect((await Promise.all(running)).map(({ status }) => status)).toEqual(running.map(() => 200));
    });

    it("should say with which status a call would be refused, as the instance does", async () => {
        const refusal = async (query: Parameters<typeof askWhere>[1]): Promise<unknown> => {
            const { outcome } = await ask(query);
            return [outcome.action, outcome.status, outcome.code];
        };
        expect(await refusal({ url: "carts.example/none/1" })).toEqual(["refuse", 404, "unknown_route"]);
        expect(await refusal({ url: "other.example/chat/1" })).toEqual(["refuse", 404, "unknown_route"]);
        expect(await refusal({ ...chat, workspace: undefined })).toEqual(["refuse", 401, "unauthorized"]);
        expect(await refusal({ ...chat, workspace: "unknown" })).toEqual(["refuse", 401, "unauthorized"]);
        expect(await refusal({ ...chat, promptTokens: 1_000_000 })).toEqual(["refuse", 503, "prompt_too_large"]);
        expect((await ask({ url: "carts.example/look/1" })).outcome.action).toEqual("send");
        deployment.store.put("servers/i-brain", deployment.streamingWorker.entry("draining"));
        await waitUntil(() => deployment.gateways[0]!.upstreams.usable("brain").length === 0);
        expect(await refusal(chat)).toEqual(["refuse", 503, "no_upstream"]);
    });

    it("should refuse a description with unknown or invalid fields, an API key among them", async () => {
        const statusOf = async (query: string): Promise<number> =>
            (await fetch(`http://${front}/where?${query}`)).status;
        expect(await statusOf("host=carts.example&path=/look/1")).toEqual(200);
        expect(await statusOf("host=carts.example&path=/look/1&apiKey=key-of-north")).toEqual(400);
        expect(await statusOf("host=carts.example&path=/look/1&parts=a")).toEqual(400);
        expect(await statusOf("host=carts.example&path=/look/1&promptTokens=many")).toEqual(400);
        expect(await statusOf("path=/look/1")).toEqual(400);
    });
});

describe("explanation of a call", () => {
    const entry = {
        id: "i-1",
        build: "v1",
        service: "s",
        address: "127.0.0.1:1",
        zone: "north-a",
        slots: 4,
        draining: false,
        startedAt: 1,
    };
    const upstream = { entry, isLeaving: false, missingSince: undefined, ejectedUntil: 0 };
    const state = { isAtLimit: false, isOtherRegion: false, now: 1_000 };

    it("should name the first reason for which an upstream is ruled out", () => {
        const reasons = [
            ruledOutReason({ ...upstream, entry: { ...entry, draining: true }, isLeaving: true }, state),
            ruledOutReason({ ...upstream, isLeaving: true, missingSince: 5 }, state),
            ruledOutReason({ ...upstream, missingSince: 5, ejectedUntil: 2_000 }, state),
            ruledOutReason({ ...upstream, ejectedUntil: 1_250 }, { ...state, isAtLimit: true }),
            ruledOutReason(upstream, { ...state, isAtLimit: true, isOtherRegion: true }),
            ruledOutReason(upstream, { ...state, isOtherRegion: true }),
        ].map(reason => reason.split(/[:,;]/)[0]);
        expect(reasons).toEqual([
            "draining",
            "leaving",
            "missing",
            "ejected",
            "at the limit that it names",
            "other region",
        ]);
    });

    it("should let a call wait behind others of its service although an upstream is free", () => {
        const placement = { worker: "i-1", reason: "leastExpected" as const, scores: [] };
        const preview = { placements: [placement], waiting: 3, expectedWaitMs: 40, isNext: false };
        expect(outcomeOf(preview).action).toEqual("wait");
        expect(outcomeOf({ ...preview, isNext: true }).upstream).toEqual("i-1");
    });
});
