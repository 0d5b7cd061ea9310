/** Sends a model call to engines until its answer is complete. */
import { ProblemError } from "@marigolddrift/common";
import type { Filter, Logger, Message, Metrics } from "@marigolddrift/common";
import type { Dispatcher, DispatchLease } from "@marigolddrift/dispatch";
import { enginePriority } from "@marigolddrift/policy";
import type { RetryBudget } from "@marigolddrift/policy";

import type { Usage } from "../calls.js";
import type { EngineMemory } from "../controllers/engineMemory.js";
import type { Slots } from "../controllers/slots.js";
import type { Upstreams } from "../controllers/upstreams.js";
import { sizeOf } from "../programs/programHistory.js";
import type { EngineClient, EngineEvent } from "../upstreams/engineClient.js";
import { UpstreamError } from "../upstreams/upstreamError.js";
import { holdBudget } from "./budgetHold.js";
import type { ChatContext } from "./ownerContext.js";

/** Tokens that a chat template adds per message at most. */
const templateTokensPerMessage = 16;

/** Factor on the expected time of a first token after which an engine counts as stalled. */
const firstTokenPatience = 3;

/** Attempts in a row that bring the answer no further. */
const maxFruitlessAttempts = 6;
const defaultAnswerTokens = 64;
const meanRate = 0.3;
const middlePriority = 5;

/** What the filter works with. */
export interface ChatDispatchParts {
    readonly dispatcher: Dispatcher;
    readonly engines: EngineClient;
    readonly upstreams: Upstreams;
    readonly memory: EngineMemory;
    readonly slots: Slots;
    readonly retries: RetryBudget;
    readonly stallMs: number;
    workspaceWeight(workspace: string): number;
    readonly log: Logger;
    readonly metrics: Metrics;
}

/** What has been delivered of an answer, over all attempts. */
interface Delivered {
    text: string;
    tokens: number;
}

/** Result of one attempt that completed the answer. */
interface Finished {
    readonly reason: string;
    readonly usage: Usage;
    readonly worker: string;
}

/** The last filter of a model call. */
export class ChatDispatchFilter implements Filter<ChatContext> {
    constructor(private readonly parts: ChatDispatchParts) {}

    async handle(ctx: ChatContext): Promise<void> {
        const { req } = ctx;
        this.parts.retries.onRequest();
        const delivered: Delivered = { text: req.resumeText, tokens: req.resumeTokens };
        if (req.resumeText !== "") {
            // The answer is always whole in the log, for callers that join it.
            ctx.log.append({ kind: "delta", text: req.resumeText, tokens: req.resumeTokens });
        }
        const excluded = new Set<string>();
        for (let attempt = 1;; attempt++) {
            const before = delivered.tokens;
            try {
                return this.finish(ctx, delivered, await this.attempt(ctx, delivered, excluded));
            }
            catch (err) {
                if (!(err instanceof UpstreamError)) {
                    throw err;
                }
                attempt = delivered.tokens > before ? 0 : attempt;
                this.onUpstreamFailure(ctx, err, attempt, excluded);
            }
        }
    }

    /** Decides whether a failed attempt may be followed by another one. A model call may always be repeated. */
    private onUpstreamFailure(ctx: ChatContext, err: UpstreamError, attempt: number, excluded: Set<string>): void {
        const { log, metrics, retries } = this.parts;
        excluded.add(err.upstream);
        metrics.count("engine.failed");
        log.warn("engine failed", {
            program: ctx.program.claims.nonce,
            call: ctx.call,
            worker: err.upstream,
            error: err.message,
        });
        ctx.progress.check();
        if (attempt >= maxFruitlessAttempts || (err.verdict !== "notRun" && !retries.tryTake())) {
            throw new ProblemError("upstream_failed", "mayHaveRun", `No engine completed the answer: ${err.message}`, {
                cause: err,
            });
        }
        if (ctx.lifecycle.state === "dispatched") {
            ctx.lifecycle.send("retract");
        }
    }

    private async attempt(ctx: ChatContext, delivered: Delivered, excluded: ReadonlySet<string>): Promise<Finished> {
        const { req, program, progress } = ctx;
        const maxTokens = Math.max(1, req.maxTokens - delivered.tokens);
        const promptBound = this.promptBound(ctx) + delivered.tokens;
        const race = <T>(promise: Promise<T>): Promise<T> => progress.race(promise);
        const held = await holdBudget(this.parts.slots, ctx.hold, program, promptBound + maxTokens, race);
        let lease: DispatchLease | undefined;
        let sent = false;
        try {
            if (ctx.lifecycle.state === "received") {
                ctx.lifecycle.send("queue");
            }
            lease = await this.acquire(ctx, promptBound, excluded);
            await this.parts.slots.recheck(ctx.hold.slot, progress);
            ctx.lifecycle.send("dispatch");
            sent = true;
            const finished = await this.stream(ctx, lease, delivered, maxTokens, promptBound);
            held.settle(finished.usage.promptTokens + finished.usage.completionTokens);
            return finished;
        }
        catch (err) {
            sent = sent && !(err instanceof UpstreamError && err.verdict === "notRun");
            throw err;
        }
        finally {
            lease?.release();
            held.settle(sent ? undefined : 0);
        }
    }

