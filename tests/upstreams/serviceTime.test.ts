import { silentLogger } from "@marigolddrift/common";
import { Dispatcher } from "@marigolddrift/dispatch";
import { GatewayMetrics } from "@marigolddrift/gateway";
import { place } from "@marigolddrift/policy";
import { expect } from "earl";
import { describe, it } from "node:test";

const createDispatcher = (): Dispatcher => {
    const target = {
        views: () => [],
        capacity: () => 1,
        onAssigned: () => {},
        onReleased: () => {},
        tryAdmit: () => true,
    };
    const options = { place, admission: true, random: () => 0.5 };
    return new Dispatcher(target, options, silentLogger, new GatewayMetrics());
};

const record = (dispatcher: Dispatcher, ms: number, isComplete: boolean): void => {
    for (let call = 0; call < 200; call++) {
        dispatcher.recordServiceTime("m", ms, isComplete);
    }
};

describe("service time", () => {
    // Guards against calls being taken that can't end in time, because callers that left had made workers seem fast.
    it("should not fall by calls that ended early", () => {
        const dispatcher = createDispatcher();
        record(dispatcher, 1_000, true);
        const expectedMs = dispatcher.expectedWaitMs("m", 10);
        expect(expectedMs > 0).toEqual(true);
        record(dispatcher, 1, false);
        expect(dispatcher.expectedWaitMs("m", 10)).toEqual(expectedMs);
    });

    it("should rise by calls that ended early after a longer time, and fall by complete ones", () => {
        const dispatcher = createDispatcher();
        record(dispatcher, 1_000, true);
        const expectedMs = dispatcher.expectedWaitMs("m", 10);
        record(dispatcher, 2_000, false);
        expect(dispatcher.expectedWaitMs("m", 10) > 1.5 * expectedMs).toEqual(true);
        record(dispatcher, 100, true);
        expect(dispatcher.expectedWaitMs("m", 10) < 0.5 * expectedMs).toEqual(true);
    });
});
