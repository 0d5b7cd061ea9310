/**
 * Rate at which waiting calls get room, as an instance observes it. Load pattern: many instances share the same full upstreams, so
 * that the room of one instance is a part of the capacity that it cannot compute.
 */
import { DecayingSum } from "./decayingSum.js";

/** Time constant of the rate: some dozens of calls of usual duration. */
const rateTauMs = 2_000;

/** Time with waiting calls from which on the rate is known. */
const minBacklogMs = 300;

/** Number of calls sent during it from which on the rate is known. */
const minSent = 10;

/** Slot time that the waiting calls of one service get per millisecond, by urgency. */
export class DrainRate {
    private readonly backlogMs = new DecayingSum(rateTauMs);
    private readonly sent = new DecayingSum(rateTauMs);
    private readonly costs = new Map<number, DecayingSum>();
    private lastAt: number | undefined;

    /** Accounts for the time since the last call of this method. To be called before the queue changes. */
    advance(isBacklogged: boolean, now: number): void {
        if (isBacklogged && this.lastAt !== undefined) {
            this.backlogMs.add(Math.max(0, now - this.lastAt), now);
        }
        this.lastAt = now;
    }

    /** Counts a call that was sent while calls waited. */
    onSent(urgency: number, cost: number, now: number): void {
        let sum = this.costs.get(urgency);
        if (sum === undefined) {
            this.costs.set(urgency, sum = new DecayingSum(rateTauMs));
        }
        sum.add(cost, now);
        this.sent.add(1, now);
    }

    /** Slot time per millisecond for calls of an urgency and lower ones; undefined if it is not known well enough. */
    rate(urgency: number, now: number): number | undefined {
        const backlogMs = this.backlogMs.at(now);
        if (backlogMs < minBacklogMs || this.sent.at(now) < minSent) {
            return undefined;
        }
        let cost = 0;
        this.costs.forEach((sum, other) => cost += other >= urgency ? sum.at(now) : 0);
        return cost / backlogMs;
    }
}
