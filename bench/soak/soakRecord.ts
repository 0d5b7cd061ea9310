/** What callers sent and got, and the promises that are checked as answers arrive. */
import { Disturbances } from "./disturbances.js";
import { turnKeepS, visitKeepS } from "./soakCalls.js";
import type { CallKind } from "./soakCalls.js";
import { StallWatch } from "./stallWatch.js";

/** One attempt of a caller. */
export interface Attempt {
    readonly id: string;
    readonly kind: CallKind;
    /** Body that a worker is to receive. */
    readonly expectedBody: string;
    readonly program?: string;
    /** API key that is sent; missing if none is. */
    readonly key?: string | undefined;
    /** Workspace that the key was issued to. */
    readonly workspace?: string | undefined;
    /** Whether it names a turn of another workspace as the one before, and so must not run. */
    readonly continuesForeignTurn?: boolean;
    /** Status that the caller got; undefined if the connection ended before. */
    status?: number;
    /** Whether the connection carried the answer to its end. */
    ended?: boolean;
    /** Whether the answer's framing says that it is whole. */
    framedWhole?: boolean;
    body?: string;
    /** Whether it was sent to a front that was stopping, by which each call that is passed on has to be answered. */
    readonly isLate?: boolean;
    /** Name of the front that it was sent to. */
    readonly front: string;
    /** Monotonic time at which the caller began to send it. */
    readonly startedAt: number;
    /** Time limit that the caller named. */
    readonly limitMs: number;
    /** Monotonic time at which its last byte was sent, where that is known. */
    sentAt?: number;
    /** How the connection ended before the answer was whole; missing if it didn't. */
    end?: "closed" | "reset" | "timeout";
    endedAt?: number;
    /** Monotonic time at which the answer was whole. */
    answeredAt?: number;
}

/** A broken promise, in words. */
export type Violation = string;

const eventsPerTurn = 3;

/** The whole answer to a call. */
export const expectedAnswer = ({ id, kind }: Pick<Attempt, "id" | "kind">): string =>
    kind === "turn" || kind === "visit" ?
        Array.from({ length: eventsPerTurn }, (_, event) => `id: ${event}\ndata: ${id}-${event}\n\n`).join("") :
        `answer to ${id}`;

/** What a turn adds to its conversation after its input. */
export const outputOf = (id: string): string =>
    Array.from({ length: eventsPerTurn }, (_, event) => `${id}-${event}\n`).join("");

/** Collects attempts while the soak runs. */
export class SoakRecord {
    readonly attempts = new Map<string, Attempt>();
    readonly violations: Violation[] = [];
    readonly counts: Record<string, number> = {};
    readonly budgets = new Map<string, number>();
    readonly disturbances = new Disturbances();
    readonly stalls = new StallWatch();

    begin(attempt: Attempt): void {
        this.attempts.set(attempt.id, attempt);
    }

    setBudget(program: string, tokens: number): void {
        this.budgets.set(program, tokens);
    }

    count(name: string, by = 1): void {
        this.counts[name] = (this.counts[name] ?? 0) + by;
    }

    /** Records an answer, and checks that it belongs to its call. Returns whether it is whole. */
    onAnswer(attempt: Attempt): boolean {
        this.count(`${attempt.isLate ? "late " : ""}${attempt.kind} ${attempt.status ?? "cut"}`);
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

    /** Whether a turn that was answered whole can still be continued, and for as long as is named. */
    isKept(id: string | undefined, forMs = 0): boolean {
        const attempt = this.attempts.get(id ?? "");
        const keepMs = (attempt?.kind === "visit" ? visitKeepS : turnKeepS) * 1_000;
        return attempt?.answeredAt !== undefined && performance.now() + forMs - attempt.answeredAt < keepMs;
    }
}
