/** Lets the calls of one program run one at a time, in the order of their numbers. */
import { ProblemError } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";

/** After a change of owner, calls that arrive within this time run in order; in milliseconds. */
const inheritGraceMs = 300;

/** Orders the calls of one program. */
export class CallSequencer {
    private running: number | undefined;
    private readonly waiting = new Map<number, () => void>();
    private readonly arrived = new Set<number>();

    /** @param next Number of the next call; undefined if a former owner ran some that are not known. */
    constructor(private next: number | undefined) {}

    /** Number that an unnumbered call gets. */
    assign(): number {
        const taken = [...this.arrived, this.running ?? 0];
        return Math.max(this.next ?? 1, ...taken.map(call => call + 1));
    }

    /** Number of the next call, if it is known. */
    get nextCall(): number | undefined {
        return this.next;
    }

    /**
     * Waits for the turn of a call.
     *
     * @throws ProblemError `call_superseded` if a later call already ran.
     */
    async enter(call: number, progress: Progress): Promise<void> {
        this.arrived.add(call);
        try {
            if (this.next === undefined) {
                await progress.sleep(inheritGraceMs);
                this.next ??= Math.min(...this.arrived);
            }
            while (call !== this.next || this.running !== undefined) {
                if (call < this.next) {
                    throw new ProblemError(
                        "call_superseded",
                        "notRun",
                        `Call ${call} comes after call ${this.next - 1} ran.`,
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
     * Ends the turn of a call.
     *
     * @param advance Whether the next call may run; false if this one may be sent again.
     */
    leave(call: number, advance: boolean): void {
        this.running = undefined;
        if (advance) {
            this.next = call + 1;
        }
        [...this.waiting.values()].forEach(wake => wake());
    }
}
