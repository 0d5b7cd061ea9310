/** Calls to be dispatched, and what a dispatcher needs to know of the workers and queues. */
import type { CallShape, Placement, WaitingCall, WorkerScore, WorkerView } from "@marigolddrift/policy";

/** A call that is to be dispatched to a worker. */
export interface DispatchRequest extends WaitingCall {
    readonly model: string;
    readonly call: number;
    readonly shape: CallShape;
    readonly firstCall: boolean;
    /** Workers on which this call has failed. */
    readonly excluded: ReadonlySet<string>;
    /** Calls that may use a part of the model's workers only queue by themselves, so that no other call waits behind them. */
    readonly lane?: string | undefined;
    /** Size of the request, counted against the bandwidth budget of the link if it goes to another region. */
    readonly bytes: number;
}

/** Reservation of a worker for one call. */
export interface DispatchLease {
    readonly worker: string;
    readonly score: WorkerScore;
    /** Releases the worker; further calls have no effect. */
    release(): void;
}

/** The workers to which a dispatcher assigns calls. */
export interface DispatchTarget<R extends DispatchRequest = DispatchRequest> {
    /** Workers that are eligible for the call, with their current load. */
    views(req: R): WorkerView[];
    /**
     * Calls that the model's workers run concurrently.
     *
     * @param meanServiceMs Mean time of a call on its worker, from which workers that take a number of calls a second
     * derive how many they run at once.
     */
    capacity(model: string, meanServiceMs: number): number;
    /** Called when a call is assigned to a worker. */
    onAssigned(worker: string): void;
    /** Called when an assigned call releases its worker. */
    onReleased(worker: string): void;
    /**
     * Checks whether the call may be sent to the chosen worker, and consumes the budget that this takes, for example the
     * bandwidth of a link to another region.
     */
    tryAdmit(worker: string, req: R): boolean;
}

/** What would happen to a call if it were queued now. */
export interface DispatchPreview {
    /** Results of the placement policy, which may differ by chance. */
    readonly placements: readonly Placement[];
    /** Calls of the same model that wait. */
    readonly waiting: number;
    /** Whether the call would be dispatched before those. */
    readonly isNext: boolean;
    /** Expected time in the queue, in milliseconds. */
    readonly expectedWaitMs: number;
}

/** Returns the index of the queued call to dispatch next. */
export type OrderFunction = (calls: readonly WaitingCall[], now: number) => number;

/** A queue with an order of its own, which knows the calls that it has ordered; see `FairQueue`. */
export interface CallQueue<R extends DispatchRequest> {
    readonly size: number;
    add(call: R, now: number): void;
    /** Returns the call to dispatch next; undefined if none is to be dispatched now. */
    next(now: number): R | undefined;
    /** Removes a call that is no longer to be dispatched. */
    remove(call: R, now: number): void;
    /** Removes a call that is being dispatched. */
    onSent(call: R, now: number): void;
    /** Called when a dispatched call has released its worker. */
    onEnded(call: R, tookMs: number, now: number): void;
}
