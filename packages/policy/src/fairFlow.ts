/** The waiting calls of one workspace with one urgency, and what it has been served lately. */
import { DecayingSum } from "./decayingSum.js";
import type { WaitingCall } from "./ordering.js";

/** A waiting call, as fair queueing sees it. */
export interface FairCall extends WaitingCall {
    /** Expected slot time on the upstream, in milliseconds. */
    readonly cost: number;
    /** Whether the call's program has begun. */
    readonly isContinuation: boolean;
    /** Share of the workspace relative to others. */
    readonly weight: number;
    /** Monotonic time at which the caller first sent the call; earlier than `enqueuedAt` if it was refused before. */
    readonly firstArrivedAt: number;
    /** Whether the caller returns after a refusal for lack of room. */
    readonly isReturning: boolean;
    /** Latest monotonic time at which the call may start, so that the call and its program end in time. */
    readonly startBy: number;
}

/** Time constant of the counts from which the served shares are computed. */
export const shareTauMs = 10_000;

/** Number of urgencies; calls of lower priority share the last one. */
export const urgencies = 10;

/** Returns the urgency of a priority; 0 is the first. */
export const urgencyOfPriority = (priority: number): number =>
    Math.min(urgencies - 1, Math.max(0, Math.floor(priority)));

/** A workspace with one urgency, as fair queueing sees it. */
export class FairFlow<C extends FairCall = FairCall> {
    /** Sorted by {@link compareWithinWorkspace}. */
    readonly waiting: C[] = [];
    /** Expected cost of the waiting calls. */
    waitingCost = 0;
    /** Virtual time at which the next call starts: slot time taken so far, divided by the weight. */
    start = 0;
    /** Whether the workspace has far more calls running in the region than usual ones. */
    isOver = false;
    /** Number of calls that have been sent and have not ended. */
    running = 0;
    readonly offered = new DecayingSum(shareTauMs);
    readonly sent = new DecayingSum(shareTauMs);
    readonly sentCost = new DecayingSum(shareTauMs);

    constructor(readonly workspace: string, readonly urgency: number, public weight: number) {}

    get isActive(): boolean {
        return this.running > 0 || this.waiting.length > 0;
    }

    add(call: C): void {
        this.waiting.splice(this.indexFor(call), 0, call);
        this.waitingCost += call.cost;
    }

    /** Removes a waiting call; returns whether it was there. */
    remove(call: C): boolean {
        const index = this.waiting.indexOf(call);
        if (index >= 0) {
            this.waiting.splice(index, 1);
            this.waitingCost = this.waiting.length === 0 ? 0 : this.waitingCost - call.cost;
        }
        return index >= 0;
    }

    /** Expected cost of the waiting calls that precede a call. */
    costBefore(call: C): number {
        return this.waiting.slice(0, this.indexFor(call)).reduce((sum, { cost }) => sum + cost, 0);
    }

    /** Index of a call among the waiting ones, behind equal ones. */
    private indexFor(call: C): number {
        let low = 0;
        let high = this.waiting.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (compareWithinWorkspace(this.waiting[middle]!, call) <= 0) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}

/**
 * Order within a workspace: programs that have begun first, then callers that return after a refusal, then by the latest start
 * at which the call and its program end in time.
 */
export const compareWithinWorkspace = (a: FairCall, b: FairCall): number =>
    Number(b.isContinuation) - Number(a.isContinuation) ||
    Number(b.isReturning) - Number(a.isReturning) ||
    a.startBy - b.startBy ||
    a.firstArrivedAt - b.firstArrivedAt;
