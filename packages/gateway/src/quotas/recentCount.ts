/** Counts events of the recent past. */

/** A sum of events whose weight falls with their age. */
export class RecentCount {
    private count = 0;
    private at = 0;

    /** @param memoryMs Age at which an event counts 1/e. */
    constructor(private readonly memoryMs: number) {}

    add(count: number, now: number): void {
        this.count = this.weighted(now) + count;
        this.at = now;
    }

    perSecond(now: number): number {
        return this.weighted(now) * 1_000 / this.memoryMs;
    }

    private weighted(now: number): number {
        return this.count * Math.exp(-Math.max(0, now - this.at) / this.memoryMs);
    }
}
