/**
 * Urgency of a call in an engine's own queue. Load pattern: a workspace sends its calls through many instances, none of which
 * sees more than a few, and they crowd the queue of the engine that all share.
 */

/** What decides on the urgency of a call. */
export interface UrgencyInput {
    /** Priority of the workspace or route; 0 is the highest. */
    readonly priority: number;
    /** Whether the call's program has begun. */
    readonly isContinuation: boolean;
    /** Running calls of the workspace on this instance as a multiple of its fair share; undefined without workspaces. */
    readonly runningShare: number | undefined;
    /** Part of the call's time that it has waited for room. */
    readonly waitedShare: number;
}

/** Largest value, for the calls that are served last. */
const lowestUrgency = 9;

/** Multiples of its fair share of running calls from which on a workspace's calls are one or two steps less urgent. */
const overShares = [2, 4];

/** Part of its time from which on a call of a workspace within its share counts as one of the highest priority. */
const longWaitShare = 0.25;

/** Urgency of new programs of the highest priority. */
const highestOfNew = 3;

/**
 * Returns the urgency from 0 (first) to 9; 5 is neutral. Each priority takes two steps, begun programs precede new ones.
 *
 * @example
 * engineUrgency({ priority: 1, isContinuation: false, runningShare: 1, waitedShare: 0 }) === 5;
 */
export const engineUrgency = ({ priority, isContinuation, runningShare, waitedShare }: UrgencyInput): number => {
    const byPriority = 2 * priority + (isContinuation ? 2 : 3);
    const over = runningShare === undefined ? 0 : overShares.filter(share => runningShare >= share).length;
    // This instance's queue has let the call pass so that its urgency gets its share; the engine's queue must not hold it back again.
    const isDue = runningShare !== undefined && over === 0 && waitedShare >= longWaitShare;
    return Math.min(lowestUrgency, isDue ? Math.min(highestOfNew, byPriority) : byPriority + over);
};
