/**
 * Forwards a call to an upstream and the response to the caller; retries a call only if it did not run or may run more
 * than once.
 */
import type { Filter, Logger } from "@marigolddrift/common";
import type { Dispatcher } from "@marigolddrift/dispatch";

import type { CallAdmission } from "../limits/limitAdmission.js";
import type { QueuedCall } from "../placement.js";
import { createQueuedCall } from "../placement.js";
import type { TurnStore } from "../turns/turnStore.js";
import { AnswerWriter } from "./answerWriter.js";
import type { CallContext } from "./callContext.js";
import { raceCopies, singleLane } from "./hedge.js";
import type { AttemptOutcome, Lane } from "./hedge.js";
import type { Hedger } from "./hedger.js";
import { Tries } from "./tries.js";
import { retryPauseMs, UpstreamLeases } from "./upstreamLeases.js";
import type { PermittedLease } from "./upstreamLeases.js";
import { UpstreamSender } from "./upstreamSender.js";
import type { UpstreamSenderOptions } from "./upstreamSender.js";

/** Settings and dependencies of a {@link ForwardFilter}. */
export interface ForwardFilterOptions extends UpstreamSenderOptions {
    readonly dispatcher: Dispatcher<QueuedCall>;
    readonly admission: CallAdmission;
    readonly turns: TurnStore;
    /** Undefined if no second copies of calls are sent. */
    readonly hedger: Hedger | undefined;
    /** Called when an upstream has processed the prompt of a call, so that the prompt is now in its cache. */
    readonly onPromptProcessed: (upstream: string, ctx: CallContext) => void;
    readonly log: Logger;
}

/** The last filter of the chain: forwards the call and retries failed attempts. */
export class ForwardFilter implements Filter<CallContext> {
    private readonly answers: AnswerWriter;
    private readonly leases: UpstreamLeases;
    private readonly sender: UpstreamSender;

    constructor(private readonly options: ForwardFilterOptions) {
        this.answers = new AnswerWriter(options.turns, options.replyMemory, options.onPromptProcessed);
        this.leases = new UpstreamLeases(options);
        this.sender = new UpstreamSender(options);
    }

    async handle(ctx: CallContext): Promise<void> {
        const tries = new Tries();
        await admitUnderQuota(ctx);
        try {
            while (!await this.tryOnce(ctx, tries)) {
                // The attempt failed in a way that allows another one.
            }
        }
        catch (err) {
            throw tries.verdictOn(err);
        }
    }

    /** Resolves to whether the call is complete. */
    private async tryOnce(ctx: CallContext, tries: Tries): Promise<boolean> {
        const outcomes = await this.runAttempt(ctx, tries);
        if (outcomes === undefined) {
            await ctx.progress.sleep(retryPauseMs);
            return false;
        }
        const complete = outcomes.find(({ result }) => result.kind === "complete");
        this.answers.trace(ctx, complete ?? outcomes.at(-1));
        if (complete !== undefined) {
            await this.answers.complete(ctx, complete.response!);
            return true;
        }
        for (const { worker, result } of outcomes) {
            this.options.log.info("attempt failed", { request: ctx.id, upstream: worker, ...result });
        }
        tries.onFailed(ctx, outcomes.map(({ result }) => result));
        return false;
    }

    /**
     * Resolves to the ended attempts, which are none if the chosen upstream is at its limit; to undefined if there is no upstream now, but
     * may be one before the deadline.
     */
    private async runAttempt(ctx: CallContext, tries: Tries): Promise<readonly AttemptOutcome[] | undefined> {
        const { hedger } = this.options;
        const queued = createQueuedCall(ctx, tries.excluded);
        const lease = await this.leases.acquire(ctx, queued, tries);
        if (lease === undefined) {
            return undefined;
        }
        const permit = await this.leases.takePermits(ctx, lease);
        if (permit === undefined) {
            return [];
        }
        return hedger?.mayHedge(ctx, tries.runs) === true ?
            await this.runWithCopy(ctx, queued, { lease, permit }, tries, hedger) :
            [await this.sendLeased(ctx, queued, { lease, permit }, tries, singleLane(ctx.progress))];
    }

    /** Sends the call, and a second copy of it if it is late. */
    private async runWithCopy(
        ctx: CallContext,
        queued: QueuedCall,
        permitted: PermittedLease,
        tries: Tries,
        hedger: Hedger,
    ): Promise<readonly AttemptOutcome[]> {
        const isFirstAttempt = tries.runs === 0 && tries.refusals === 0;
        const { leftMs } = ctx.progress;
        const lateAfterMs = hedger.onCall(queued.kind, isFirstAttempt) ?? leftMs;
        const { outcomes, copy, copyWon } = await raceCopies({
            progress: ctx.progress,
            delayMs: Math.min(lateAfterMs, leftMs),
            first: lane => this.sendLeased(ctx, queued, permitted, tries, lane),
            reserveCopy: async () => {
                if (lateAfterMs >= leftMs) {
                    return undefined;
                }
                const copy = await hedger.reserve(
                    queued,
                    ctx.progress,
                    reserved => this.leases.takePermits(ctx, reserved),
                );
                return copy && {
                    worker: copy.lease.worker,
                    run: lane => this.sendLeased(ctx, queued, copy, tries, lane, true),
                    release: () => {
                        copy.permit.refund();
                        copy.lease.release();
                    },
                };
            },
            onFirstByteTime: ms => hedger.recordFirstByte(queued.kind, ms),
        });
        if (copy !== undefined) {
            ctx.trace.hedged = copy;
        }
        if (copyWon) {
            hedger.onWon();
        }
        return outcomes;
    }

    /** Sends the call to the upstream of a lease. All sends, also of second copies, pass through here. */
    private async sendLeased(
        ctx: CallContext,
        queued: QueuedCall,
        { lease, permit }: PermittedLease,
        tries: Tries,
        lane: Lane,
        isCopy = false,
    ): Promise<AttemptOutcome> {
        const { dispatcher } = this.options;
        tries.excluded.add(lease.worker);
        const startedAt = performance.now();
        const previousAttempts = ctx.trace.attempts ?? 0;
        const queuedMs = Math.round(startedAt - ctx.arrivedAt);
        let outcome: AttemptOutcome | undefined;
        Object.assign(ctx.trace, { upstream: lease.worker, attempts: previousAttempts + 1, sentMs: queuedMs });
        try {
            ctx.checkCaller();
            // While the call waited, others like it may have ended their upstreams.
            this.options.blocker.check(ctx, isCopy || tries.mayHaveRun);
            return outcome = await this.sender.send(ctx, queued, lease, lane);
        }
        finally {
            if (outcome === undefined || outcome.result.kind === "notRun") {
                permit.refund();
            }
            const isComplete = outcome?.result.kind === "complete";
            this.options.fairness.onAttemptEnded(ctx, performance.now() - startedAt, isComplete);
            dispatcher.recordServiceTime(ctx.service.name, performance.now() - startedAt, isComplete);
            lease.release();
        }
    }
}

/** Refuses a call that the quota of its workspace has no room for before it waits for an upstream. */
const admitUnderQuota = async (ctx: CallContext): Promise<void> => {
    if (ctx.permit !== undefined) {
        const startedAt = performance.now();
        await ctx.permit.admitted(ctx.progress);
        ctx.trace.quotaMs = Math.round(performance.now() - startedAt);
    }
};
