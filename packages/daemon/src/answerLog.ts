/** Records the events of an answer, so that any number of readers can stream it from its start. */
import { ProblemError, toProblemError } from "@marigolddrift/common";
import type { Progress, Verdict } from "@marigolddrift/common";

import type { AnswerEvent } from "./calls.js";

/** Append-only log of the events of one answer. */
export class AnswerLog {
    private readonly events: AnswerEvent[] = [];
    private closed = false;
    private waiters: (() => void)[] = [];
    private readerCount = 0;
    private onAbandon: () => void = () => {};

    /** Sets the callback for when the last reader leaves before the answer is complete. */
    setOnAbandon(action: () => void): void {
        this.onAbandon = action;
    }

    get readers(): number {
        return this.readerCount;
    }

    get isClosed(): boolean {
        return this.closed;
    }

    /** The problem that ended the answer, if any. */
    get problem(): ProblemError | undefined {
        const problemEvent = this.events.find(event => event.kind === "problem");
        return problemEvent === undefined ? undefined : ProblemError.fromProblem(problemEvent.problem);
    }

    append(event: AnswerEvent): void {
        if (!this.closed) {
            this.events.push(event);
            this.wakeReaders();
        }
    }

    /** Ends the answer; later events are ignored. */
    close(): void {
        this.append({ kind: "end" });
        this.closed = true;
        this.wakeReaders();
    }

    /** Ends the answer with a problem. */
    fail(err: unknown, verdict: Verdict): void {
        this.append({ kind: "problem", problem: toProblemError(err, verdict).toProblem() });
        this.close();
    }

    /** Yields all events from the first one on, and waits for new ones until the answer is complete. */
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

    private wakeReaders(): void {
        const waiters = this.waiters;
        this.waiters = [];
        waiters.forEach(resolve => resolve());
    }
}
