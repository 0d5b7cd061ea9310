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
import { createTurn } from "../turns/turnRecord.js";
import type { TurnStore } from "../turns/turnStore.js";
import { attemptCall } from "../upstreams/attempt.js";
import type { AttemptResult } from "../upstreams/attempt.js";
import type { ReplyMemory } from "../upstreams/replyMemory.js";
import type { Upstream, Upstreams } from "../upstreams/upstreams.js";
import { scopedName } from "../workspaces.js";
import { outgoingBody } from "./callContext.js";
import type { CallContext } from "./callContext.js";
import { BufferedResponse, StreamedResponse } from "./responseSinks.js";

/** Number of upstreams that may refuse a call before the caller is asked to retry. */
const maxRefusals = 3;

/** Time after which a caller may retry a call that all tried upstreams refused. */
const retryAfterSeconds = 0.2;

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
    /** Upstreams that are not tried again. */
    readonly excluded: Set<string>;
    /** Number of upstreams that did not run the call. */
    refusals: number;
    /** Number of attempts in which the call may have run. */
    runs: number;
}

/** The last filter of the chain: forwards the call and retries failed attempts. */
export class ForwardFilter implements Filter<CallContext> {
    constructor(private readonly options: ForwardFilterOptions) {}

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
        const result = await this.runAttempt(ctx, tries.excluded, tries.runs > 0);
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

    private async runAttempt(
        ctx: CallContext,
        excluded: Set<string>,
        mayHaveRun: boolean,
    ): Promise<AttemptResult | NoPermit> {
        const { dispatcher } = this.options;
        const lease = await this.options.admission.acquire(createQueuedCall(ctx, excluded), ctx);
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
            this.options.blocker.check(ctx, mayHaveRun);
            return result = await this.send(ctx, lease);
        }
        finally {
            const isComplete = result?.kind === "complete";
            dispatcher.recordServiceTime(ctx.service.name, performance.now() - startedAt, isComplete);
            lease.release();
        }
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

    private async send(ctx: CallContext, lease: DispatchLease): Promise<AttemptResult> {
        const upstream = this.options.upstreams.get(lease.worker);
        if (upstream === undefined) {
            return { kind: "notRun", detail: "the upstream has just left", endedBy: "upstream", unreachable: true };
        }
        if (upstream.isLeaving) {
            const detail = "the upstream has just said that it is leaving";
            return { kind: "notRun", detail, endedBy: "upstream", unreachable: false };
        }
        const response = ctx.route.isStreaming ? new StreamedResponse(ctx.unsent) : new BufferedResponse();
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
        const { protocol, replyMemory: memory } = this.options;
        const attempt = { call, callId: ctx.id, protocol, sink: response, memory };
        const result = await attemptCall(upstream, attempt, ctx.progress);
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
            upstream.recordDuration(performance.now() - startedAt);
            this.options.blocker.onAnswered(ctx);
        }
        if (result.kind === "broken" && result.endedBy === "upstream" && !response.hasData) {
            this.options.crashes.onBroken(upstream, ctx.fingerprints());
        }
        await this.completeAttempt(ctx, response, result);
        return result;
    }

    private async completeAttempt(
        ctx: CallContext,
        response: StreamedResponse | BufferedResponse,
        result: AttemptResult,
    ): Promise<void> {
        if (response instanceof StreamedResponse) {
            ctx.trace.tokens = response.events.events * (ctx.service.engine?.tokensPerEvent ?? 1);
            ctx.trace.firstMs = Math.round((response.firstDataAt ?? ctx.arrivedAt) - ctx.arrivedAt);
        }
        if (result.kind !== "complete") {
            return;
        }
        ctx.trace.status = response.status;
        if (response instanceof BufferedResponse) {
            response.send(ctx.unsent);
            ctx.unsent.countAsReply(this.options.replyMemory);
            return;
        }
        if (response.isSuccess) {
            this.options.onPromptProcessed(ctx.trace.upstream!, ctx);
            await this.saveTurn(ctx, response);
        }
        response.end();
        ctx.unsent.countAsReply(this.options.replyMemory);
    }

    /** Saves the turn before the response ends, because the end tells the caller that the turn can be continued. */
    private async saveTurn(ctx: CallContext, response: StreamedResponse): Promise<void> {
        const { route, conversation } = ctx;
        const { program } = ctx.head;
        if (route.turnRetentionMs === 0 || program === undefined) {
            return;
        }
        const startedAt = performance.now();
        const keepMs = route.turnRetentionMs;
        const content = {
            id: scopedName(ctx.workspace, ctx.id),
            input: ctx.body,
            output: response.events.output(),
            keepMs,
        };
        const turn = createTurn(content, conversation, Date.now());
        await this.options.turns.save({ turn, program: scopedName(ctx.workspace, program.id), keepMs }, ctx.progress);
        ctx.trace.savedMs = Math.round(performance.now() - startedAt);
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
