/**
 * Aggregates the calls in flight per worker over all instances. Load pattern: during a burst through dozens of instances,
 * each has only one or two calls on a worker, so its local counters do not show that the worker is full and others are idle.
 */

/** Number of calls in flight by worker. */
export type WorkerLoad = Readonly<Record<string, number>>;

/** Reports older than this are discarded: the instance has died or reports to another aggregator. */
const reportTtlMs = 1_000;

interface Report {
    readonly at: number;
    readonly load: WorkerLoad;
}

/**
 * Keeps the latest load report of each instance.
 *
 * @example
 * aggregator.report("front-1", { "worker-7": 2 }, performance.now());
 * aggregator.loadOfOthers("front-2", performance.now())["worker-7"] === 2;
 */
export class LoadAggregator {
    private readonly reports = new Map<string, Report>();

    /**
     * Replaces the instance's previous report.
     *
     * @param now Monotonic time in milliseconds.
     */
    report(instance: string, load: WorkerLoad, now: number): void {
        this.reports.set(instance, { at: now, load });
    }

    /** Sums the unexpired reports of all other instances by worker, and removes expired ones. */
    loadOfOthers(instance: string, now: number): Record<string, number> {
        const sums: Record<string, number> = {};
        for (const [other, { at, load }] of this.reports) {
            if (now - at > reportTtlMs) {
                this.reports.delete(other);
            }
            else if (other !== instance) {
                addTo(sums, load);
            }
        }
        return sums;
    }
}

const addTo = (sums: Record<string, number>, load: WorkerLoad): void => {
    for (const [worker, calls] of Object.entries(load)) {
        sums[worker] = (sums[worker] ?? 0) + calls;
    }
};
