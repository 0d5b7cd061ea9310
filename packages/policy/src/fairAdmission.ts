/**
 * Refuses calls that are not expected to get room in time, instead of letting them wait until their deadline. Load pattern: more
 * calls than all upstreams together can run, for longer than callers wait.
 */

/** What an instance knows when a call is to be queued. */
export interface FairLoad {
    /** Whether an upstream of the service has a free place. */
    readonly hasRoom: boolean;
    /** Number of calls that wait for the service. */
    readonly waiting: number;
    /** Number of waiting calls of the same workspace and urgency. */
    readonly ownWaiting: number;
    /** Whether the workspace is served so rarely that a waiting call precedes more urgent ones. */
    readonly isUnderserved: boolean;
    /** Expected slot time of the calls that get room first. */
    readonly costAhead: number;
    /** Slot time that waiting calls get per millisecond; undefined if it is not known well enough. */
    readonly drainRate: number | undefined;
    /** Calls that all upstreams of the service run at once, for all instances together. */
    readonly capacity: number;
}

/** The properties of a call that decide on its admission. */
export interface FairRequest {
    /** Whether the call's program has begun. */
    readonly isContinuation: boolean;
    /** Whether the caller returns after a refusal. */
    readonly isReturning: boolean;
    readonly leftMs: number;
    /** Expected duration of the call itself; undefined if it has not been measured often enough. */
    readonly expectedMs: number | undefined;
}

/** `waitMs` is the expected wait for room. */
export type FairDecision =
    | { readonly kind: "admit"; readonly waitMs: number; }
    | { readonly kind: "refuse"; readonly reason: string; readonly waitMs: number; };

/** Largest wait of a first call of a program, as a share of its time: new programs are refused before begun ones. */
const firstCallWaitShare = 0.25;

/** The same for callers that return, so that new callers are refused before them. */
const returningWaitShare = 0.5;

/** The same for calls of programs that have begun; the rest is a margin for errors of the estimate. */
const begunWaitShare = 0.8;

/**
 * Number of calls that a workspace may always have waiting while it is served far less than others. Without waiting calls, it
 * would never get the room that it is due.
 */
const minWaitingOfUnderserved = 4;

/** Shortest time after which a refused caller may return. */
const minRetryAfterMs = 100;

/** Longest time that a refused caller is told; a longer queue does not predict the room at its end. */
const maxRetryAfterMs = 30_000;

/**
 * Part of their remaining time after which callers return at the latest, whatever they are told. Longer times would make those
 * that were refused together return together.
 */
const honouredShare = 1 / 3;

/**
 * Decides whether a call may wait. Without a solid estimate, it may.
 *
 * @example
 * const decision = admitFairly(load, { isContinuation: false, isReturning: false, leftMs: 5_000, expectedMs: 200 });
 */
export const admitFairly = (load: FairLoad, req: FairRequest): FairDecision => {
    const waitMs = fairWaitMs(load);
    const isDue = load.isUnderserved && load.ownWaiting < minWaitingOfUnderserved;
    if (req.expectedMs === undefined || load.waiting === 0 || load.hasRoom || load.capacity === 0 || isDue) {
        return { kind: "admit", waitMs };
    }
    if (waitMs + req.expectedMs > req.leftMs) {
        return { kind: "refuse", reason: "there is no room for the call before its deadline", waitMs };
    }
    if (waitMs > maxFairWaitMs(req)) {
        const reason = `the wait for room is too long for ${
            req.isContinuation ? "a begun" : "the first call of a"
        } program`;
        return { kind: "refuse", reason, waitMs };
    }
    return { kind: "admit", waitMs };
};

/**
 * Expected wait for room, from the observed rate; without one, from the capacity that all instances share, which gives a lower
 * bound.
 */
export const fairWaitMs = ({ costAhead, drainRate, capacity }: FairLoad): number =>
    costAhead === 0 ? 0 : costAhead / Math.max(drainRate ?? capacity, Number.MIN_VALUE);

/** Longest expected wait with which a call is admitted. */
export const maxFairWaitMs = ({ isContinuation, isReturning, leftMs }: FairRequest): number =>
    leftMs * (isContinuation ? begunWaitShare : isReturning ? returningWaitShare : firstCallWaitShare);

/**
 * Time after which a refused caller returns: when the expected wait will have fallen to what a returning caller may wait, and
 * spread from there over the time in which those ahead get room, so that callers return at the rate at which they can be served.
 *
 * @param random In [0, 1).
 * @example
 * const retryAfterSeconds = fairRetryAfterMs(decision.waitMs, request, Math.random()) / 1_000;
 */
export const fairRetryAfterMs = (waitMs: number, req: FairRequest, random: number): number => {
    const latest = Math.min(maxRetryAfterMs, req.leftMs * honouredShare);
    const excessMs = Math.max(minRetryAfterMs, waitMs - maxFairWaitMs({ ...req, isReturning: true }));
    const from = Math.min(excessMs, latest / 3);
    const to = Math.min(latest, Math.max(2 * excessMs, waitMs));
    return from + random * (to - from);
};
