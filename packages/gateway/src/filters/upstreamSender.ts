/** Sends calls to upstreams, and reports what comes of each one to the components that observe upstreams. */
import type { DispatchLease } from "@marigolddrift/dispatch";

import type { BeginningRecorder } from "../beginnings/beginningRecorder.js";
import type { Beginnings } from "../beginnings/beginnings.js";
import type { Builds } from "../builds/builds.js";
import type { CallBlocker } from "../crashes/callBlocker.js";
import type { CrashDetector } from "../crashes/crashDetector.js";
import type { Fairness } from "../fairness/fairness.js";
import type { UpstreamLimits } from "../limits/upstreamLimits.js";
import type { QueuedCall } from "../placement.js";
import type { CallProtocol } from "../protocol.js";
import { isResumable } from "../routes.js";
import type { Exchange } from "../trafficMeter.js";
import { needsHistory } from "../turns/turnRecord.js";
import type { AffinityTable } from "../upstreams/affinityTable.js";
import { attemptCall } from "../upstreams/attempt.js";
import { OutputCollector } from "../upstreams/outputCollector.js";
import type { ReplyMemory } from "../upstreams/replyMemory.js";
import type { UpstreamObserver } from "../upstreams/upstreamObserver.js";
import type { Upstream, Upstreams } from "../upstreams/upstreams.js";
import { scopedName } from "../workspaces.js";
import { streamedTokens } from "./answerWriter.js";
import { keepsTurn, outgoingBody } from "./callContext.js";
import type { CallContext } from "./callContext.js";
import type { AttemptOutcome, Lane } from "./hedge.js";
import { BufferedResponse, StreamedResponse } from "./responseSinks.js";

/** Dependencies of an {@link UpstreamSender}. */
export interface UpstreamSenderOptions {
    readonly upstreams: Upstreams;
    readonly limits: UpstreamLimits;
    readonly fairness: Fairness;
    readonly crashes: CrashDetector;
    readonly blocker: CallBlocker;
    readonly protocol: CallProtocol;
    readonly replyMemory: ReplyMemory;
    readonly observer: UpstreamObserver;
    readonly builds: Pick<Builds, "onStreamBegun">;
    readonly beginnings: Pick<Beginnings, "recorderOf">;
    readonly affinity: AffinityTable;
    readonly recordTraffic: (upstream: Upstream, exchange: Omit<Exchange, "link">) => void;
}

type CallResponse = StreamedResponse | BufferedResponse;

/** How an attempt ended for which something was sent. */
type SentOutcome = AttemptOutcome & { readonly response: CallResponse; };

/** Sends each call to the upstream that has been reserved for it. */
export class UpstreamSender {
    constructor(private readonly options: UpstreamSenderOptions) {}

    /** Resolves when the attempt has ended; to one that did not run if the upstream may no longer get the call. */
    async send(ctx: CallContext, queued: QueuedCall, lease: DispatchLease, lane: Lane): Promise<AttemptOutcome> {
        const { worker } = lease;
        const upstream = this.options.upstreams.get(worker);
        if (upstream === undefined) {
            return changedUpstream(worker, "the upstream has just left", true);
        }
        const change = changeOf(upstream, ctx);
        if (change !== undefined) {
            return changedUpstream(worker, change, false);
        }
        ctx.trace.build = upstream.entry.build;
        const response = createResponse(ctx, lane);
        const history = new HistoryUse(ctx);
        const call = { ...this.createUpstreamCall(ctx, upstream), onBodySent: () => history.onSent() };
        const startedAt = performance.now();
        this.reportProgress(response, ctx, upstream, startedAt);
        if (response instanceof StreamedResponse) {
            response.onPassedOn = () => history.onPassedOn();
        }
        const { protocol, replyMemory: memory, observer } = this.options;
        const observation = observer.begin(upstream, { ...queued, score: lease.score });
        response.onFirstByte = () => {
            observation.onFirstByte();
            lane.onFirstByte();
        };
        const refuseToSend = (): string | undefined => changeOf(upstream, ctx);
        const attempt = { call, protocol, sink: response, memory, refuseToSend };
        const result = await attemptCall(upstream, attempt, lane.progress);
        const tokens = response instanceof StreamedResponse ? streamedTokens(ctx, response) : undefined;
        observation.onEnd({ result, status: response.status, tokens });
        this.options.recordTraffic(upstream, {
            kind: "call",
            sentBytes: call.body?.length ?? 0,
            receivedBytes: response.receivedBytes,
            ms: result.kind === "complete" ? performance.now() - startedAt : undefined,
        });
        const outcome = { worker, result, response };
        this.reportOutcome(ctx, queued, upstream, outcome);
        return outcome;
    }

