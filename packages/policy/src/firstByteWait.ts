/**
 * Observes how long calls wait at a worker for their first byte. Load pattern: calls of many instances queue at one worker, which
 * none of them sees in its own counters, and wait there until their deadlines while other workers have room.
 */

/** Time after which an observed wait has half of its weight: queues at workers grow and shrink within seconds. */
const halfLifeMs = 1_000;

/** Weight of a new observation. */
const newWeight = 0.3;

/** Multiple of its expected time after which a call without a first byte counts as waiting, since service times vary. */
const lateFactor = 3;

/** Shortest time that counts as a wait, since this process may itself be late by as much. */
const minWaitMs = 50;

interface PendingCall {
    readonly sentAt: number;
    readonly expectedMs: number;
}

/**
 * Waits at one worker, of calls that have had their first byte and of those that have not yet.
 *
 * @example
 * const waits = new FirstByteWait();
 * const ticket = waits.begin(120, performance.now());
 * waits.onFirstByte(ticket, performance.now());
 * const waitMs = waits.waitMs(performance.now());
 */
export class FirstByteWait {
    /** In the order in which they were sent. */
    private readonly pending = new Map<number, PendingCall>();
    private nextTicket = 0;
    private average = 0;
    private averageAt = 0;

    /**
     * Begins to observe a call that is sent now.
     *
     * @param expectedMs Expected time until its first byte if it does not wait.
     */
    begin(expectedMs: number, now: number): number {
        const ticket = this.nextTicket;
        this.nextTicket += 1;
        this.pending.set(ticket, { sentAt: now, expectedMs });
        return ticket;
    }

    /** Records the first byte of a call; later ones have no effect. */
    onFirstByte(ticket: number, now: number): void {
        const call = this.pending.get(ticket);
        if (call !== undefined) {
            this.pending.delete(ticket);
            const waitMs = lateness(call, 1, now);
            this.average = (1 - newWeight) * this.averageNow(now) + newWeight * waitMs;
            this.averageAt = now;
        }
    }

    /** Ends the observation of a call, which tells nothing if it had no first byte. */
    end(ticket: number): void {
        this.pending.delete(ticket);
    }

    /** Wait to be expected by a call that is sent now. */
    waitMs(now: number): number {
        const [oldest] = this.pending.values();
        const oldestMs = oldest === undefined ? 0 : lateness(oldest, lateFactor, now);
        const waitMs = Math.max(this.averageNow(now), oldestMs);
        return waitMs < minWaitMs ? 0 : waitMs;
    }

    private averageNow(now: number): number {
        return this.average * 0.5 ** (Math.max(0, now - this.averageAt) / halfLifeMs);
    }
}

const lateness = (call: PendingCall, factor: number, now: number): number =>
    Math.max(0, now - call.sentAt - factor * call.expectedMs);
