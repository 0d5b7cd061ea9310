/** Refuses early what cannot finish in time. */

/** State of one pool as an instance sees it. */
export interface PoolLoad {
    readonly waiting: number;
    /** Calls that the pool's workers run at a time. */
    readonly capacity: number;
    /** Mean engine time of a call, in milliseconds. */
    readonly meanServiceMs: number;
}

/** A call that asks to be admitted. */
export interface AdmissionRequest {
    readonly firstCall: boolean;
    readonly leftMs: number;
    readonly expectedMs: number;
}

export type AdmissionDecision =
    | { readonly kind: "admit"; }
    | { readonly kind: "refuse"; readonly reason: string; readonly retryAfterMs: number; };

/** Share of a deadline that the wait of a program's first call may take. */
const firstCallWaitShare = 0.1;

/** Milliseconds that a first call may wait at most. */
const maxFirstCallWaitMs = 30_000;

/** Expected wait in the queue, in milliseconds. */
export const expectedWaitMs = (pool: PoolLoad): number =>
    pool.capacity === 0 ? Infinity : (pool.waiting / pool.capacity) * pool.meanServiceMs;

/** Admits a call if it can finish by its deadline; new programs are refused before running ones. */
export const admit = (pool: PoolLoad, req: AdmissionRequest): AdmissionDecision => {
    const waitMs = expectedWaitMs(pool);
    if (waitMs + req.expectedMs > req.leftMs) {
        return { kind: "refuse", reason: "the deadline cannot be met", retryAfterMs: retryAfter(waitMs) };
    }
    const allowed = Math.min(maxFirstCallWaitMs, req.leftMs * firstCallWaitShare);
    if (req.firstCall && waitMs > allowed) {
        return { kind: "refuse", reason: "new programs wait for running ones", retryAfterMs: retryAfter(waitMs) };
    }
    return { kind: "admit" };
};

const minRetryAfterMs = 1_000;
const maxRetryAfterMs = 60_000;

const retryAfter = (waitMs: number): number => Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs));
