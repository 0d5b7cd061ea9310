/** Sends a call to an upstream and its answer to the caller; tries again only what did not run or may run again. */
import { ProblemError } from "@marigolddrift/common";
import type { Filter, Logger } from "@marigolddrift/common";
import type { Dispatcher, DispatchLease } from "@marigolddrift/dispatch";

import type { PlacedCall } from "../placement.js";
import { describeCall } from "../placement.js";
import type { CallProtocol } from "../protocol.js";
import { createTurn } from "../turns/turnRecord.js";
import type { TurnStore } from "../turns/turnStore.js";
import { attemptCall } from "../upstreams/attempt.js";
import type { AttemptEnd } from "../upstreams/attempt.js";
import type { Upstreams } from "../upstreams/upstreams.js";
import { StreamedAnswer, WholeAnswer } from "./answers.js";
import { outgoingBody } from "./callContext.js";
import type { CallContext } from "./callContext.js";

/** Upstreams that may refuse a call before the caller is told to come back. */
const maxRefusals = 3;

/** When a caller may come back after all upstreams refused, in seconds. */
const retryAfterSeconds = 0.2;

/** What the filter needs. */
export interface ForwardParts {
    readonly dispatcher: Dispatcher<PlacedCall>;
    readonly upstreams: Upstreams;
    readonly protocol: CallProtocol;
    readonly turns: TurnStore;
    readonly onRead: (upstream: string, ctx: CallContext) => void;
    readonly log: Logger;
}

/** The last filter of the chain. */
export class ForwardFilter implements Filter<CallContext> {
    constructor(private readonly parts: ForwardParts) {}

    async handle(ctx: CallContext): Promise<void> {
        const excluded = new Set<string>();
        let refusals = 0;
        let runs = 0;
        for (;;) {
            const end = await this.tryOnce(ctx, excluded);
            if (end.kind === "complete") {
                return;
            }
            this.parts.log.info("attempt failed", { request: ctx.id, upstream: ctx.trace.upstream, ...end });
            if (end.kind === "notRun") {
                refusals += 1;
                this.checkRefusals(ctx, refusals, end.detail);
            }
            else {
                runs += 1;
                this.checkRuns(ctx, runs, end.detail);
            }
        }
    }

    private async tryOnce(ctx: CallContext, excluded: Set<string>): Promise<AttemptEnd> {
        const { dispatcher } = this.parts;
        const lease = await dispatcher.acquire(describeCall(ctx, excluded), ctx.progress);
        excluded.add(lease.worker);
        const startedAt = performance.now();
        const before = ctx.trace.attempts ?? 0;
        const queuedMs = Math.round(startedAt - ctx.arrivedAt);
        Object.assign(ctx.trace, { upstream: lease.worker, attempts: before + 1, sentMs: queuedMs });
        try {
            return await this.send(ctx, lease);
        }
        finally {
            dispatcher.recordServiceTime(ctx.service.name, performance.now() - startedAt);
            lease.release();
        }
    }

    private async send(ctx: CallContext, lease: DispatchLease): Promise<AttemptEnd> {
        const upstream = this.parts.upstreams.get(lease.worker);
        if (upstream === undefined) {
            return { kind: "notRun", detail: "the upstream has just left", unreachable: true };
        }
        const answer = ctx.route.streams ? new StreamedAnswer(ctx.res) : new WholeAnswer();
        const { prompt } = ctx.head;
        const headers = this.parts.protocol.forward(ctx.req.rawHeaders, {
            upstream: upstream.entry.id,
            leftMs: Math.floor(ctx.progress.leftMs),
            enginePriority: prompt === undefined ? undefined : enginePriority(ctx),
        });
        const body = outgoingBody(ctx);
        const hasBody = body.length > 0 || ctx.req.headers["content-length"] !== undefined;
        const call = { method: ctx.req.method!, path: ctx.req.url!, headers, body: hasBody ? body : undefined };
        const startedAt = performance.now();
        const end = await attemptCall(upstream, call, ctx.id, this.parts.protocol, answer, ctx.progress);
        if (end.kind === "notRun" && end.unreachable) {
            upstream.setAside();
        }
        if (end.kind === "complete") {
            upstream.onServed(performance.now() - startedAt);
        }
        await this.finish(ctx, answer, end);
        return end;
    }

    private async finish(ctx: CallContext, answer: StreamedAnswer | WholeAnswer, end: AttemptEnd): Promise<void> {
        if (answer instanceof StreamedAnswer) {
            ctx.trace.tokens = answer.events.events * (ctx.service.engine?.tokensPerEvent ?? 1);
            ctx.trace.firstMs = Math.round((answer.firstDataAt ?? ctx.arrivedAt) - ctx.arrivedAt);
        }
        if (end.kind !== "complete") {
            return;
        }
        ctx.trace.status = answer.status;
        if (answer instanceof WholeAnswer) {
            answer.send(ctx.res);
            return;
        }
        if (answer.isSuccess) {
            this.parts.onRead(ctx.trace.upstream!, ctx);
            await this.keepTurn(ctx, answer);
        }
        answer.end();
    }

    /** The answer's end tells the caller that the turn can be continued, so the turn is made durable before. */
    private async keepTurn(ctx: CallContext, answer: StreamedAnswer): Promise<void> {
        const { route, conversation } = ctx;
        const { program } = ctx.head;
        if (route.keepTurnsMs === 0 || program === undefined) {
            return;
        }
        const startedAt = performance.now();
        const turn = createTurn(ctx.id, conversation?.last, ctx.body, answer.events.output());
        await this.parts.turns.save({ turn, program: program.id, keepMs: route.keepTurnsMs }, ctx.progress);
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

/** Priority that an engine gets: running programs before new ones, then the route's rank. */
const enginePriority = (ctx: CallContext): number => {
    const isRunning = ctx.head.program?.continuesTurn !== undefined;
    return Math.min(9, 2 * ctx.route.priority + (isRunning ? 2 : 3));
};
