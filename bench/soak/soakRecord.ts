/** What callers sent and got, and the promises that are checked against what the workers ran. */
import type { WorkerStandin } from "@marigolddrift/platform";

import { visitKeepS } from "./soakFleet.js";

/** Kind of a call: whether it may be repeated, or continues a conversation. */
export type CallKind = "turn" | "visit" | "safe" | "order";

/** One attempt of a caller. */
export interface Attempt {
    readonly id: string;
    readonly kind: CallKind;
    /** Body that a worker is to receive. */
    readonly expectedBody: string;
    readonly program?: string;
    /** Status that the caller got; undefined if the connection ended before. */
    status?: number;
    /** Whether the connection carried the answer to its end. */
    ended?: boolean;
    /** Whether the answer's framing says that it is whole. */
    framedWhole?: boolean;
    body?: string;
    /** Whether it was sent to a front that was stopping, by which each call that is passed on has to be answered. */
    readonly isLate?: boolean;
    /** Monotonic time at which the answer was whole. */
    answeredAt?: number;
}

/** Statuses that promise that the call has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** A broken promise, in words. */
export type Violation = string;

const eventsPerTurn = 3;

/** Time for which turns of programs can be continued. */
const turnKeepS = 60;

/** Tokens in an event, and the most that a turn may generate. */
export const tokensPerEvent = 10;
export const maxTurnTokens = 50;

/** The whole answer to a call. */
export const expectedAnswer = ({ id, kind }: Pick<Attempt, "id" | "kind">): string =>
    kind === "turn" || kind === "visit" ?
        Array.from({ length: eventsPerTurn }, (_, event) => `id: ${event}\ndata: ${id}-${event}\n\n`).join("") :
        `answer to ${id}`;

/** What a turn adds to its conversation after its input. */
export const outputOf = (id: string): string =>
    Array.from({ length: eventsPerTurn }, (_, event) => `${id}-${event}\n`).join("");

/** Number of whole events in the part of a stream that arrived. */
const eventsIn = (body: string): number => body.split("\n\n").length - 1;

/** Collects attempts while the soak runs. */
export class SoakRecord {
    readonly attempts = new Map<string, Attempt>();
    readonly violations: Violation[] = [];
    readonly counts: Record<string, number> = {};
    private readonly budgets = new Map<string, number>();

    begin(attempt: Attempt): void {
        this.attempts.set(attempt.id, attempt);
    }

    setBudget(program: string, tokens: number): void {
        this.budgets.set(program, tokens);
    }

    count(name: string): void {
        this.counts[name] = (this.counts[name] ?? 0) + 1;
    }

    /** Records an answer, and checks that it belongs to its call. Returns whether it is whole. */
    onAnswer(attempt: Attempt): boolean {
        this.count(`${attempt.kind} ${attempt.status ?? "cut"}`);
        if (attempt.status !== 200) {
            return false;
        }
        const expected = expectedAnswer(attempt);
        if (attempt.body === expected) {
            attempt.answeredAt = performance.now();
            return attempt.ended === true;
        }
        if (attempt.framedWhole) {
            this.violations.push(`answer to ${attempt.id} looks whole but is ${JSON.stringify(attempt.body)}`);
        }
        else if (!expected.startsWith(attempt.body ?? "")) {
            this.violations.push(`answer to ${attempt.id} has bytes of another: ${JSON.stringify(attempt.body)}`);
        }
        return false;
    }

    /** Whether a turn that was answered whole can still be continued. */
    isKept(id: string | undefined): boolean {
        const attempt = this.attempts.get(id ?? "");
        const keepMs = (attempt?.kind === "visit" ? visitKeepS : turnKeepS) * 1_000;
        return attempt?.answeredAt !== undefined && performance.now() - attempt.answeredAt < keepMs;
    }

    /** Checks what the workers ran against what was sent and promised. */
    checkRuns(workers: readonly WorkerStandin[]): void {
        const runs = new Map<string, string[]>();
        for (const { ran } of workers) {
            ran.forEach(({ id, body }) => runs.set(id, [...(runs.get(id) ?? []), body]));
        }
        for (const [id, bodies] of runs) {
            this.checkRun(id, bodies);
        }
        this.checkBudgets();
    }

    private checkRun(id: string, bodies: readonly string[]): void {
        const attempt = this.attempts.get(id);
        if (attempt === undefined) {
            this.violations.push(`a worker ran ${id}, which no caller sent`);
            return;
        }
        if (attempt.isLate === true && attempt.status === undefined) {
            this.violations.push(`${id} was passed on by a front that was stopping, and got no answer`);
        }
        if (bodies.some(body => body !== attempt.expectedBody)) {
            this.violations.push(`a worker ran ${id} with another body than its conversation and input`);
        }
        if (attempt.kind !== "safe" && bodies.length > 1) {
            this.violations.push(`${id} must not be repeated and ran ${bodies.length} times`);
        }
        if (attempt.kind !== "safe" && notRunStatuses.has(attempt.status ?? 0)) {
            this.violations.push(`${id} was answered ${attempt.status}, and ran`);
        }
    }

    private checkBudgets(): void {
        const delivered = new Map<string, number>();
        for (const { program, body, status } of this.attempts.values()) {
            if (program !== undefined && status === 200) {
                const tokens = eventsIn(body ?? "") * tokensPerEvent;
                delivered.set(program, (delivered.get(program) ?? 0) + tokens);
            }
        }
        for (const [program, tokens] of delivered) {
            const budget = this.budgets.get(program) ?? Infinity;
            if (tokens > budget + maxTurnTokens) {
                this.violations.push(`program ${program} got ${tokens} tokens with a budget of ${budget}`);
            }
        }
    }
}
