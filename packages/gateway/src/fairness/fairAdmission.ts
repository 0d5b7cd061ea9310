/** Refuses calls that are not expected to get room in time, where the configuration has workspaces. */
import { ProblemError } from "@marigolddrift/common";
import type { Metrics } from "@marigolddrift/common";
import type { DispatchLease } from "@marigolddrift/dispatch";
import { admitFairly, fairRetryAfterMs } from "@marigolddrift/policy";
import type { FairDecision, FairQueue, FairRequest } from "@marigolddrift/policy";

import type { CallContext } from "../filters/callContext.js";
import type { CallAdmission } from "../limits/limitAdmission.js";
import type { QueuedCall, UpstreamPool } from "../placement.js";
import { returnKey } from "./fairness.js";
import type { Fairness } from "./fairness.js";

/** Part of its time that a call may wait even if it probably takes longer than the rest. */
const minWaitShare = 0.5;

/** An expected wait is logged up to this; without any progress it is infinite. */
const maxLoggedWaitMs = 60_000;

/** Settings and dependencies of a {@link FairAdmission}. */
export interface FairAdmissionOptions {
    readonly fairness: Fairness;
    readonly pool: Pick<UpstreamPool, "capacity" | "hasRoom">;
    readonly random: () => number;
    readonly metrics: Metrics;
}

/** Queues calls by workspace, and refuses those that would wait in vain; without workspaces, calls are passed on unchanged. */
export class FairAdmission implements CallAdmission {
    constructor(private readonly inner: CallAdmission, private readonly options: FairAdmissionOptions) {}

    /** @throws ProblemError `overloaded` if the call is not expected to get room in time, or got none. */
    async acquire(call: QueuedCall, ctx: CallContext): Promise<DispatchLease> {
        const queue = this.options.fairness.queueOf(call.model);
        if (queue === undefined) {
            return await this.inner.acquire(call, ctx);
        }
        const fair = this.options.fairness.describe(call, ctx);
        const isFirstAttempt = ctx.trace.attempts === undefined && ctx.trace.permitsRefused === undefined;
        if (isFirstAttempt) {
            this.admit(fair, ctx, queue);
        }
        const lease = await this.waitForRoom(fair, ctx, queue);
        if (fair.isReturning) {
            this.options.fairness.refused.delete(returnKey(ctx));
        }
        return lease;
    }

    private admit(call: QueuedCall, ctx: CallContext, queue: FairQueue<QueuedCall>): void {
        const { metrics } = this.options;
        if (call.isReturning) {
            metrics.count("fair.returned");
        }
        else {
            queue.countOffered(call, call.enqueuedAt);
        }
        const decision = this.decide(call, ctx, queue, call.enqueuedAt);
        if (decision.kind === "refuse") {
            metrics.count(call.isContinuation ? "fair.refused" : "fair.refusedFirst");
            throw this.refusal(call, ctx, queue, decision.waitMs, decision.reason);
        }
    }

    private decide(call: QueuedCall, ctx: CallContext, queue: FairQueue<QueuedCall>, now: number): FairDecision {
        const { pool } = this.options;
        const drainRate = queue.drainRate(call, now);
        const load = {
            hasRoom: queue.size === 0 || pool.hasRoom(call.model) && !queue.isHeldBack(call, now),
            waiting: queue.size,
            ownWaiting: queue.waitingOf(call),
            isUnderserved: queue.isUnderserved(call, now),
            costAhead: queue.costAhead(call, drainRate === undefined),
            drainRate,
            capacity: pool.capacity(call.model, call.cost),
        };
        return admitFairly(load, this.request(call, ctx));
    }

    private request(call: QueuedCall, ctx: CallContext): FairRequest {
        return {
            isContinuation: call.isContinuation,
            isReturning: call.isReturning,
            leftMs: ctx.progress.leftMs,
            expectedMs: this.options.fairness.isCostKnown(ctx) ? call.cost : undefined,
        };
    }

    /** Waits no longer than the call could still end in time. */
    private async waitForRoom(
        call: QueuedCall,
        ctx: CallContext,
        queue: FairQueue<QueuedCall>,
    ): Promise<DispatchLease> {
        if (!this.options.fairness.isCostKnown(ctx)) {
            return await this.inner.acquire(call, ctx);
        }
        const { leftMs } = ctx.progress;
        const progress = ctx.progress.child(Math.max(leftMs * minWaitShare, leftMs - call.cost));
        try {
            return await this.inner.acquire(call, { ...ctx, progress });
        }
        catch (err) {
            ctx.progress.throwIfAborted();
            if (!progress.isAborted) {
                throw err;
            }
            this.options.metrics.count("fair.expired");
            const { waitMs } = this.decide(call, ctx, queue, performance.now());
            throw this.refusal(call, ctx, queue, waitMs, "too little time is left after the wait for room");
        }
        finally {
            progress.dispose();
        }
    }

    /** The caller is remembered, so that it precedes new ones when it returns. */
    private refusal(
        call: QueuedCall,
        ctx: CallContext,
        queue: FairQueue<QueuedCall>,
        waitMs: number,
        reason: string,
    ): ProblemError {
        const now = performance.now();
        this.options.fairness.refused.set(returnKey(ctx), call.firstArrivedAt);
        ctx.trace.queuedMs = Math.round(now - call.enqueuedAt);
        ctx.trace.expectedWaitMs = Math.round(Math.min(waitMs, maxLoggedWaitMs));
        ctx.trace.waiting = queue.size;
        ctx.trace.share = Math.round(queue.servedShare(call, now) * 100) / 100;
        const retryAfterMs = fairRetryAfterMs(waitMs, this.request(call, ctx), this.options.random());
        return new ProblemError("overloaded", "notRun", `All upstreams are busy: ${reason}.`, {
            retryAfterSeconds: Math.round(retryAfterMs) / 1_000,
        });
    }
}