    private createUpstreamCall(ctx: CallContext, upstream: Upstream) {
        const headers = this.options.protocol.buildUpstreamHeaders(ctx.req.rawHeaders, {
            upstream: upstream.entry.id,
            leftMs: Math.floor(ctx.progress.leftMs),
            caller: ctx.caller,
            enginePriority: ctx.head.prompt === undefined ? undefined : this.options.fairness.urgencyOf(ctx),
        });
        const body = outgoingBody(ctx);
        const hasBody = body.length > 0 || ctx.req.headers["content-length"] !== undefined;
        return { id: ctx.id, method: ctx.req.method!, path: ctx.req.url!, headers, body: hasBody ? body : undefined };
    }

    /** Passes on what the response tells of its upstream and its stream while it arrives. */
    private reportProgress(response: CallResponse, ctx: CallContext, upstream: Upstream, startedAt: number): void {
        const { builds, limits, upstreams } = this.options;
        response.onLimit = perSecond => limits.onAnswer(upstream, perSecond, startedAt);
        response.onLeaving = () => upstreams.onLeaving(upstream);
        if (response instanceof StreamedResponse && keepsTurn(ctx)) {
            response.output = new OutputCollector();
        }
        if (response instanceof StreamedResponse && isResumable(ctx.route)) {
            const streamId = scopedName(ctx.workspace, ctx.id);
            response.onBegun = () => builds.onStreamBegun(streamId, ctx.streamRoute ?? ctx.route, upstream);
            if (keepsTurn(ctx)) {
                let recorder: BeginningRecorder | undefined = ctx.beginning?.recorder;
                response.onEvents = events => {
                    recorder ??= this.options.beginnings.recorderOf(streamId);
                    recorder.add(events);
                };
            }
            if (ctx.head.resumption !== undefined) {
                response.refuseToBegin = () => replacementOf(upstream, upstreams.get(upstream.entry.id));
            }
        }
    }

    private reportOutcome(
        ctx: CallContext,
        queued: QueuedCall,
        upstream: Upstream,
        { worker, result, response }: SentOutcome,
    ): void {
        if (result.kind === "notRun" && result.unreachable) {
            upstream.eject();
        }
        if (result.kind === "complete") {
            this.options.blocker.onAnswered(ctx);
            if (queued.affinityKey !== undefined && response.status! < 500) {
                this.options.affinity.onServed(queued.affinityKey, worker);
            }
        }
        if (result.kind === "broken" && result.endedBy === "upstream" && !response.hasData) {
            this.options.crashes.onBroken(upstream, ctx.fingerprints());
        }
    }
}

/** Frees the conversation of a turn once nothing can need it again. */
class HistoryUse {
    private isSent = false;
    private isPassedOn = false;

    constructor(private readonly ctx: CallContext) {}

    /** The upstream has the whole body. */
    onSent(): void {
        this.isSent = true;
        this.releaseIfUnneeded();
    }

    /** The caller has got a part of the stream, so that the call is not sent again. */
    onPassedOn(): void {
        this.isPassedOn = true;
        this.releaseIfUnneeded();
    }

    private releaseIfUnneeded(): void {
        const { conversation, progress, route } = this.ctx;
        if (!this.isSent || !this.isPassedOn || conversation === undefined) {
            return;
        }
        const now = Date.now();
        const isNeeded = [now, now + progress.leftMs].some(savedAt =>
            needsHistory(conversation.last, route.turnRetentionMs, savedAt)
        );
        if (!isNeeded) {
            conversation.release();
        }
    }
}

/** Returns why a call that was placed at an upstream may no longer be sent to it; undefined if it may. */
const changeOf = (upstream: Upstream, ctx: CallContext): string | undefined => {
    // The process that the call was placed at may have been replaced meanwhile, under its id and with another build.
    if (ctx.candidates?.accepts(upstream.entry) === false) {
        return "the upstream has just been replaced";
    }
    return upstream.isLeaving || upstream.entry.draining ? "the upstream has just said that it is leaving" : undefined;
};

/** Returns why a stream that is taken up may not go on with a reply: its process may be another one than the call was placed at. */
const replacementOf = ({ entry }: Upstream, present: Upstream | undefined): string | undefined =>
    present !== undefined && present.entry.build !== entry.build ?
        `the upstream has been replaced by one of build "${present.entry.build}"` :
        undefined;

const changedUpstream = (worker: string, detail: string, unreachable: boolean): AttemptOutcome => ({
    worker,
    result: { kind: "notRun", detail, endedBy: "upstream", unreachable },
    response: undefined,
});

const createResponse = (ctx: CallContext, lane: Lane): CallResponse => {
    if (!ctx.route.isStreaming) {
        return new BufferedResponse();
    }
    const response = new StreamedResponse(ctx.unsent);
    response.isRaced = lane.isRaced;
    response.claim = lane.claim;
    return response;
};
