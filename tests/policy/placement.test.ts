import {
    admit,
    CacheView,
    decideRetention,
    defaultCostModel,
    nextCall,
    place,
    RetryBudget,
} from "@marigolddrift/policy";
import type { WaitingCall } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";
import { expect } from "earl";
import { describe, it } from "node:test";

import { workerView } from "./workerView.js";

const call = { promptTokens: 8_000, expectedTokens: 100 };

describe("placement", () => {
    it("should prefer the worker that caches the prompt when prefill would take more time than its queue", () => {
        const views = [workerView("a", { cachedTokens: 8_000, localInFlight: 2 }), workerView("b")];
        expect(place(views, call, createRandom(1)).worker).toEqual("a");
    });

    it("should leave the worker that caches the prompt when its queue takes more time than prefill", () => {
        const views = [workerView("a", { cachedTokens: 2_000, reportedInFlight: 15 }), workerView("b")];
        expect(place(views, call, createRandom(1)).worker).toEqual("b");
    });

    it("should avoid a slow worker", () => {
        const views = [workerView("a", { slowdown: 5 }), workerView("b", { localInFlight: 3 })];
        expect(place(views, call, createRandom(1)).worker).toEqual("b");
    });

    it("should give a load report less weight as it ages", () => {
        const views = [
            workerView("a", { reportedInFlight: 10, reportAgeMs: 9_900 }),
            workerView("b", { localInFlight: 2 }),
        ];
        expect(place(views, call, createRandom(1)).worker).toEqual("a");
    });

    it("should not place calls on workers at their concurrency limit", () => {
        const views = [workerView("a", { localInFlight: 16 })];
        expect(place(views, call, createRandom(1))).toHaveSubset({ worker: undefined, reason: "allBusy" });
    });

    it("should spread calls over workers when many instances decide on the same view", () => {
        const views = Array.from({ length: 20 }, (_, index) => workerView(`w${index}`));
        const random = createRandom(2);
        const chosen = new Set(Array.from({ length: 40 }, () => place(views, call, random).worker));
        expect(chosen.size > 10).toEqual(true);
    });
});

const queuedCall = (changes: Partial<WaitingCall>): WaitingCall => ({
    program: "p",
    workspace: "w",
    attainedMs: 0,
    priority: 5,
    enqueuedAt: 0,
    deadline: 1e9,
    expectedMs: 500,
    workspaceLoad: 0,
    ...changes,
});

describe("ordering", () => {
    it("should prefer the program with the least attained service", () => {
        expect(nextCall([queuedCall({ attainedMs: 9_000 }), queuedCall({ attainedMs: 500 })], 100)).toEqual(1);
    });

    it("should not starve a long program", () => {
        expect(
            nextCall(
                [queuedCall({ attainedMs: 9_000, enqueuedAt: 0 }), queuedCall({ attainedMs: 0, enqueuedAt: 19_000 })],
                20_000,
            ),
        )
            .toEqual(0);
    });

    it("should prefer the program to which operators gave the higher priority", () => {
        expect(nextCall([queuedCall({ attainedMs: 2_000 }), queuedCall({ attainedMs: 2_000, priority: 2 })], 10))
            .toEqual(1);
    });

    it("should share capacity between workspaces by their running calls", () => {
        expect(nextCall([queuedCall({ workspaceLoad: 20 }), queuedCall({ workspaceLoad: 1, attainedMs: 1_000 })], 10))
            .toEqual(1);
    });
});

describe("admission", () => {
    it("should reject calls that cannot meet their deadline, and new programs before running ones", () => {
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

    it("should keep a prefix while there is free memory", () => {
        expect(decideRetention(paused).action).toEqual("keep");
    });

    it("should export or drop a prefix when memory is scarce and the pause is long", () => {
        expect(decideRetention({ ...paused, memoryPressure: 0.95 }).action).toEqual("demote");
        expect(decideRetention({ ...paused, memoryPressure: 0.95, canExport: false }).action).toEqual("drop");
    });

    it("should keep a prefix during a short pause", () => {
        expect(decideRetention({ ...paused, memoryPressure: 0.9, expectedPauseMs: 20 }).action).toEqual("keep");
    });
});

describe("cache view", () => {
    it("should decay its estimates, and replace them by reported values", () => {
        const view = new CacheView();
        view.onCached("p", "w", 1_000, 0);
        expect(view.cachedTokens("p", "w", 120_000)).toEqual(500);
        view.onCached("p", "w", 0, 130_000);
        expect(view.cachedTokens("p", "w", 130_000)).toEqual(0);
        expect(view.removeProgram("p")).toEqual(["w"]);
    });
});

describe("retry budget", () => {
    it("should limit retries to a share of the requests", () => {
        const budget = new RetryBudget(0.1);
        let retries = 0;
        for (let request = 0; request < 1_000; request++) {
            budget.onRequest();
            retries += budget.tryAcquire() ? 1 : 0;
        }
        expect(retries <= 105).toEqual(true);
    });
});
