/** Views of workers that have no calls and cache nothing, for tests of placement. */
import { defaultCostModel } from "@marigolddrift/policy";
import type { WorkerView } from "@marigolddrift/policy";

/**
 * Returns the view of a worker.
 *
 * @example
 * const busy = workerView("w1", { localInFlight: 5 });
 */
export const workerView = (worker: string, changes: Partial<WorkerView> = {}): WorkerView => ({
    worker,
    zone: "z",
    localInFlight: 0,
    reportedInFlight: 0,
    localInFlightAtReport: 0,
    reportAgeMs: 100,
    cachedTokens: 0,
    exportedTokens: 0,
    slowdown: 1,
    roundTripMs: 1,
    maxInFlight: 16,
    cost: defaultCostModel,
    ...changes,
});
