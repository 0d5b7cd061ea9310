/**
 * Adds up what many instances have under way on each worker. Load pattern: a burst through dozens of instances, each of which
 * has one or two calls on a worker and so cannot see that the worker is full while others are idle.
 */

/** Calls under way by worker. */
export type WorkerLoad = Readonly<Record<string, number>>;

/** Age from which on an instance's report counts for nothing, in milliseconds: it has died, or reports elsewhere. */
const reportLifeMs = 1_000;

interface Report {
    readonly at: number;
    readonly load: WorkerLoad;
}

/**
 * The latest report of each instance.
 *
 * @example
 * board.report("front-1", { "worker-7": 2 }, performance.now());
 * board.loadOfOthers("front-2", performance.now())["worker-7"] === 2;
 */
export class LoadBoard {
    private readonly reports = new Map<string, Report>();

    /** @param now Time of the monotonic clock, in milliseconds. */
    report(instance: string, load: WorkerLoad, now: number): void {
        this.reports.set(instance, { at: now, load });
    }

    /** Calls of all other instances by worker. */
    loadOfOthers(instance: string, now: number): Record<string, number> {
        const sums: Record<string, number> = {};
        for (const [other, { at, load }] of this.reports) {
            if (now - at > reportLifeMs) {
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
