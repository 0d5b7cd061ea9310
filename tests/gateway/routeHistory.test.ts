import { RouteHistory, RouteTable } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

const tableOf = (version: number, services: readonly string[], timeoutMs = 20_000, idempotent = true): RouteTable => {
    const targets = services.map(service => ({ service, weight: 1 }));
    const route = { name: "talk", host: "h", prefix: "/talk/", isStreaming: true, idempotent, targets, timeoutMs };
    return new RouteTable({ version, routes: [route], services: [], workspaces: undefined, limits: {} } as never);
};

describe("services that streams began at before", () => {
    // Guards against streams that outlive what is known of their route.
    it("should be known for the lifetime of a stream", () =>
        withClock(async clock => {
            const history = new RouteHistory();
            history.onReplaced(tableOf(1, ["a"]), tableOf(2, ["b"]));
            await clock.tickAsync(39_000);
            history.onReplaced(tableOf(2, ["b"], 3_000), tableOf(3, ["c"], 3_000));
            expect(history.formerServices("h", "/talk/1")).toEqual(["a", "b"]);
            await clock.tickAsync(2_000);
            expect(history.formerServices("h", "/talk/1")).toEqual(["b"]);
            await clock.tickAsync(30_000);
            expect(history.formerServices("h", "/talk/1")).toEqual([]);
        }));

    it("should include those of a route that is not resumable any more", () => {
        const history = new RouteHistory();
        history.onReplaced(tableOf(1, ["a"]), tableOf(2, ["a"], 20_000, false));
        expect(history.formerServices("h", "/talk/1")).toEqual(["a"]);
    });

    // Guards against streams that need a record after each change of the configuration.
    it("should be none if the route sends streams to the same service as before", () => {
        const history = new RouteHistory();
        history.onReplaced(tableOf(1, ["a"]), tableOf(2, ["a"], 9_000));
        expect([history.formerServices("h", "/talk/1"), history.formerServices("h", "/x")]).toEqual([[], []]);
    });
});
