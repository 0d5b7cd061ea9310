/** Refuses calls that the limits of all upstreams together leave no room for, before they wait in vain. */
import { ProblemError } from "@marigolddrift/common";
import type { Dispatcher, DispatchLease } from "@marigolddrift/dispatch";
import { maxLimitedWaitMs } from "@marigolddrift/policy";

import type { CallContext, CallDescription } from "../filters/callContext.js";
import type { QueuedCall, UpstreamPool } from "../placement.js";

/** Shortest time after which a refused caller may return. */
const minRetryAfterMs = 100;

/** Assigns calls to upstreams, or refuses them. */
export interface CallAdmission {
    acquire(call: QueuedCall, ctx: CallContext): Promise<DispatchLease>;
}

/** Assigns calls to upstreams; bounds the wait of calls whose service has upstreams that limit their requests. */
export class LimitAdmission implements CallAdmission {
    constructor(
        private readonly dispatcher: Dispatcher<QueuedCall>,
        private readonly pool: Pick<UpstreamPool, "isLimited" | "isExhausted">,
        private readonly random: () => number,
    ) {}

    /** @throws ProblemError `overloaded` if the call is not expected to be sent in time, or was not. */
    async acquire(call: QueuedCall, ctx: CallContext): Promise<DispatchLease> {
        const maxWaitMs = this.longestWaitMs(call, ctx);
        if (maxWaitMs === undefined) {
            return await this.dispatcher.acquire(call, ctx.progress);
        }
        const progress = ctx.progress.child(maxWaitMs);
        try {
            return await this.dispatcher.acquire(call, progress);
        }
        catch (err) {
            ctx.progress.throwIfAborted();
            if (!progress.isAborted) {
                throw err;
            }
            throw this.refusal(this.dispatcher.expectedWaitMs(call.model, 1));
        }
        finally {
            progress.dispose();
        }
    }

    /**
     * Returns how long a call may wait because of limits; undefined if no upstream of its service limits its requests.
     *
     * @throws ProblemError `overloaded` if it is expected to wait longer.
     */
    longestWaitMs(call: QueuedCall, ctx: CallDescription): number | undefined {
        if (!this.pool.isLimited(call.model)) {
            return undefined;
        }
        const maxWaitMs = maxLimitedWaitMs(startsProgram(ctx), ctx.progress.leftMs);
        const waitMs = this.pool.isExhausted(call.model) ? this.dispatcher.expectedWaitMs(call.model, 1) : 0;
        if (waitMs > maxWaitMs) {
            throw this.refusal(waitMs);
        }
        return maxWaitMs;
    }

    /** Callers return spread over as long again as they would have waited. */
    private refusal(waitMs: number): ProblemError {
        const retryAfterMs = Math.max(minRetryAfterMs, waitMs) * (1 + this.random());
        return new ProblemError("overloaded", "notRun", "All upstreams are at the limits of requests that they name.", {
            retryAfterSeconds: Math.round(retryAfterMs) / 1_000,
        });
    }
}

/** Whether the call is known to be the first of its program. Calls of tools and callers that send the history do not tell. */
const startsProgram = ({ head, route }: CallDescription): boolean =>
    head.prompt !== undefined && route.turnRetentionMs > 0 && head.program?.previousTurnId === undefined;
