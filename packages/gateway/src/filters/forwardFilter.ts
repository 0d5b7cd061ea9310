/**
 * Forwards a call to an upstream and the response to the caller; retries a call only if it did not run or may run more
 * than once.
 */
import { ProblemError } from "@marigolddrift/common";
import type { Filter, Logger } from "@marigolddrift/common";
import type { Dispatcher, DispatchLease } from "@marigolddrift/dispatch";

import type { CallBlocker } from "../crashes/callBlocker.js";
import type { CrashDetector } from "../crashes/crashDetector.js";
import type { LimitAdmission } from "../limits/limitAdmission.js";
import type { UpstreamLimits } from "../limits/upstreamLimits.js";
import type { QueuedCall } from "../placement.js";
import { createQueuedCall } from "../placement.js";
import type { CallProtocol } from "../protocol.js";
import type { Exchange } from "../trafficMeter.js";
import type { TurnStore } from "../turns/turnStore.js";
import type { AffinityTable } from "../upstreams/affinityTable.js";
import { attemptCall } from "../upstreams/attempt.js";
import type { AttemptResult } from "../upstreams/attempt.js";
import type { ReplyMemory } from "../upstreams/replyMemory.js";
import type { UpstreamObserver } from "../upstreams/upstreamObserver.js";
import type { Upstream, Upstreams } from "../upstreams/upstreams.js";
import { AnswerWriter, streamedTokens } from "./answerWriter.js";
import { outgoingBody } from "./callContext.js";
import type { CallContext } from "./callContext.js";
import { BufferedResponse, StreamedResponse } from "./responseSinks.js";

/** Number of upstreams that may refuse a call before the caller is asked to retry. */
const maxRefusals = 3;

/** Time after which a caller may retry a call that all tried upstreams refused. */
const retryAfterSeconds = 0.2;

/** Pause before a call is sent again to an upstream that has refused or broken it, or before upstreams are looked for again. */
const retryPauseMs = 50;

/** Settings and dependencies of a {@link ForwardFilter}. */
export interface ForwardFilterOptions {
    readonly dispatcher: Dispatcher<QueuedCall>;
    readonly upstreams: Upstreams;
    readonly limits: UpstreamLimits;
    readonly admission: LimitAdmission;
    readonly crashes: CrashDetector;
    readonly blocker: CallBlocker;
    readonly protocol: CallProtocol;
    readonly turns: TurnStore;
    readonly replyMemory: ReplyMemory;
    readonly observer: UpstreamObserver;
    readonly affinity: AffinityTable;
    /** Called when an upstream has processed the prompt of a call, so that the prompt is now in its cache. */
    readonly recordTraffic: (upstream: Upstream, exchange: Omit<Exchange, "link">) => void;
    readonly onPromptProcessed: (upstream: string, ctx: CallContext) => void;
    readonly log: Logger;
}

/** The chosen upstream is at its limit; nothing was sent. */
interface NoPermit {
    readonly kind: "noPermit";
}

/** What the attempts at a call have shown so far. */
interface Tries {
    /** Upstreams that refused or broke the call; not tried again unless no other is left. */
    readonly excluded: Set<string>;
    /** Number of upstreams that did not run the call. */
    refusals: number;
    /** Number of attempts in which the call may have run. */
    runs: number;
}

/** The last filter of the chain: forwards the call and retries failed attempts. */
export class ForwardFilter implements Filter<CallContext> {
    private readonly answers: AnswerWriter;

    constructor(private readonly options: ForwardFilterOptions) {
        this.answers = new AnswerWriter(options.turns, options.onPromptProcessed);
    }

    async handle(ctx: CallContext): Promise<void> {
        const tries: Tries = { excluded: new Set(), refusals: 0, runs: 0 };
        try {
            while (!await this.tryOnce(ctx, tries)) {
                // The attempt failed in a way that allows another one.
            }
        }
        catch (err) {
            throw tries.runs > 0 ? asMayHaveRun(err) : err;
        }
    }

    /** Resolves to whether the call is complete. */
    private async tryOnce(ctx: CallContext, tries: Tries): Promise<boolean> {
        const result = await this.runAttempt(ctx, tries);
        if (result === undefined) {
            await ctx.progress.sleep(retryPauseMs);
            return false;
        }
        if (result.kind === "complete" || result.kind === "noPermit") {
            return result.kind === "complete";
        }
        this.options.log.info("attempt failed", { request: ctx.id, upstream: ctx.trace.upstream, ...result });
        if (result.kind === "notRun") {
            tries.refusals += 1;
            this.checkRefusals(ctx, tries.refusals, result.detail);
        }
        else {
            tries.runs += 1;
            this.checkRuns(ctx, tries.runs, result.detail);
        }
        return false;
    }

    /** Resolves to undefined if there is no upstream now, but may be one before the deadline. */
    private async runAttempt(ctx: CallContext, tries: Tries): Promise<AttemptResult | NoPermit | undefined> {
        const { dispatcher } = this.options;
        const { excluded } = tries;
        const queued = createQueuedCall(ctx, excluded);
        const lease = await this.acquire(ctx, queued, tries);
        if (lease === undefined) {
            return undefined;
        }
        if (!await this.takePermit(ctx, lease)) {
            return { kind: "noPermit" };
        }
        excluded.add(lease.worker);
        const startedAt = performance.now();
        const previousAttempts = ctx.trace.attempts ?? 0;
        const queuedMs = Math.round(startedAt - ctx.arrivedAt);
        let result: AttemptResult | undefined;
        Object.assign(ctx.trace, { upstream: lease.worker, attempts: previousAttempts + 1, sentMs: queuedMs });
        try {
            ctx.checkCaller();
            // While the call waited, others like it may have ended their upstreams.
            this.options.blocker.check(ctx, tries.runs > 0);
            return result = await this.send(ctx, queued, lease);
        }
        finally {
            const isComplete = result?.kind === "complete";
            dispatcher.recordServiceTime(ctx.service.name, performance.now() - startedAt, isComplete);
            lease.release();
        }
    }

