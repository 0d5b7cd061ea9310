/** Decides whether a turn on this machine's disk counts towards the copies that make it durable. */

/** What a {@link DiskStanding} needs. */
export interface DiskStandingOptions {
    /** Whether the machine's loss is one of those that the deployment tolerates; any number of others may be lost besides. */
    readonly isCounted: () => boolean;
    /** Time for which a new disk may be lost in addition to the tolerated ones. */
    readonly catchUpMs: number;
    /** Whether the last call to the store succeeded; the time to catch up starts again after an outage. */
    readonly isStoreReachable: () => boolean;
}

/**
 * Standing of one machine's disk. The machine decides this itself at each copy, since fronts learn of a new disk or new
 * settings only seconds later.
 */
export class DiskStanding {
    /** Monotonic time from which copies on the disk count. */
    private countsAt = Infinity;

    constructor(private readonly options: DiskStandingOptions) {}

    /** @param diskAgeMs Time since the disk was new; Infinity if it is older than is known, or of the first start of the system. */
    onOpened(diskAgeMs: number): void {
        this.countsAt = performance.now() + Math.max(0, this.options.catchUpMs - diskAgeMs);
    }

    /** Whether a copy that has just been synced counts. */
    get counts(): boolean {
        const { isCounted, catchUpMs, isStoreReachable } = this.options;
        const now = performance.now();
        if (now < this.countsAt && !isStoreReachable()) {
            this.countsAt = now + catchUpMs;
        }
        return isCounted() && now >= this.countsAt;
    }
}
