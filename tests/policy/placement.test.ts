import {
    admit,
    CacheView,
    decideRetention,
    defaultCostModel,
    nextCall,
    place,
    RetryBudget,
} from "@marigolddrift/policy";
import type { WaitingCall, WorkerView } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";
import { expect } from "earl";
import { describe, it } from "node:test";

const worker = (name: string, changes: Partial<WorkerView> = {}): WorkerView => ({
    worker: name,
    zone: "z",
    ownInFlight: 0,
    reportedInFlight: 0,
    ownAtReport: 0,
    reportAgeMs: 100,
    cachedTokens: 0,
    exportedTokens: 0,
    slowdown: 1,
    roundTripMs: 1,
    maxInFlight: 16,
    cost: defaultCostModel,
    ...changes,
});
const call = { promptTokens: 8_000, expectedTokens: 100 };

describe("placement", () => {
    it("should follow the cache when it saves more than the queue costs", () => {
        const views = [worker("a", { cachedTokens: 8_000, ownInFlight: 2 }), worker("b")];
        expect(place(views, call, createRandom(1)).worker).toEqual("a");
    });

    it("should leave the cache when its worker is too busy", () => {
        const views = [worker("a", { cachedTokens: 2_000, reportedInFlight: 15 }), worker("b")];
        expect(place(views, call, createRandom(1)).worker).toEqual("b");
    });

    it("should avoid a slow worker", () => {
        const views = [worker("a", { slowdown: 5 }), worker("b", { ownInFlight: 3 })];
        expect(place(views, call, createRandom(1)).worker).toEqual("b");
    });

    it("should trust a load report less as it ages", () => {
        const views = [worker("a", { reportedInFlight: 10, reportAgeMs: 9_900 }), worker("b", { ownInFlight: 2 })];
        expect(place(views, call, createRandom(1)).worker).toEqual("a");
    });

    it("should place nothing on workers that are full", () => {
        const views = [worker("a", { ownInFlight: 16 })];
        expect(place(views, call, createRandom(1))).toHaveSubset({ worker: undefined, reason: "allBusy" });
    });

    it("should spread over workers when many instances decide on the same view", () => {
        const views = Array.from({ length: 20 }, (_, index) => worker(`w${index}`));
        const random = createRandom(2);
        const chosen = new Set(Array.from({ length: 40 }, () => place(views, call, random).worker));
        expect(chosen.size > 10).toEqual(true);
    });
});

const waiting = (changes: Partial<WaitingCall>): WaitingCall => ({
    program: "p",
    workspace: "w",
    attainedMs: 0,
    priority: 5,
    since: 0,
    deadline: 1e9,
    expectedMs: 500,
    workspaceLoad: 0,
    ...changes,
});

describe("ordering", () => {
    it("should prefer the program that attained least", () => {
        expect(nextCall([waiting({ attainedMs: 9_000 }), waiting({ attainedMs: 500 })], 100)).toEqual(1);
    });

    it("should not starve a long program", () => {
        expect(nextCall([waiting({ attainedMs: 9_000, since: 0 }), waiting({ attainedMs: 0, since: 19_000 })], 20_000))
            .toEqual(0);
    });

    it("should prefer the operators' higher priority", () => {
        expect(nextCall([waiting({ attainedMs: 2_000 }), waiting({ attainedMs: 2_000, priority: 2 })], 10)).toEqual(1);
    });

    it("should share between workspaces", () => {
        expect(nextCall([waiting({ workspaceLoad: 20 }), waiting({ workspaceLoad: 1, attainedMs: 1_000 })], 10))
            .toEqual(1);
    });
});

describe("admission", () => {
    it("should refuse what cannot meet its deadline, and new programs before running ones", () => {
        const busy = { waiting: 100, capacity: 10, meanServiceMs: 1_000 };
        expect(admit(busy, { firstCall: false, leftMs: 5_000, expectedMs: 0 }).kind).toEqual("refuse");
        expect(admit(busy, { firstCall: true, leftMs: 60_000, expectedMs: 0 }).kind).toEqual("refuse");
        expect(admit(busy, { firstCall: false, leftMs: 60_000, expectedMs: 0 }).kind).toEqual("admit");
    });
});

describe("retention", () => {
    const paused = {
        tokens: 4_000,
        expectedPauseMs: 60_000,
        returnProbability: 0.8,
        memoryPressure: 0.2,
        canExport: true,
        cost: defaultCostModel,
    };

    it("should keep a prefix while memory is free", () => {
        expect(decideRetention(paused).action).toEqual("keep");
    });

    it("should give memory up when it is scarce and the pause long", () => {
        expect(decideRetention({ ...paused, memoryPressure: 0.95 }).action).toEqual("demote");
        expect(decideRetention({ ...paused, memoryPressure: 0.95, canExport: false }).action).toEqual("drop");
    });

    it("should keep a prefix over a short pause", () => {
        expect(decideRetention({ ...paused, memoryPressure: 0.9, expectedPauseMs: 20 }).action).toEqual("keep");
    });
});

describe("what is believed of caches", () => {
    it("should decay, and be corrected by what replies say", () => {
        const view = new CacheView();
        view.onCached("p", "w", 1_000, 0);
        expect(view.cachedTokens("p", "w", 120_000)).toEqual(500);
        view.onCached("p", "w", 0, 130_000);
        expect(view.cachedTokens("p", "w", 130_000)).toEqual(0);
        expect(view.forget("p")).toEqual(["w"]);
    });
});

describe("the retry budget", () => {
    it("should bound retries to a share of the requests", () => {
        const budget = new RetryBudget(0.1);
        let retries = 0;
        for (let request = 0; request < 1_000; request++) {
            budget.onRequest();
            retries += budget.tryTake() ? 1 : 0;
        }
        expect(retries <= 105).toEqual(true);
    });
});
