/**
 * Share of an instance in slots that are free for all. Load pattern: dozens of instances see the same few free slots at once, and
 * each fills all of them with calls that it had held back.
 */

/** Time in which the instances of a region learn of each other's calls. */
const learnMs = 200;

/** Takes a share of the free slots: as many calls in the time of a load report as there are free slots for an instance. */
export class SpareSlots {
    private level = 1;
    private updatedAt = -Infinity;

    /** Whether a call may take a free slot. */
    mayTake(free: number, instances: number, now: number): boolean {
        const own = free / Math.max(1, instances);
        const refill = free === 0 ? 0 : own * Math.max(0, now - this.updatedAt) / learnMs;
        this.level = Math.min(Math.max(1, own), this.level + refill);
        this.updatedAt = now;
        return free > 0 && this.level >= 1;
    }

    /** Counts a call that took a free slot. */
    onTaken(): void {
        this.level = Math.max(0, this.level - 1);
    }
}
