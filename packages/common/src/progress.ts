/** Deadline and cancellation for asynchronous operations. */
import { setMaxListeners } from "node:events";

import { ProblemError } from "./verdict.js";

/** Maximum delay of `setTimeout`, which fires at once for larger values. */
const maxTimerMs = 2_147_483_647;

/**
 * Deadline and abort signal of one operation, passed to everything that the operation waits for.
 *
 * @example
 * const progress = new Progress(5_000);
 * await progress.sleep(100);
 */
export class Progress {
    /** Called at the abort, in the order in which they were added. */
    private readonly listeners = new Set<() => void>();
    private abortedBy: { readonly reason: unknown; } | undefined;
    /** Created only for what takes signals: each call has several operations, and few of them need one. */
    private controller: AbortController | undefined;
    /** Monotonic time, so that adjustments of the wall clock do not change the deadline. */
    private readonly endsAt: number;
    private readonly timer: NodeJS.Timeout;
    private pendingAbort: NodeJS.Immediate | undefined;
    private leaveParent: () => void = () => {};

    /**
     * @param timeoutMs Time until the deadline, in milliseconds.
     * @param parent Operation or signal that also aborts this operation.
     */
    constructor(timeoutMs: number, parent?: Progress | AbortSignal) {
        this.endsAt = performance.now() + timeoutMs;
        this.timer = setTimeout(() => this.onDeadline(), Math.min(this.leftMs, maxTimerMs));
        this.timer.unref();
        if (parent !== undefined) {
            this.leaveParent = this.follow(parent);
        }
    }

    /** Whether the operation was aborted or its deadline has passed. */
    get isAborted(): boolean {
        return this.abortedBy !== undefined;
    }

    /** Undefined as long as the operation is not aborted. */
    get abortReason(): unknown {
        return this.abortedBy?.reason;
    }

    /** Number of waits and child operations that would end with this one. */
    get listenerCount(): number {
        return this.listeners.size;
    }

    /** For what takes a signal. */
    get signal(): AbortSignal {
        if (this.controller === undefined) {
            const controller = new AbortController();
            this.controller = controller;
            // An operation may have many concurrent waits, for example when it queries all machines for a turn.
            setMaxListeners(0, controller.signal);
            this.onAbort(() => controller.abort(this.abortReason));
        }
        return this.controller.signal;
    }

    /** Time until the deadline, at least 0. */
    get leftMs(): number {
        return Math.max(0, this.endsAt - performance.now());
    }

    /** Aborts the operation: all its waits reject with the given reason. */
    abort(reason: unknown): void {
        if (this.abortedBy === undefined) {
            this.abortedBy = { reason: reason ?? new DOMException("The operation was aborted.", "AbortError") };
            // One that an earlier one removes is not called.
            for (const onAbort of this.listeners) {
                this.listeners.delete(onAbort);
                onAbort();
            }
        }
        this.dispose();
    }

    /**
     * Calls a listener at the abort, at once if that has passed. Returns a function that removes the listener.
     *
     * @example
     * const remove = progress.onAbort(() => socket.destroy());
     */
    onAbort(listener: () => void): () => void {
        if (this.isAborted) {
            listener();
            return () => {};
        }
        this.listeners.add(listener);
        return () => void this.listeners.delete(listener);
    }

    /** Defers the abort until pending I/O is processed: after a stall of the process, timers run before input is read. */
    private onDeadline(): void {
        this.pendingAbort = setImmediate(() => this.abort(deadlineError()));
    }

    /** Releases the timer and the parent's listener; must be called when the operation has ended. */
    dispose(): void {
        clearTimeout(this.timer);
        clearImmediate(this.pendingAbort);
        this.leaveParent();
    }

    /** Throws the abort reason if the operation was aborted or its deadline has passed. */
    throwIfAborted(): void {
        if (this.isAborted) {
            throw this.abortReason;
        }
    }

    /** Creates a child operation that ends with this one or after the given timeout, whichever is earlier. */
    child(timeoutMs: number): Progress {
        return new Progress(Math.min(this.leftMs, timeoutMs), this);
    }

    /** Waits for a promise; rejects with the abort reason if the operation is aborted or its deadline passes first. */
    race<T>(promise: Promise<T>): Promise<T> {
        return new Promise<T>((resolve, reject) => {
            const removeListener = this.onAbort(() => reject(this.abortReason));
            // Also if the operation has ended: without a handler the promise's rejection would end the process.
            promise.then(
                value => {
                    removeListener();
                    resolve(value);
                },
                (err: unknown) => {
                    removeListener();
                    reject(err);
                },
            );
        });
    }

    /** Ends with the parent. Returns a function that ends that connection. */
    private follow(parent: Progress | AbortSignal): () => void {
        if (parent instanceof Progress) {
            return parent.onAbort(() => this.abort(parent.abortReason));
        }
        const onAbort = (): void => this.abort(parent.reason);
        if (parent.aborted) {
            onAbort();
            return () => {};
        }
        parent.addEventListener("abort", onAbort, { once: true });
        return () => parent.removeEventListener("abort", onAbort);
    }

    /** Waits for the given time; rejects if the operation ends first. */
    async sleep(ms: number): Promise<void> {
        let timer: NodeJS.Timeout | undefined;
        try {
            await this.race(new Promise<void>(resolve => timer = setTimeout(resolve, ms)));
        }
        finally {
            clearTimeout(timer);
        }
    }
}

const deadlineError = (): ProblemError => new ProblemError("deadline_exceeded", "notRun", "The deadline passed.");

/**
 * Whether an abort reason is that of a passed deadline, rather than of a caller that no longer needs the result.
 *
 * @example
 * isDeadlineExceeded(progress.signal.reason);
 */
export const isDeadlineExceeded = (reason: unknown): boolean =>
    reason instanceof ProblemError && reason.code === "deadline_exceeded";

/** Waits for the given time outside of any operation, without keeping the process alive. */
export const delay = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms).unref());
