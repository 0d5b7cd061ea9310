import { silentLogger } from "@marigolddrift/common";
import { LoadExchange } from "@marigolddrift/gateway";
import type { PeerRequest } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

type LoadRequest = Extract<PeerRequest, { kind: "shareLoad"; }>;

/** Time in which all instances have reported and heard of the reports of the others. */
const exchangedMs = 1_000;

/** Instances of a region, the first of which sums up their loads. */
const createRegion = (workspaces: readonly Record<string, number>[]) => {
    let largestReport = 0;
    const exchanges: LoadExchange[] = workspaces.map((load, index) => {
        const ask = async (request: LoadRequest) => {
            largestReport = Math.max(largestReport, Object.keys(request.load).length);
            return exchanges[0]!.onReport(request.instance, request.load);
        };
        const localInstance = { instance: `front-${index}`, region: "north", address: () => `f${index}` };
        const peers = { isReachable: () => true, getByName: () => ({ ask, address: localInstance }) };
        return new LoadExchange(
            localInstance,
            { carriers: () => ["f0"] },
            peers as unknown as ConstructorParameters<typeof LoadExchange>[2],
            () => ({ "i-1": 2 }),
            silentLogger,
            () => load,
        );
    });
    return { exchanges, largestReport: () => largestReport };
};

describe("exchange of loads", () => {
    // Guards against a workspace going unnoticed whose calls come through many instances.
    it("should tell each instance the calls of the busiest workspaces at the others, and of all upstreams", () =>
        withClock(async clock => {
            const { exchanges } = createRegion([{ hot: 2, north: 1 }, { hot: 2, south: 1 }, { hot: 1 }]);
            await clock.tickAsync(exchangedMs);
            expect(exchanges.map(exchange => exchange.workspacesOfPeers["hot"])).toEqual([3, 3, 4]);
            expect(exchanges.map(exchange => exchange.peerLoadOf("i-1").calls)).toEqual([4, 4, 4]);
            expect(exchanges[2]!.workspacesOfPeers).toEqual({ hot: 4, north: 1, south: 1 });
            exchanges.forEach(exchange => exchange.close());
        }));

    // Guards against messages that grow with the number of workspaces.
    it("should name a bounded number of workspaces", () =>
        withClock(async clock => {
            const many = (from: number) =>
                Object.fromEntries(Array.from({ length: 300 }, (_, index) => [`workspace-${from + index}`, index + 1]));
            const { exchanges, largestReport } = createRegion([many(0), many(1_000), many(2_000), many(3_000)]);
            await clock.tickAsync(exchangedMs);
            expect(largestReport()).toEqual(1 + 8);
            exchanges.forEach(exchange => {
                expect(Object.keys(exchange.workspacesOfPeers).length).toBeLessThanOrEqual(16);
                exchange.close();
            });
        }));

    it("should not use old loads of workspaces", () =>
        withClock(async clock => {
            const { exchanges } = createRegion([{ hot: 2 }, { hot: 2 }]);
            await clock.tickAsync(exchangedMs);
            exchanges.forEach(exchange => exchange.close());
            await clock.tickAsync(2_000);
            expect(exchanges[1]!.workspacesOfPeers).toEqual({});
        }));
});
