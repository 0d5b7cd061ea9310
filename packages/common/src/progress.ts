/** The deadline and abort signal that every wait of a request receives. */
import { setMaxListeners } from "node:events";

import { ProblemError } from "./verdict.js";

const maxTimerMs = 2_147_483_647;

/**
 * Deadline and cancellation of one piece of work.
 *
 * @example
 * const progress = new Progress(5_000);
 * await progress.sleep(100);
 */
export class Progress {
    readonly signal: AbortSignal;
    private readonly controller = new AbortController();
    /** Time of the monotonic clock, so that steps of the time of day move no deadline. */
    private readonly endsAt: number;
    private readonly timer: NodeJS.Timeout;
    private lastLook: NodeJS.Immediate | undefined;
    private readonly parent: AbortSignal | undefined;
    private readonly onParentAbort = (): void => this.abort(this.parent?.reason);

    /**
     * @param timeoutMs Time after which waits fail, in milliseconds.
     * @param parent Signal that aborts this work as well.
     */
    constructor(timeoutMs: number, parent?: AbortSignal) {
        this.endsAt = performance.now() + timeoutMs;
        this.signal = this.controller.signal;
        // One request may wait for many answers at once, as when all machines are asked for a turn.
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

    /** Milliseconds left until the deadline, at least 0. */
    get leftMs(): number {
        return Math.max(0, this.endsAt - performance.now());
    }

    /** Ends all waits with the given reason. */
    abort(reason: unknown): void {
        this.controller.abort(reason);
        this.dispose();
    }

    /** Timers run before input after a stall of the process: what has arrived in the meantime is read first. */
    private onDeadline(): void {
        this.lastLook = setImmediate(() => this.abort(deadlineError()));
    }

    /** Releases the timer; call it once the work has ended. */
    dispose(): void {
        clearTimeout(this.timer);
        clearImmediate(this.lastLook);
        this.parent?.removeEventListener("abort", this.onParentAbort);
    }

    /** Fails if the work was aborted or its deadline has passed. */
    check(): void {
        this.signal.throwIfAborted();
    }

    /** Creates a progress that ends with this one, or earlier. */
    child(timeoutMs: number): Progress {
        return new Progress(Math.min(this.leftMs, timeoutMs), this.signal);
    }

    /** Waits for a promise, but no longer than this progress allows. */
    async race<T>(promise: Promise<T>): Promise<T> {
        // If the work has ended already, nobody waits for the promise any more: its own failure must not end the process.
        promise.catch(() => {});
        this.check();
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

    /** Waits for a time in milliseconds. */
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

/** Waits for a time in milliseconds, outside of any request. */
export const delay = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms).unref());
