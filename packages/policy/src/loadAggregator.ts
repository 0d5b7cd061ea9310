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
 * Keeps the latest load report of each instance, and their sum, so that a report costs as much in a large fleet as in a
 * small one.
 *
 * @example
 * aggregator.report("front-1", { "worker-7": 2 }, performance.now());
 * aggregator.loadOfOthers("front-2", performance.now())["worker-7"] === 2;
 */
export class LoadAggregator {
    private readonly reports = new Map<string, Report>();
    private readonly sums = new Map<string, number>();

    /**
     * Replaces the instance's previous report.
     *
     * @param now Monotonic time in milliseconds.
     */
    report(instance: string, load: WorkerLoad, now: number): void {
        this.remove(instance);
        this.reports.set(instance, { at: now, load });
        this.add(load, 1);
    }

    /** Returns the sum of the unexpired reports of all other instances by worker, and removes expired ones. */
    loadOfOthers(instance: string, now: number): Record<string, number> {
        this.removeExpired(now);
        const own = this.reports.get(instance)?.load ?? {};
        const others: Record<string, number> = {};
        for (const [worker, calls] of this.sums) {
            const othersCalls = calls - (own[worker] ?? 0);
            if (othersCalls > 0) {
                others[worker] = othersCalls;
            }
        }
        return others;
    }

    private removeExpired(now: number): void {
        for (const [instance, { at }] of this.reports) {
            if (now - at > reportTtlMs) {
                this.remove(instance);
            }
        }
    }

    private remove(instance: string): void {
        const report = this.reports.get(instance);
        if (report !== undefined) {
            this.reports.delete(instance);
            this.add(report.load, -1);
        }
    }

    private add(load: WorkerLoad, sign: 1 | -1): void {
        for (const [worker, calls] of Object.entries(load)) {
            const sum = (this.sums.get(worker) ?? 0) + sign * calls;
            if (sum > 0) {
                this.sums.set(worker, sum);
            }
            else {
                this.sums.delete(worker);
            }
        }
    }
}
