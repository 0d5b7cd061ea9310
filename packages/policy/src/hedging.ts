/**
 * Decides when a second copy of a repeatable call is sent to another worker. Load pattern: a few calls wait at a worker that is stuck
 * or busy while others have room. Copies must not add load when there is none to spare, or when all calls become slow together.
 */
import { CallBudget } from "./callBudget.js";

/** Number of recent times to the first byte from which the percentile is taken. */
const windowSize = 200;

/** Fewest times from which a percentile is taken. */
const minSamples = 40;

/** Number of new times after which the percentile is computed again. */
const refreshInterval = 10;

/** Largest share of calls that count as late, however many copies the operator allows. */
const maxLateShare = 0.05;

/** Shortest delay, so that a late timer of this process does not count as a late call. */
const minDelayMs = 20;

/** Largest number of unused copies that accumulate. */
const maxAvailable = 10;

interface Window {
    readonly times: number[];
    next: number;
    sinceRefresh: number;
    delayMs: number | undefined;
}

/**
 * Times to the first byte by kind of call, and the delay after which a call of the kind is late.
 *
 * @example
 * const delays = new HedgeDelays(0.02);
 * delays.record("search", 40);
 * const delayMs = delays.delayMs("search");
 */
export class HedgeDelays {
    private readonly windows = new Map<string, Window>();
    private readonly lateShare: number;

    /** @param share Copies as a share of the calls: no more calls than that are late. */
    constructor(share: number) {
        this.lateShare = Math.min(maxLateShare, share);
    }

    /** Records the time to the first byte of a call, or the time after which it was given up for its copy. */
    record(kind: string, ms: number): void {
        let window = this.windows.get(kind);
        if (window === undefined) {
            window = { times: [], next: 0, sinceRefresh: 0, delayMs: undefined };
            this.windows.set(kind, window);
        }
        window.times[window.next] = ms;
        window.next = (window.next + 1) % windowSize;
        window.sinceRefresh += 1;
        if (window.times.length >= minSamples && window.sinceRefresh >= refreshInterval) {
            window.sinceRefresh = 0;
            const sorted = [...window.times].sort((a, b) => a - b);
            const index = Math.min(sorted.length - 1, Math.floor(sorted.length * (1 - this.lateShare)));
            window.delayMs = Math.max(minDelayMs, sorted[index]!);
        }
    }

    /** Time after which a call without a first byte is late; undefined until enough calls have been seen. */
    delayMs(kind: string): number | undefined {
        return this.windows.get(kind)?.delayMs;
    }
}

/**
 * Limits copies to a share of the calls. Unlike {@link RetryBudget}, nothing is available before the first call, so that the share holds
 * from the start.
 *
 * @example
 * const budget = new HedgeBudget(0.02);
 * budget.onCall();
 * const mayHedge = budget.tryAcquire();
 */
export class HedgeBudget {
    private readonly copies = new CallBudget({ initial: 0, max: maxAvailable });

    constructor(private readonly share: number) {}

    /** Adds to the budget for a call, that is, not for a copy. */
    onCall(): void {
        this.copies.add(this.share);
    }

    /** Takes one copy; returns false if none is available. */
    tryAcquire(): boolean {
        return this.copies.tryAcquire();
    }

    /** Returns a copy that was not sent. */
    giveBack(): void {
        this.copies.add(1);
    }
}

/** Load of the workers of a service as one instance sees it. */
export interface SpareRoom {
    /** Calls that wait for a worker at this instance. */
    readonly waiting: number;
    /** Whether a worker that has not got the call yet has a free slot and no observed wait. */
    readonly hasFreeWorker: boolean;
}

/**
 * Whether a copy would use room that no other call needs.
 *
 * @example
 * const mayHedge = hasRoomForHedge({ waiting: 0, hasFreeWorker: true });
 */
export const hasRoomForHedge = ({ waiting, hasFreeWorker }: SpareRoom): boolean => waiting === 0 && hasFreeWorker;
