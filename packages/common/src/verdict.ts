/** Errors that state whether the failed request may have been executed, and so whether it can be retried. */
import VError from "verror";
import { z } from "zod";

/**
 * What is known about the execution of a request that failed.
 *
 * - `notRun`: it was not executed; a retry is safe.
 * - `mayHaveRun`: it may have been executed; only an idempotent request may be retried.
 * - `ran`: it was executed, and its outcome is known.
 */
export const verdictSchema = z.enum(["notRun", "mayHaveRun", "ran"]);
export type Verdict = z.infer<typeof verdictSchema>;

/** An RFC 9457 problem document, extended by the verdict on the failed request. */
export const problemSchema = z.object({
    type: z.string(),
    title: z.string(),
    status: z.number().int(),
    code: z.string(),
    verdict: verdictSchema,
    detail: z.string(),
    cure: z.string(),
    retryAfterSeconds: z.number().optional(),
});
export type Problem = z.infer<typeof problemSchema>;

/** HTTP status and suggested remedy of each error code. */
const problemTypes = {
    malformed_json: [400, "Send a JSON object that matches the interface description."],
    invalid_request: [400, "Correct the field that the detail names."],
    unauthorized: [401, "Send the workspace's key as a bearer token."],
    forbidden: [403, "Use the key of the workspace that owns the program."],
    unknown_program: [404, "Open a program first; ids are case-sensitive."],
    unknown_service: [404, "Use a service that the bundle defines."],
    unknown_turn: [404, "Start the conversation again; the turn does not exist or is no longer kept."],
    unknown_route: [404, "Use a host and path that the configuration names."],
    not_found: [404, "Check the path against the interface description."],
    history_mismatch: [409, "Send the history of this program, unchanged, followed by what is new."],
    send_in_full: [409, "Send the whole history; no prefix is held for the digest."],
    call_superseded: [409, "A later call of this program already ran; continue from the newest one."],
    idempotency_conflict: [409, "Use a new Idempotency-Key for a different request."],
    already_ran: [409, "Do not send it again; the call ran, and its answer is too large to be kept."],
    outcome_unknown: [409, "Check with the service before you repeat it under another key."],
    program_ended: [410, "Open a new program."],
    body_too_large: [413, "Send a smaller body, or only what is new with Program-Extends."],
    budget_exhausted: [402, "Open a new program with a larger budget."],
    loop_detected: [422, "The program repeats itself; change its input or end it."],
    turn_limit: [422, "Open a new program; this one made as many calls as its agent allows."],
    idempotency_key_required: [428, "Send an Idempotency-Key with a call that must not be repeated."],
    overloaded: [429, "Wait for Retry-After and send it again."],
    quota_exceeded: [429, "Wait for Retry-After and send it again; the workspace is over its quota."],
    headers_too_large: [431, "Send fewer or shorter headers."],
    caller_gone: [499, "The connection closed before the answer was complete."],
    internal: [500, "Report it with the log lines of this request."],
    upstream_failed: [502, "Send an idempotent request again; check others with the service."],
    call_blocked: [502, "Do not send it again unchanged: upstreams end when they begin to run it."],
    not_configured: [503, "Wait for Retry-After; this instance has no configuration yet."],
    input_refused: [
        503,
        "Wait for Retry-After and send it again; callers send more than this instance has memory for.",
    ],
    conversation_too_large: [
        503,
        "Open a new program; no instance has the memory for a longer conversation of this one.",
    ],
    prompt_too_large: [503, "Send a shorter prompt; no engine of the service has the memory for it."],
    no_upstream: [503, "Wait for Retry-After and send it again."],
    beginning_unknown: [503, "Begin the stream anew, unless there is a Retry-After: what you have of it is not known."],
    build_unknown: [503, "Begin the stream anew, unless there is a Retry-After: which build began it is not known."],
    build_gone: [503, "Begin the stream anew: no upstream of the build that began it is left."],
    not_durable: [503, "The platform's store is away; wait for Retry-After and send it again."],
    owner_unreachable: [503, "Wait for Retry-After and send it again."],
    draining: [503, "Send it to another instance."],
    ledger_full: [503, "Wait until earlier calls that must not be repeated leave the retention window."],
    deadline_exceeded: [504, "Allow more time, or send it again when the load is lower."],
} as const satisfies Record<string, readonly [number, string]>;

export type ProblemCode = keyof typeof problemTypes;

/** Options of a {@link ProblemError}. */
export interface ProblemOptions {
    readonly cause?: Error;
    readonly retryAfterSeconds?: number;
}

/**
 * An error with a code, an HTTP status and a verdict.
 *
 * @example
 * throw new ProblemError("no_upstream", "notRun", `No engine serves model "${model}".`);
 */
export class ProblemError extends VError {
    readonly code: ProblemCode;
    readonly verdict: Verdict;
    readonly retryAfterSeconds: number | undefined;

    constructor(code: ProblemCode, verdict: Verdict, detail: string, options: ProblemOptions = {}) {
        super({ name: "ProblemError", ...(options.cause ? { cause: options.cause } : {}) }, "%s", detail);
        this.code = code;
        this.verdict = verdict;
        this.retryAfterSeconds = options.retryAfterSeconds;
    }

    /** HTTP status of the error code. */
    get status(): number {
        return problemTypes[this.code][0];
    }

    /** Converts the error to a problem document. */
    toProblem(): Problem {
        return {
            type: `urn:marigolddrift:problem:${this.code}`,
            title: this.code.replaceAll("_", " "),
            status: this.status,
            code: this.code,
            verdict: this.verdict,
            detail: this.message,
            cure: problemTypes[this.code][1],
            ...(this.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: this.retryAfterSeconds }),
        };
    }

    /** Restores the error from a problem document; an unknown code becomes `internal`. */
    static fromProblem(problem: Problem): ProblemError {
        const code = problem.code in problemTypes ? problem.code as ProblemCode : "internal";
        const options = problem.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: problem.retryAfterSeconds };
        return new ProblemError(code, problem.verdict, problem.detail, options);
    }
}

/** Converts a thrown value to a {@link ProblemError}; other errors become `internal` with the given verdict. */
export const toProblemError = (err: unknown, verdict: Verdict): ProblemError => {
    if (err instanceof ProblemError) {
        return err;
    }
    const cause = asError(err);
    return new ProblemError("internal", verdict, cause.message, { cause });
};

/** Returns a thrown value as an Error, wrapping it if it is not one. */
export const asError = (err: unknown): Error => err instanceof Error ? err : new Error(String(err));