    /**
     * Waits for an upstream. A call that may have run can't be answered as refused, so that it waits for its deadline rather than
     * fail because no upstream is left at the moment.
     */
    private async acquire(ctx: CallContext, queued: QueuedCall, tries: Tries): Promise<DispatchLease | undefined> {
        let lease: DispatchLease;
        try {
            lease = await this.options.admission.acquire(queued, ctx);
        }
        catch (err) {
            if (tries.runs > 0 && isTemporaryRefusal(err) && ctx.progress.leftMs > retryPauseMs) {
                return undefined;
            }
            throw err;
        }
        if (tries.excluded.has(lease.worker)) {
            try {
                await ctx.progress.sleep(retryPauseMs);
            }
            catch (err) {
                lease.release();
                throw err;
            }
        }
        return lease;
    }

    /** Takes the permit for an upstream that limits its requests; releases the upstream if there is none now. */
    private async takePermit(ctx: CallContext, lease: DispatchLease): Promise<boolean> {
        const upstream = this.options.upstreams.get(lease.worker);
        let permitted = false;
        try {
            permitted = upstream === undefined || await this.options.limits.permit(upstream, ctx.progress);
        }
        finally {
            if (!permitted) {
                ctx.trace.permitsRefused = (ctx.trace.permitsRefused ?? 0) + 1;
                lease.release();
            }
        }
        return permitted;
    }

    private async send(ctx: CallContext, queued: QueuedCall, lease: DispatchLease): Promise<AttemptResult> {
        const upstream = this.options.upstreams.get(lease.worker);
        if (upstream === undefined) {
            return { kind: "notRun", detail: "the upstream has just left", endedBy: "upstream", unreachable: true };
        }
        if (upstream.isLeaving) {
            const detail = "the upstream has just said that it is leaving";
            return { kind: "notRun", detail, endedBy: "upstream", unreachable: false };
        }
        const response = ctx.route.isStreaming ? new StreamedResponse(ctx.res) : new BufferedResponse();
        const { prompt } = ctx.head;
        const headers = this.options.protocol.buildUpstreamHeaders(ctx.req.rawHeaders, {
            upstream: upstream.entry.id,
            leftMs: Math.floor(ctx.progress.leftMs),
            caller: ctx.caller,
            enginePriority: prompt === undefined ? undefined : enginePriority(ctx),
        });
        const body = outgoingBody(ctx);
        const hasBody = body.length > 0 || ctx.req.headers["content-length"] !== undefined;
        const call = { method: ctx.req.method!, path: ctx.req.url!, headers, body: hasBody ? body : undefined };
        const startedAt = performance.now();
        response.onLimit = perSecond => this.options.limits.onAnswer(upstream, perSecond, startedAt);
        response.onLeaving = () => this.options.upstreams.onLeaving(upstream);
        const { protocol, replyMemory: memory, observer } = this.options;
        const observation = observer.begin(upstream, { ...queued, score: lease.score });
        response.onFirstByte = observation.onFirstByte;
        const attempt = { call, callId: ctx.id, protocol, sink: response, memory };
        const result = await attemptCall(upstream, attempt, ctx.progress);
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
        if (response instanceof StreamedResponse) {
            ctx.trace.tokens = tokens!;
            ctx.trace.firstMs = Math.round((response.firstDataAt ?? ctx.arrivedAt) - ctx.arrivedAt);
        }
        if (result.kind === "complete") {
            await this.answers.complete(ctx, response);
        }
        return result;
    }

    private checkRefusals(ctx: CallContext, refusals: number, detail: string): void {
        ctx.progress.throwIfAborted();
        if (refusals >= maxRefusals) {
            throw new ProblemError("no_upstream", "notRun", `No upstream took the call: ${detail}.`, {
                retryAfterSeconds,
            });
        }
    }

    private checkRuns(ctx: CallContext, runs: number, detail: string): void {
        const mayRepeat = ctx.route.idempotent && runs < ctx.route.maxUpstreams && !ctx.res.headersSent;
        if (!mayRepeat || ctx.progress.signal.aborted) {
            throw new ProblemError("upstream_failed", "mayHaveRun", `The upstream did not answer whole: ${detail}.`);
        }
    }
}

/** Whether an upstream may be found for the call a little later. */
const isTemporaryRefusal = (err: unknown): boolean =>
    err instanceof ProblemError && (err.code === "no_upstream" || err.code === "overloaded");

/** A later attempt that was refused does not undo that an earlier one may have run. */
const asMayHaveRun = (err: unknown): unknown =>
    err instanceof ProblemError && err.verdict === "notRun" ?
        new ProblemError("upstream_failed", "mayHaveRun", err.message, { cause: err }) :
        err;

/**
 * Priority for the engine: by the priority of the workspace or route first; at the same priority, programs that are already running
 * precede new ones.
 */
const enginePriority = (ctx: CallContext): number => {
    const isRunning = ctx.head.program?.previousTurnId !== undefined;
    return Math.min(9, 2 * ctx.priority + (isRunning ? 2 : 3));
};
