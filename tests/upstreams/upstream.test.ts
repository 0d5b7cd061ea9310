import { bundleSchema } from "@marigolddrift/common";
import { earliestOrderAt, ordersFor, orderTimeoutMs, Upstream } from "@marigolddrift/daemon";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

const load = (running: number, ageMs: number) => ({
    worker: "u",
    running,
    waiting: 0,
    heldTokens: 0,
    memoryTokens: 1,
    ageMs,
    leaving: false,
    models: [],
});

describe("an upstream", () => {
    it("should get no calls after it refused a connection, then one probe call after a second", async () => {
        await withClock(async clock => {
            const upstream = new Upstream("u", "z", () => {});
            upstream.onFailure(true, Date.now());
            expect(upstream.canAcceptCall(Date.now())).toEqual(false);
            await clock.tickAsync(1_001);
            expect(upstream.canAcceptCall(Date.now())).toEqual(true);
            upstream.onAssigned();
            expect(upstream.canAcceptCall(Date.now())).toEqual(false);
            upstream.onSuccess();
            expect(upstream.canAcceptCall(Date.now())).toEqual(true);
        });
    });

    it("should be leaving while at least one source reports it so", () => {
        const upstream = new Upstream("u", "z", () => {});
        upstream.setLeaving("report", true);
        upstream.setLeaving("list", false);
        expect(upstream.canAcceptCall(0)).toEqual(false);
        upstream.setLeaving("report", false);
        expect(upstream.canAcceptCall(0)).toEqual(true);
    });

    it("should compare a load report with its own calls at the time of the report", async () => {
        await withClock(async clock => {
            const upstream = new Upstream("u", "z", () => {});
            upstream.onAssigned();
            await clock.tickAsync(1_000);
            upstream.onAssigned();
            upstream.onAssigned();
            upstream.onLoadReport(load(5, 600), Date.now());
            expect(upstream.reported?.localInFlight).toEqual(1);
        });
    });

    it("should keep the newer of two load reports", async () => {
        await withClock(async () => {
            const upstream = new Upstream("u", "z", () => {});
            upstream.onLoadReport(load(5, 100), Date.now());
            upstream.onLoadReport(load(9, 3_000), Date.now());
            expect(upstream.reported?.load.running).toEqual(5);
        });
    });
});

describe("orders to engines", () => {
    const pool = bundleSchema.shape.pool.valueType.parse({
        models: "a,b",
        workers: "z=h:1",
        adapters: "x@2",
        role: "serve",
    });
    const actual = {
        running: 0,
        waiting: 0,
        heldTokens: 0,
        memoryTokens: 1,
        at: 0,
        state: "live" as const,
        models: ["a"],
        adapters: [],
        role: "idle",
    };

    it("should order missing models, adapters and roles with the fencing number", () => {
        const orders = ordersFor(pool, actual, 7);
        expect(orders.map(order => order.order)).toEqual(["loadModel", "loadAdapter", "changeRole"]);
        expect(orders.every(order => order.fence === 7)).toEqual(true);
    });

    it("should order nothing when the actual state matches the desired one", () => {
        expect(ordersFor(pool, { ...actual, models: ["a", "b"], adapters: ["x@2"], role: "serve" }, 7)).toEqual([]);
    });

    it("should wait until a previous sender's orders can no longer arrive, unless engines check fencing", () => {
        expect(earliestOrderAt(1_000, false)).toEqual(1_000 + orderTimeoutMs);
        expect(earliestOrderAt(1_000, true)).toEqual(1_000);
    });
});
