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
    readonly signal: AbortSignal;
    private readonly controller = new AbortController();
    /** Monotonic time, so that adjustments of the wall clock do not change the deadline. */
    private readonly endsAt: number;
    private readonly timer: NodeJS.Timeout;
    private pendingAbort: NodeJS.Immediate | undefined;
    private readonly parent: AbortSignal | undefined;
    private readonly onParentAbort = (): void => this.abort(this.parent?.reason);

    /**
     * @param timeoutMs Time until the deadline, in milliseconds.
     * @param parent Signal that also aborts this operation.
     */
    constructor(timeoutMs: number, parent?: AbortSignal) {
        this.endsAt = performance.now() + timeoutMs;
        this.signal = this.controller.signal;
        // An operation may have many concurrent waits, for example when it queries all machines for a turn.
        setMaxListeners(0, this.signal);
        this.parent = parent;
        this.timer = setTimeout(() => this.onDeadline(), Math.min(this.leftMs, maxTimerMs));
        this.timer.unref();
        if (parent?.aborted) {
            this.abort(parent.reason);
        }
        else {
            parent?.addEventListener("abort", this.onParentAbort, { once: true });
        }
    }

    /** Time until the deadline, at least 0. */
    get leftMs(): number {
        return Math.max(0, this.endsAt - performance.now());
    }

    /** Aborts the operation: all its waits reject with the given reason. */
    abort(reason: unknown): void {
        this.controller.abort(reason);
        this.dispose();
    }

    /** Defers the abort until pending I/O is processed: after a stall of the process, timers run before input is read. */
    private onDeadline(): void {
        this.pendingAbort = setImmediate(() => this.abort(deadlineError()));
    }

    /** Releases the timer and the parent's listener; must be called when the operation has ended. */
    dispose(): void {
        clearTimeout(this.timer);
        clearImmediate(this.pendingAbort);
        this.parent?.removeEventListener("abort", this.onParentAbort);
    }

    /** Throws the abort reason if the operation was aborted or its deadline has passed. */
    throwIfAborted(): void {
        this.signal.throwIfAborted();
    }

    /** Creates a child operation that ends with this one or after the given timeout, whichever is earlier. */
    child(timeoutMs: number): Progress {
        return new Progress(Math.min(this.leftMs, timeoutMs), this.signal);
    }

    /** Waits for a promise; rejects with the abort reason if the operation is aborted or its deadline passes first. */
    async race<T>(promise: Promise<T>): Promise<T> {
        // If the operation has already ended, nothing awaits the promise; without a handler its rejection would end the process.
        promise.catch(() => {});
        this.throwIfAborted();
        let onAbort: (() => void) | undefined;
        const aborted = new Promise<never>((_, reject) => {
            onAbort = () => reject(this.signal.reason);
            this.signal.addEventListener("abort", onAbort, { once: true });
        });
        try {
            return await Promise.race([promise, aborted]);
        }
        finally {
            this.signal.removeEventListener("abort", onAbort!);
        }
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
