/** What the attempts at a call have shown so far, and whether another one is allowed. */
import { ProblemError } from "@marigolddrift/common";

import type { AttemptResult } from "../upstreams/attempt.js";
import type { CallContext } from "./callContext.js";

/** Number of upstreams that may refuse a call before the caller is asked to retry. */
const maxRefusals = 3;

/** Time after which a caller may retry a call that all tried upstreams refused. */
const retryAfterSeconds = 0.2;

/** The attempts at one call. */
export class Tries {
    /** Upstreams that refused or broke the call, or run it now; not tried again unless no other is left. */
    readonly excluded = new Set<string>();
    /** Number of upstreams that did not run the call. */
    refusals = 0;
    /** Number of attempts in which the call may have run. */
    runs = 0;

    get mayHaveRun(): boolean {
        return this.runs > 0;
    }

    /**
     * Counts failed attempts.
     *
     * @throws ProblemError if no other attempt is allowed.
     */
    onFailed(ctx: CallContext, results: readonly AttemptResult[]): void {
        // All are counted before one of them ends the call: it has not run only if none of its copies may have.
        for (const { kind } of results) {
            this.refusals += kind === "notRun" ? 1 : 0;
            this.runs += kind === "broken" ? 1 : 0;
        }
        for (const result of results) {
            if (result.kind === "notRun") {
                this.checkRefusals(ctx, result.detail);
            }
            else if (result.kind === "broken") {
                this.checkRuns(ctx, result.detail);
            }
        }
    }

    /** A later attempt that was refused does not undo that an earlier one may have run. */
    verdictOn(err: unknown): unknown {
        return this.mayHaveRun && err instanceof ProblemError && err.verdict === "notRun" ?
            new ProblemError("upstream_failed", "mayHaveRun", err.message, { cause: err }) :
            err;
    }

    private checkRefusals(ctx: CallContext, detail: string): void {
        ctx.progress.throwIfAborted();
        if (this.refusals >= maxRefusals) {
            throw new ProblemError("no_upstream", "notRun", `No upstream took the call: ${detail}.`, {
                retryAfterSeconds,
            });
        }
    }

    private checkRuns(ctx: CallContext, detail: string): void {
        const mayRepeat = ctx.route.idempotent && this.runs < ctx.route.maxUpstreams && !ctx.res.headersSent;
        if (!mayRepeat || ctx.progress.isAborted) {
            throw new ProblemError("upstream_failed", "mayHaveRun", `The upstream did not answer whole: ${detail}.`);
        }
    }
}
