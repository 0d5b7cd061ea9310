/**
 * Corrects reported load for its age. Load pattern: steady load of short calls through dozens of instances. When a report arrives, the
 * calls in it have mostly ended, and instances that believe it all choose the workers that were idle then.
 */
import type { WorkerLoad } from "./loadAggregator.js";
import type { WorkerView } from "./placement.js";

/** Load below which a worker counts as idle, so that those that have left are forgotten. */
const minCalls = 0.01;

/** Mean age of the other instances' reports when their sum is returned: half of the interval between reports. */
const ageAtReportMs = 100;

/**
 * Weight of a new report in the usual load: with five reports a second, it follows within some seconds. If it follows faster than queues at
 * workers drain, the instances move together from one worker to another.
 */
const newWeight = 0.05;

/**
 * Adds a report to the usual load by worker, which shows lasting differences when the latest report is already out of date.
 *
 * @example
 * usual = smoothLoad(usual, latest);
 */
export const smoothLoad = (usual: WorkerLoad, latest: WorkerLoad): WorkerLoad => {
    const smoothed: Record<string, number> = {};
    for (const worker of new Set([...Object.keys(usual), ...Object.keys(latest)])) {
        const calls = (usual[worker] ?? 0) * (1 - newWeight) + (latest[worker] ?? 0) * newWeight;
        if (calls >= minCalls) {
            smoothed[worker] = calls;
        }
    }
    return smoothed;
};

/**
 * Returns the views with the calls of other instances as they are to be expected now: what the latest report differs from the usual load
 * by fades as the calls in it end, within the duration of a call. Views without a duration of calls are left as they are.
 *
 * @example
 * const current = correctForAge(views);
 */
export const correctForAge = (views: readonly WorkerView[]): readonly WorkerView[] =>
    views.map(view => {
        if (view.meanCallMs === undefined) {
            return view;
        }
        const others = Math.max(0, view.reportedInFlight - view.localInFlightAtReport);
        const usual = view.usualInFlight ?? others;
        const remaining = Math.exp(-(view.reportAgeMs + ageAtReportMs) / Math.max(1, view.meanCallMs));
        return { ...view, reportedInFlight: usual + (others - usual) * remaining, localInFlightAtReport: 0 };
    });
