/** Checks what the workers ran against what callers sent and were promised. */
import type { WorkerStandin } from "@marigolddrift/platform";

import { maxTurnTokens, tokensPerEvent } from "./soakCalls.js";
import { expectedAnswer } from "./soakRecord.js";
import type { Attempt, SoakRecord, Violation } from "./soakRecord.js";
import { bounds } from "./soakSettings.js";

/** Statuses that promise that the call has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Number of whole events in the part of a stream that arrived. */
const eventsIn = (body: string): number => body.split("\n\n").length - 1;

const isStream = ({ kind }: Attempt): boolean => kind === "turn" || kind === "visit";

/** Checks a run after its end. */
export class SoakChecks {
    private readonly runs = new Map<string, string[]>();
    private readonly spoilt: ReadonlySet<string>;

    constructor(private readonly record: SoakRecord, workers: readonly WorkerStandin[]) {
        for (const { ran } of workers) {
            ran.forEach(({ id, body }) => this.runs.set(id, [...(this.runs.get(id) ?? []), body]));
        }
        this.spoilt = new Set(workers.flatMap(({ spoiltRequestIds }) => [...spoiltRequestIds]));
    }

    /** Returns the promises that were broken. */
    violations(): Violation[] {
        const unknown = [...this.runs.keys()].filter(id => !this.record.attempts.has(id));
        return [
            ...unknown.map(id => `a worker ran ${id}, which no caller sent`),
            ...[...this.record.attempts.values()].flatMap(attempt => this.checkAttempt(attempt)),
            ...this.checkBudgets(),
        ];
    }

    private checkAttempt(attempt: Attempt): Violation[] {
        const { id, status, kind } = attempt;
        const bodies = this.runs.get(id) ?? [];
        const mustNotRepeat = kind !== "safe" && bodies.length > 0;
        const promises: readonly (readonly [boolean, Violation])[] = [
            [
                bodies.some(body => body !== attempt.expectedBody),
                `a worker ran ${id} with another body than its conversation and input`,
            ],
            [mustNotRepeat && bodies.length > 1, `${id} must not be repeated and ran ${bodies.length} times`],
            [mustNotRepeat && notRunStatuses.has(status ?? 0), `${id} was answered ${status}, and ran`],
            [
                bodies.length > 0 && this.isUnanswered(attempt),
                `${id} was passed on by ${attempt.front}, and got no answer (${attempt.end})`,
            ],
            [
                bodies.length > 0 && this.isStreamCut(attempt),
                `${id} is a stream that ${attempt.front} cut while nothing but planned work went on (${attempt.end})`,
            ],
            [
                bodies.length === 0 && this.isDropped(attempt),
                `${id} was read by ${attempt.front}, which was stopping, and got neither answer nor refusal`,
            ],
        ];
        return promises.filter(([isBroken]) => isBroken).map(([, violation]) => violation);
    }

    /** A front answers each call that it has passed on, also while it stops, unless it is killed or frozen itself. */
    private isUnanswered({ status, end, startedAt, endedAt, front, isLate }: Attempt): boolean {
        const isCut = end === "closed" || end === "reset" || isLate === true;
        return status === undefined && isCut &&
            !this.record.disturbances.overlaps(startedAt, endedAt ?? Infinity, front);
    }

    /** While nothing but planned work goes on, a stream ends early only with its upstream, its time limit or its caller. */
    private isStreamCut(attempt: Attempt): boolean {
        const { id, body, status, startedAt, endedAt = Infinity, limitMs } = attempt;
        const isCut = status === 200 && body !== expectedAnswer(attempt);
        return isStream(attempt) && isCut && !this.spoilt.has(id) && endedAt - startedAt < limitMs &&
            !this.record.disturbances.overlaps(startedAt - bounds.contactMs, endedAt);
    }

    /**
     * A connection that ends in order has been read; one that ends with unread bytes is reset. If this process was held up, the
     * connection may have ended before the call was sent.
     */
    private isDropped({ status, end, isLate, front, startedAt, sentAt, endedAt = Infinity }: Attempt): boolean {
        const isClosed = isLate === true && status === undefined && end === "closed";
        const { disturbances, stalls } = this.record;
        return isClosed && sentAt !== undefined && endedAt - sentAt > bounds.lossSlackMs &&
            !disturbances.overlaps(startedAt, endedAt, front) && !stalls.overlaps(startedAt, endedAt);
    }

    private checkBudgets(): Violation[] {
        const delivered = new Map<string, number>();
        for (const { program, body, status } of this.record.attempts.values()) {
            if (program !== undefined && status === 200) {
                const tokens = eventsIn(body ?? "") * tokensPerEvent;
                delivered.set(program, (delivered.get(program) ?? 0) + tokens);
            }
        }
        return [...delivered].flatMap(([program, tokens]) => {
            const budget = this.record.budgets.get(program) ?? Infinity;
            return tokens <= budget + maxTurnTokens ?
                [] :
                [`program ${program} got ${tokens} tokens with a budget of ${budget}`];
        });
    }
}
