/**
 * Share of an instance in slots that are free for all. Load pattern: dozens of instances see the same few free slots at once, and
 * each fills all of them with calls that it had held back.
 */

/** Time in which the instances of a region learn of each other's calls. */
const learnMs = 200;

/**
 * Calls beyond the slots, as a share of them, up to which a slot that was left is taken again: the instances learn late of each
 * other's calls, and slots would stay empty in the meantime.
 */
const takenAgainBeyond = 0.25;

/** Slots of a service as an instance knows them. */
export interface RegionSlots {
    readonly slots: number;
    /** Running calls, and those that wait at the upstreams. */
    readonly inFlight: number;
    /** Number of instances that share the slots. */
    readonly instances: number;
}

/**
 * Takes free slots for calls that are held back: those that own calls have left, and in the time of a load report as many as there
 * are free ones for an instance.
 */
export class SpareSlots {
    private level = 1;
    private updatedAt = -Infinity;
    private left = 0;
    private leftAt = -Infinity;

    /** Whether a call may take a slot. */
    mayTake({ slots, inFlight, instances }: RegionSlots, now: number): boolean {
        const own = Math.max(0, slots - inFlight) / Math.max(1, instances);
        const refill = own === 0 ? 0 : own * Math.max(0, now - this.updatedAt) / learnMs;
        this.level = Math.min(Math.max(1, own), this.level + refill);
        this.updatedAt = now;
        if (now - this.leftAt > learnMs) {
            // The others have learned of these slots: they are among the free ones for all.
            this.left = 0;
        }
        return this.left >= 1 && inFlight < slots * (1 + takenAgainBeyond) || own > 0 && this.level >= 1;
    }

    /** Counts a call that took a slot. */
    onTaken(): void {
        if (this.left >= 1) {
            this.left -= 1;
        }
        else {
            this.level = Math.max(0, this.level - 1);
        }
    }

    /** Counts a call that left its slot. */
    onLeft(now: number): void {
        this.left += 1;
        this.leftAt = now;
    }
}
