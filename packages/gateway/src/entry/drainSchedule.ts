/** Decides which calls an instance still takes while it stops. */

/** Time after the stop signal in which new callers may still be sent to the instance. */
const redirectMs = 2_600;

/** Limit of calls that an instance must be able to take to be of use to callers, who would else only be refused. */
const usefulLimitMs = 2_000;

/** Part of the grace period, at its end, that is left for the answers to calls that are given up. */
const reserveMs = 700;

/**
 * Load pattern: callers that use open connections until the process is gone, while it waits for the calls that it has taken.
 * A call that would be cut at the end of the grace period is better refused at once, since another instance can take it.
 */
export class DrainSchedule {
    /** Monotonic time from which the instance may refuse new connections. */
    readonly redirectedAt: number;
    /** Monotonic time until which it may go on to accept connections because too few other instances do. */
    readonly leavesBy: number;
    /** Monotonic time at which calls that are still active are given up. */
    readonly endsAt: number;
    private isClosed = false;

    /**
     * @param startedAt Monotonic time of the stop signal.
     * @param graceMs Time between the stop signal and the end of the process.
     */
    constructor(readonly startedAt: number, graceMs: number) {
        this.endsAt = startedAt + graceMs - reserveMs;
        this.redirectedAt = Math.min(startedAt + redirectMs, this.endsAt);
        this.leavesBy = Math.max(this.redirectedAt, this.endsAt - usefulLimitMs);
    }

    /** Takes no further calls. */
    close(): void {
        this.isClosed = true;
    }

    /**
     * Whether to take a call now.
     *
     * @param limitMs Time in which the call must end.
     * @example
     * new DrainSchedule(0, 8_000).takes(2_000, 6_000) === false;
     */
    takes(limitMs: number, now: number): boolean {
        return !this.isClosed && (now < this.redirectedAt || now + limitMs <= this.endsAt);
    }
}
