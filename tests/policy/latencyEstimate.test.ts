import { LatencyEstimate } from "@marigolddrift/policy";
import { expect } from "earl";
import { describe, it } from "node:test";

const estimateOf = (responsesMs: readonly number[]): LatencyEstimate => {
    const estimate = new LatencyEstimate();
    responsesMs.forEach(ms => estimate.record(ms));
    return estimate;
};

const repeat = (ms: number, count: number): number[] => Array.from({ length: count }, () => ms);

describe("latency estimate", () => {
    it("should hedge after the minimum delay while responses are fast, and before the first response", () => {
        expect(estimateOf([]).hedgeDelayMs(180)).toEqual(180);
        expect(estimateOf(repeat(45, 20)).hedgeDelayMs(180)).toEqual(180);
    });

    it("should hedge later once all responses are late, and sooner again afterwards", () => {
        const late = estimateOf([...repeat(45, 20), ...repeat(400, 10)]);
        expect(late.hedgeDelayMs(180)).toSatisfy(ms => ms > 400);
        const recovered = estimateOf([...repeat(45, 20), ...repeat(400, 10), ...repeat(45, 40)]);
        expect(recovered.hedgeDelayMs(180)).toEqual(180);
    });
});