    /** Upper bound of the prompt in tokens: a token is at least one byte. */
    private promptBound(ctx: ChatContext): number {
        const { program } = ctx;
        const known = program.historyTokens > 0 && ctx.fresh.length < ctx.all.length;
        const unknown = known ? ctx.fresh : ctx.all;
        return (known ? program.historyTokens : 0) + sizeOf(unknown) + unknown.length * templateTokensPerMessage;
    }

    private acquire(ctx: ChatContext, promptBound: number, excluded: ReadonlySet<string>): Promise<DispatchLease> {
        const { program, req, progress } = ctx;
        const bytes = sizeOf(ctx.all);
        const promptTokens = Math.min(promptBound, program.historyTokens + Math.ceil(sizeOf(ctx.fresh) / 4));
        const expectedTokens = Math.min(req.maxTokens, program.meanAnswerTokens || defaultAnswerTokens);
        return this.parts.dispatcher.acquire({
            program: program.id,
            workspace: req.workspace,
            attainedMs: program.attainedMs,
            priority: program.agent.priority,
            since: performance.now(),
            deadline: performance.now() + Math.min(program.claims.deadline - Date.now(), progress.leftMs),
            expectedMs: expectedTokens * 20,
            workspaceLoad: 1 / this.parts.workspaceWeight(req.workspace),
            model: program.agent.model,
            call: ctx.call,
            shape: { promptTokens, expectedTokens },
            firstCall: program.turns === 0,
            excluded,
            bytes,
        }, progress);
    }

    private async stream(
        ctx: ChatContext,
        lease: DispatchLease,
        delivered: Delivered,
        maxTokens: number,
        promptBound: number,
    ): Promise<Finished> {
        const { program, req, progress } = ctx;
        const { engines, slots, stallMs, upstreams } = this.parts;
        const { worker, score } = lease;
        const upstream = upstreams.get(worker);
        program.addDecision({
            at: Date.now(),
            call: ctx.call,
            choice: worker,
            reason: "expectedFinish",
            scores: [score],
        });
        const startedAt = Date.now();
        const answer = engines.complete(worker, {
            id: `${program.claims.nonce}/${ctx.call}`,
            program: program.id,
            model: program.agent.model,
            messages: ctx.all,
            maxTokens,
            priority: enginePriority(program.attainedMs, program.agent.priority - middlePriority),
            resumeText: delivered.text,
            options: req.options,
            firstTokenTimeoutMs: stallMs + firstTokenPatience * (score.waitMs + score.prefillMs),
            stallMs,
        }, progress);
        let usage: Usage | undefined;
        let reason = "stop";
        try {
            for await (const event of answer) {
                if (!slots.isProven(ctx.hold.slot)) {
                    await slots.recheck(ctx.hold.slot, progress);
                }
                if (event.kind === "delta") {
                    this.deliver(ctx, delivered, event);
                }
                else {
                    ({ reason, usage } = event);
                }
            }
        }
        catch (err) {
            if (err instanceof UpstreamError && !progress.signal.aborted) {
                upstream?.onFailure(err.verdict === "notRun", Date.now());
            }
            throw err;
        }
        upstream?.onSuccess();
        const ms = Date.now() - startedAt;
        program.attainedMs += ms;
        this.parts.dispatcher.onServed(program.agent.model, ms);
        const expected = score.expectedMs || 1;
        upstream?.onObserved(ms / expected);
        return {
            reason,
            worker,
            usage: usage ?? { promptTokens: promptBound, completionTokens: maxTokens, cachedTokens: 0 },
        };
    }

    private deliver(ctx: ChatContext, delivered: Delivered, event: EngineEvent & { kind: "delta"; }): void {
        if (ctx.lifecycle.state === "dispatched") {
            ctx.lifecycle.send("answer");
        }
        delivered.text += event.text;
        delivered.tokens += 1;
        ctx.log.append({ kind: "delta", text: event.text, tokens: 1 });
    }

    private finish(ctx: ChatContext, delivered: Delivered, finished: Finished): void {
        const { program } = ctx;
        const { usage, reason, worker } = finished;
        ctx.answer = delivered.text;
        const answer: Message = { role: "assistant", content: delivered.text };
        program.history.commit(ctx.all, ctx.fresh, answer);
        program.historyTokens = usage.promptTokens + usage.completionTokens;
        const answerTokens = delivered.tokens;
        program.meanAnswerTokens += meanRate * (answerTokens - program.meanAnswerTokens);
        ctx.lifecycle.send("finish");
        ctx.log.append({
            kind: "finish",
            reason,
            usage: { ...usage, completionTokens: Math.max(usage.completionTokens, answerTokens) },
            call: ctx.call,
            digest: program.history.digest,
            budgetLeft: program.account.budget - program.account.spent,
        });
        this.pause(ctx, worker);
    }

    /** Decides what happens to the prefix until the next call. */
    private pause(ctx: ChatContext, worker: string): void {
        const { program, req } = ctx;
        const { memory, upstreams } = this.parts;
        const now = Date.now();
        memory.view.onCached(program.id, worker, program.historyTokens, now);
        program.lastCallEndedAt = now;
        program.pauseKind = `${program.claims.agent}/${req.nextTool ?? ""}`;
        const load = upstreams.get(worker)?.reported?.load;
        const memoryPressure = load === undefined ? 0 : load.heldTokens / Math.max(1, load.memoryTokens);
        const cost = upstreams.costOf(worker);
        memory.onPause({
            program: program.id,
            worker,
            kind: program.pauseKind,
            tokens: program.historyTokens,
            memoryPressure,
            cost,
        });
    }
}
