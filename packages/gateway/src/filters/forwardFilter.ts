/**
 * Forwards a call to an upstream and the response to the caller; retries a call only if it did not run or may run more
 * than once.
 */
import type { Filter, Logger } from "@marigolddrift/common";
import type { Dispatcher, DispatchLease } from "@marigolddrift/dispatch";

import type { Builds } from "../builds/builds.js";
import type { CallBlocker } from "../crashes/callBlocker.js";
import type { CrashDetector } from "../crashes/crashDetector.js";
import type { Fairness } from "../fairness/fairness.js";
import type { CallAdmission } from "../limits/limitAdmission.js";
import type { UpstreamLimits } from "../limits/upstreamLimits.js";
import type { QueuedCall } from "../placement.js";
import { createQueuedCall } from "../placement.js";
import type { CallProtocol } from "../protocol.js";
import { isResumable } from "../routes.js";
import type { Exchange } from "../trafficMeter.js";
import type { TurnStore } from "../turns/turnStore.js";
import type { AffinityTable } from "../upstreams/affinityTable.js";
import { attemptCall } from "../upstreams/attempt.js";
import type { ReplyMemory } from "../upstreams/replyMemory.js";
import type { UpstreamObserver } from "../upstreams/upstreamObserver.js";
import type { Upstream, Upstreams } from "../upstreams/upstreams.js";
import { scopedName } from "../workspaces.js";
import { AnswerWriter, streamedTokens } from "./answerWriter.js";
import { outgoingBody } from "./callContext.js";
import type { CallContext } from "./callContext.js";
import { raceCopies, singleLane } from "./hedge.js";
import type { AttemptOutcome, Lane } from "./hedge.js";
import type { Hedger } from "./hedger.js";
import { BufferedResponse, StreamedResponse } from "./responseSinks.js";
import { Tries } from "./tries.js";
import { retryPauseMs, UpstreamLeases } from "./upstreamLeases.js";
import type { PermittedLease } from "./upstreamLeases.js";

/** Settings and dependencies of a {@link ForwardFilter}. */
export interface ForwardFilterOptions {
    readonly dispatcher: Dispatcher<QueuedCall>;
    readonly upstreams: Upstreams;
    readonly limits: UpstreamLimits;
    readonly admission: CallAdmission;
    readonly fairness: Fairness;
    readonly crashes: CrashDetector;
    readonly blocker: CallBlocker;
    readonly protocol: CallProtocol;
    readonly turns: TurnStore;
    readonly replyMemory: ReplyMemory;
    readonly observer: UpstreamObserver;
    readonly builds: Pick<Builds, "onStreamBegun">;
    readonly affinity: AffinityTable;
    /** Undefined if no second copies of calls are sent. */
    readonly hedger: Hedger | undefined;
    /** Called when an upstream has processed the prompt of a call, so that the prompt is now in its cache. */
    readonly recordTraffic: (upstream: Upstream, exchange: Omit<Exchange, "link">) => void;
    readonly onPromptProcessed: (upstream: string, ctx: CallContext) => void;
    readonly log: Logger;
}

/** The last filter of the chain: forwards the call and retries failed attempts. */
export class ForwardFilter implements Filter<CallContext> {
    private readonly answers: AnswerWriter;
    private readonly leases: UpstreamLeases;

    constructor(private readonly options: ForwardFilterOptions) {
        this.answers = new AnswerWriter(options.turns, options.replyMemory, options.onPromptProcessed);
        this.leases = new UpstreamLeases(options);
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
            return outcome = await this.send(ctx, queued, lease, lane);
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

    /** Sends the call to the upstream of a lease. All sends, also of second copies, pass through here. */
    private async send(
        ctx: CallContext,
        queued: QueuedCall,
        lease: DispatchLease,
        lane: Lane,
    ): Promise<AttemptOutcome> {
        const { worker } = lease;
        const upstream = this.options.upstreams.get(worker);
        // The process that the call was placed at may have been replaced meanwhile, under its id and with another build.
        const isReplaced = upstream !== undefined && ctx.candidates?.accepts(upstream.entry) === false;
        if (upstream === undefined || upstream.isLeaving || isReplaced) {
            const change = upstream === undefined ? "left" : isReplaced ? "been replaced" : "said that it is leaving";
            const detail = `the upstream has just ${change}`;
            const unreachable = upstream === undefined;
            return {
                worker,
                result: { kind: "notRun", detail, endedBy: "upstream", unreachable },
                response: undefined,
            };
        }
        ctx.trace.build = upstream.entry.build;
        const response = createResponse(ctx, lane);
        const { prompt } = ctx.head;
        const headers = this.options.protocol.buildUpstreamHeaders(ctx.req.rawHeaders, {
            upstream: upstream.entry.id,
            leftMs: Math.floor(ctx.progress.leftMs),
            caller: ctx.caller,
            enginePriority: prompt === undefined ? undefined : this.options.fairness.urgencyOf(ctx),
        });
        const body = outgoingBody(ctx);
        const hasBody = body.length > 0 || ctx.req.headers["content-length"] !== undefined;
        const call = { method: ctx.req.method!, path: ctx.req.url!, headers, body: hasBody ? body : undefined };
        const startedAt = performance.now();
        response.onLimit = perSecond => this.options.limits.onAnswer(upstream, perSecond, startedAt);
        if (response instanceof StreamedResponse && isResumable(ctx.route)) {
            const streamId = scopedName(ctx.workspace, ctx.id);
            response.onBegun = () =>
                this.options.builds.onStreamBegun(streamId, ctx.streamRoute ?? ctx.route, upstream);
        }
        response.onLeaving = () => this.options.upstreams.onLeaving(upstream);
        const { protocol, replyMemory: memory, observer } = this.options;
        const observation = observer.begin(upstream, { ...queued, score: lease.score });
        response.onFirstByte = () => {
            observation.onFirstByte();
            lane.onFirstByte();
        };
        const attempt = { call, callId: ctx.id, protocol, sink: response, memory };
        const result = await attemptCall(upstream, attempt, lane.progress);
        const tokens = response instanceof StreamedResponse ? streamedTokens(ctx, response) : undefined;
        observation.onEnd({ result, status: response.status, tokens });
        this.options.recordTraffic(upstream, {
            kind: "call",
            sentBytes: body.length,
            receivedBytes: response.receivedBytes,
            ms: result.kind === "complete" ? performance.now() - startedAt : undefined,
        });
        if (result.kind === "notRun" && result.unreachable) {
            upstream.eject();
        }
        if (result.kind === "complete") {
            this.options.blocker.onAnswered(ctx);
            if (queued.affinityKey !== undefined && response.status! < 500) {
                this.options.affinity.onServed(queued.affinityKey, lease.worker);
            }
        }
        if (result.kind === "broken" && result.endedBy === "upstream" && !response.hasData) {
            this.options.crashes.onBroken(upstream, ctx.fingerprints());
        }
        return { worker, result, response };
    }
}

const createResponse = (ctx: CallContext, lane: Lane): StreamedResponse | BufferedResponse => {
    if (!ctx.route.isStreaming) {
        return new BufferedResponse();
    }
    const response = new StreamedResponse(ctx.unsent);
    response.isRaced = lane.isRaced;
    response.claim = lane.claim;
    return response;
};

/** Refuses a call that the quota of its workspace has no room for before it waits for an upstream. */
const admitUnderQuota = async (ctx: CallContext): Promise<void> => {
    if (ctx.permit !== undefined) {
        const startedAt = performance.now();
        await ctx.permit.admitted(ctx.progress);
        ctx.trace.quotaMs = Math.round(performance.now() - startedAt);
    }
};
