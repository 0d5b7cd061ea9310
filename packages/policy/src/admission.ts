/** Admission control: rejects calls early that are not expected to finish by their deadline. */

/** One instance's view of the load of a pool. */
export interface PoolLoad {
    /** Queue depth on this instance. */
    readonly waiting: number;
    /** Calls that the pool's workers run concurrently. */
    readonly capacity: number;
    /** Mean time of a call on its worker. */
    readonly meanServiceMs: number;
}

/** The properties of a call that decide on its admission. */
export interface AdmissionRequest {
    /** Whether this is the first call of its program. */
    readonly firstCall: boolean;
    /** Time until the deadline. */
    readonly leftMs: number;
    /** Expected time of the call on its worker. */
    readonly expectedMs: number;
}

export type AdmissionDecision =
    | { readonly kind: "admit"; }
    | { readonly kind: "refuse"; readonly reason: string; readonly retryAfterMs: number; };

/** Maximum queue wait of a program's first call, as a share of the time until its deadline. */
const firstCallWaitShare = 0.1;

/** Absolute maximum queue wait of a program's first call. */
const maxFirstCallWaitMs = 30_000;

/** Maximum queue wait of a running program's call for an upstream that limits its requests. */
const limitedCallWaitShare = 0.3;

/**
 * Longest time that a call may wait while all upstreams are at their limits, so that a caller that is refused has time left
 * to come back. Load pattern: more requests a second than all upstreams together take, for many seconds.
 */
export const maxLimitedWaitMs = (firstCall: boolean, leftMs: number): number =>
    leftMs * (firstCall ? firstCallWaitShare : limitedCallWaitShare);

/** Expected time in the queue; infinite for a pool without capacity. */
export const expectedWaitMs = (pool: PoolLoad): number =>
    pool.capacity === 0 ? Infinity : (pool.waiting / pool.capacity) * pool.meanServiceMs;

/**
 * Admits a call if it can finish by its deadline. First calls have a lower wait limit, so that under overload new programs
 * are rejected before calls of running ones.
 */
export const admit = (pool: PoolLoad, req: AdmissionRequest): AdmissionDecision => {
    const waitMs = expectedWaitMs(pool);
    if (waitMs + req.expectedMs > req.leftMs) {
        return { kind: "refuse", reason: "the deadline cannot be met", retryAfterMs: retryAfter(waitMs) };
    }
    const maxWaitMs = Math.min(maxFirstCallWaitMs, req.leftMs * firstCallWaitShare);
    if (req.firstCall && waitMs > maxWaitMs) {
        return { kind: "refuse", reason: "new programs wait for running ones", retryAfterMs: retryAfter(waitMs) };
    }
    return { kind: "admit" };
};

const minRetryAfterMs = 1_000;
const maxRetryAfterMs = 60_000;

const retryAfter = (waitMs: number): number => Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs));
