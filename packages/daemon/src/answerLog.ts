/** An answer in progress, which any number of readers can follow from its start. */
import { ProblemError, toProblemError } from "@marigolddrift/common";
import type { Progress, Verdict } from "@marigolddrift/common";

import type { AnswerEvent } from "./calls.js";

/** Collects the events of one answer. */
export class AnswerLog {
    private readonly events: AnswerEvent[] = [];
    private closed = false;
    private waiters: (() => void)[] = [];
    private readerCount = 0;
    private onAbandon: () => void = () => {};

    /** Sets what happens when the last reader leaves before the answer is complete. */
    setOnAbandon(action: () => void): void {
        this.onAbandon = action;
    }

    get readers(): number {
        return this.readerCount;
    }

    get isClosed(): boolean {
        return this.closed;
    }

    /** The problem with which the answer ended, if it did. */
    get problem(): ProblemError | undefined {
        const last = this.events.find(event => event.kind === "problem");
        return last === undefined ? undefined : ProblemError.fromProblem(last.problem);
    }

    append(event: AnswerEvent): void {
        if (!this.closed) {
            this.events.push(event);
            this.wake();
        }
    }

    /** Completes the answer. */
    close(): void {
        this.append({ kind: "end" });
        this.closed = true;
        this.wake();
    }

    /** Completes the answer with a problem. */
    fail(err: unknown, verdict: Verdict): void {
        this.append({ kind: "problem", problem: toProblemError(err, verdict).toProblem() });
        this.close();
    }

    /** Yields all events from the first on, as they come. */
    async *read(progress: Progress): AsyncGenerator<AnswerEvent> {
        this.readerCount += 1;
        try {
            for (let index = 0;; index++) {
                while (index >= this.events.length) {
                    await progress.race(new Promise<void>(resolve => this.waiters.push(resolve)));
                }
                const event = this.events[index]!;
                yield event;
                if (event.kind === "end") {
                    return;
                }
            }
        }
        finally {
            this.readerCount -= 1;
            if (this.readerCount === 0 && !this.closed) {
                this.onAbandon();
            }
        }
    }

    private wake(): void {
        const waiters = this.waiters;
        this.waiters = [];
        waiters.forEach(resolve => resolve());
    }
}
