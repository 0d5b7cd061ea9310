/** Serializes the calls of one program in the order of their numbers. */
import { ProblemError } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";

/** After an ownership change, the first call waits this long, so that calls with lower numbers can still arrive. */
const takeoverGraceMs = 300;

/** Runs the calls of one program one at a time, in order. */
export class CallSequencer {
    private running: number | undefined;
    private readonly waiting = new Map<number, () => void>();
    private readonly arrived = new Set<number>();

    /** @param expectedCall Number of the next call; undefined if a previous owner may have run unknown ones. */
    constructor(private expectedCall: number | undefined) {}

    /** Number for a call that was sent without one. */
    assignNumber(): number {
        const numbers = [...this.arrived, this.running ?? 0];
        return Math.max(this.expectedCall ?? 1, ...numbers.map(call => call + 1));
    }

    /** Number of the next call; undefined if it is not known yet. */
    get nextCall(): number | undefined {
        return this.expectedCall;
    }

    /**
     * Waits until all earlier calls have run.
     *
     * @throws ProblemError `call_superseded` if this call or a later one has already run.
     */
    async enter(call: number, progress: Progress): Promise<void> {
        this.arrived.add(call);
        try {
            if (this.expectedCall === undefined) {
                await progress.sleep(takeoverGraceMs);
                this.expectedCall ??= Math.min(...this.arrived);
            }
            while (call !== this.expectedCall || this.running !== undefined) {
                if (call < this.expectedCall) {
                    throw new ProblemError(
                        "call_superseded",
                        "notRun",
                        `Call ${call} comes after call ${this.expectedCall - 1} ran.`,
                    );
                }
                await progress.race(new Promise<void>(resolve => this.waiting.set(call, resolve)));
            }
            this.running = call;
        }
        finally {
            this.arrived.delete(call);
            this.waiting.delete(call);
        }
    }

    /**
     * Marks a call as finished, and wakes the waiting calls.
     *
     * @param advance Whether the next call may run; false if this call may be retried.
     */
    leave(call: number, advance: boolean): void {
        this.running = undefined;
        if (advance) {
            this.expectedCall = call + 1;
        }
        [...this.waiting.values()].forEach(wake => wake());
    }
}
