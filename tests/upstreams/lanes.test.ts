import { Progress, silentLogger } from "@marigolddrift/common";
import { Dispatcher } from "@marigolddrift/dispatch";
import type { DispatchLease, DispatchRequest } from "@marigolddrift/dispatch";
import { GatewayMetrics } from "@marigolddrift/gateway";
import { place } from "@marigolddrift/policy";
import { expect } from "earl";
import { describe, it } from "node:test";

import { workerView } from "../policy/workerView.js";

const callOf = (call: number, lane?: string): DispatchRequest => ({
    model: "m",
    program: `p-${call}`,
    workspace: "w",
    call,
    attainedMs: 0,
    priority: 1,
    enqueuedAt: call,
    deadline: 1_000_000,
    expectedMs: 100,
    workspaceLoad: 0,
    shape: { promptTokens: 0, expectedTokens: 1 },
    firstCall: true,
    excluded: new Set(),
    bytes: 0,
    lane,
});

const settle = (): Promise<void> => new Promise(done => setImmediate(done));

describe("lanes of a dispatcher", () => {
    // Guards against calls of a lane that get no worker as long as any other call of the model waits (LOST).
    it("should get workers while other calls of the model keep coming", async () => {
        let running = 0;
        const view = workerView("w", {
            reportAgeMs: 0,
            roundTripMs: 0,
            maxInFlight: 1,
            cost: { prefillMsPerToken: 0, decodeBaseMs: 1, decodePerSequenceMs: 0, maxBatch: 1, importMsPerToken: 0 },
        });
        const target = {
            views: () => [{ ...view, localInFlight: running }],
            capacity: () => 1,
            onAssigned: () => running += 1,
            onReleased: () => running -= 1,
            tryAdmit: () => true,
        };
        const options = { place, admission: false, random: () => 0.5 };
        const dispatcher = new Dispatcher(target, options, silentLogger, new GatewayMetrics());
        const assigned: number[] = [];
        const leases: DispatchLease[] = [];
        const add = async (call: DispatchRequest): Promise<void> => {
            void dispatcher.acquire(call, new Progress(60_000)).then(lease => {
                assigned.push(call.call);
                leases.push(lease);
            }, () => {});
            await settle();
        };
        await add(callOf(0));
        await add(callOf(1));
        await add(callOf(2, "v1"));
        for (let call = 3; call < 200; call++) {
            await add(callOf(call));
            leases.shift()?.release();
            await settle();
        }
        const position = assigned.indexOf(2);
        while (leases.length > 0) {
            leases.shift()!.release();
            await settle();
        }
        expect(position >= 0).toEqual(true);
    });
});
