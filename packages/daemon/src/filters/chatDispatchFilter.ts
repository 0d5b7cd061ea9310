/** Dispatches a model call to engines, with retries until its answer is complete. */
import { ProblemError } from "@marigolddrift/common";
import type { Filter, Logger, Message, Metrics } from "@marigolddrift/common";
import type { Dispatcher, DispatchLease } from "@marigolddrift/dispatch";
import { enginePriority } from "@marigolddrift/policy";
import type { RetryBudget } from "@marigolddrift/policy";

import type { Usage } from "../calls.js";
import type { EngineMemory } from "../controllers/engineMemory.js";
import type { Slots } from "../controllers/slots.js";
import type { Upstreams } from "../controllers/upstreams.js";
import { encodedBytes } from "../programs/programHistory.js";
import type { EngineClient, EngineEvent } from "../upstreams/engineClient.js";
import { UpstreamError } from "../upstreams/upstreamError.js";
import { holdBudget } from "./budgetHold.js";
import type { ChatContext } from "./ownerContext.js";

/** Upper bound of the tokens that a chat template adds per message. */
const templateTokensPerMessage = 16;

/** An engine counts as stalled after this multiple of the expected time to first token, plus `stallMs`. */
const firstTokenTimeoutFactor = 3;

/** Limit of consecutive attempts that add nothing to the answer. */
const maxAttemptsWithoutProgress = 6;

/** Expected length of an answer of a program without earlier answers. */
const defaultAnswerTokens = 64;
const answerTokensSmoothing = 0.3;

/** Default priority of an agent, which does not change the priority at the engine. */
const defaultPriority = 5;

/** Components and settings that {@link ChatDispatchFilter} uses. */
export interface ChatDispatchDependencies {
    readonly dispatcher: Dispatcher;
    readonly engines: EngineClient;
    readonly upstreams: Upstreams;
    readonly memory: EngineMemory;
    readonly slots: Slots;
    readonly retryBudget: RetryBudget;
    readonly stallMs: number;
    workspaceWeight(workspace: string): number;
    readonly log: Logger;
    readonly metrics: Metrics;
}

/** Part of the answer that has been received, over all attempts. */
interface Delivered {
    text: string;
    tokens: number;
}

/** Result of the attempt that completed the answer. */
interface CompletedAttempt {
    readonly reason: string;
    readonly usage: Usage;
    readonly worker: string;
}

/** Last filter of a model call at its owner. */
export class ChatDispatchFilter implements Filter<ChatContext> {
    constructor(private readonly deps: ChatDispatchDependencies) {}

    async handle(ctx: ChatContext): Promise<void> {
        const { req } = ctx;
        this.deps.retryBudget.onRequest();
        const delivered: Delivered = { text: req.resumeText, tokens: req.resumeTokens };
        if (req.resumeText !== "") {
            // The log must hold the whole answer, for callers that join it.
            ctx.log.append({ kind: "delta", text: req.resumeText, tokens: req.resumeTokens });
        }
        const excluded = new Set<string>();
        for (let attempt = 1;; attempt++) {
            const tokensBefore = delivered.tokens;
            try {
                return this.finish(ctx, delivered, await this.attempt(ctx, delivered, excluded));
            }
            catch (err) {
                if (!(err instanceof UpstreamError)) {
                    throw err;
                }
                attempt = delivered.tokens > tokensBefore ? 0 : attempt;
                this.onUpstreamFailure(ctx, err, attempt, excluded);
            }
        }
    }

    /**
     * Records a failed attempt, and throws if there must not be another one. A model call is always safe to repeat;
     * only the number of attempts and the retry budget limit retries.
     */
    private onUpstreamFailure(ctx: ChatContext, err: UpstreamError, attempt: number, excluded: Set<string>): void {
        const { log, metrics, retryBudget } = this.deps;
        excluded.add(err.upstream);
        metrics.count("engine.failed");
        log.warn("engine call failed", {
            program: ctx.program.claims.nonce,
            call: ctx.call,
            worker: err.upstream,
            error: err.message,
        });
        ctx.progress.throwIfAborted();
        if (attempt >= maxAttemptsWithoutProgress || (err.verdict !== "notRun" && !retryBudget.tryAcquire())) {
            throw new ProblemError("upstream_failed", "mayHaveRun", `No engine completed the answer: ${err.message}`, {
                cause: err,
            });
        }
        if (ctx.lifecycle.state === "dispatched") {
            ctx.lifecycle.send("retract");
        }
    }

    private async attempt(
        ctx: ChatContext,
        delivered: Delivered,
        excluded: ReadonlySet<string>,
    ): Promise<CompletedAttempt> {
        const { req, program, progress } = ctx;
        const maxTokens = Math.max(1, req.maxTokens - delivered.tokens);
        const promptBound = this.promptBound(ctx) + delivered.tokens;
        const race = <T>(promise: Promise<T>): Promise<T> => progress.race(promise);
        const budgetHold = await holdBudget(this.deps.slots, ctx.hold, program, promptBound + maxTokens, race);
        let lease: DispatchLease | undefined;
        let sent = false;
        try {
            if (ctx.lifecycle.state === "received") {
                ctx.lifecycle.send("queue");
            }
            lease = await this.acquire(ctx, promptBound, excluded);
            await this.deps.slots.verifyOwned(ctx.hold.slot, progress);
            ctx.lifecycle.send("dispatch");
            sent = true;
            const finished = await this.stream(ctx, lease, delivered, maxTokens, promptBound);
            budgetHold.settle(finished.usage.promptTokens + finished.usage.completionTokens);
            return finished;
        }
        catch (err) {
            sent = sent && !(err instanceof UpstreamError && err.verdict === "notRun");
            throw err;
        }
        finally {
            lease?.release();
            budgetHold.settle(sent ? undefined : 0);
        }
    }

    /** Upper bound of the prompt's tokens; uncounted messages count by bytes, as a token is at least one byte. */
    private promptBound(ctx: ChatContext): number {
        const { program } = ctx;
        const hasCountedHistory = program.historyTokens > 0 && ctx.newMessages.length < ctx.conversation.length;
        const uncounted = hasCountedHistory ? ctx.newMessages : ctx.conversation;
        return (hasCountedHistory ? program.historyTokens : 0) + encodedBytes(uncounted) +
            uncounted.length * templateTokensPerMessage;
    }

    private acquire(ctx: ChatContext, promptBound: number, excluded: ReadonlySet<string>): Promise<DispatchLease> {
        const { program, req, progress } = ctx;
        const bytes = encodedBytes(ctx.conversation);
        const promptTokens = Math.min(
            promptBound,
            program.historyTokens + Math.ceil(encodedBytes(ctx.newMessages) / 4),
        );
        const expectedTokens = Math.min(req.maxTokens, program.meanAnswerTokens || defaultAnswerTokens);
        return this.deps.dispatcher.acquire({
            program: program.id,
            workspace: req.workspace,
            attainedMs: program.attainedMs,
            priority: program.agent.priority,
            enqueuedAt: performance.now(),
            deadline: performance.now() + Math.min(program.claims.deadline - Date.now(), progress.leftMs),
            expectedMs: expectedTokens * 20,
            workspaceLoad: 1 / this.deps.workspaceWeight(req.workspace),
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
    ): Promise<CompletedAttempt> {
        const { program, req, progress } = ctx;
        const { engines, slots, stallMs, upstreams } = this.deps;
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
            messages: ctx.conversation,
            maxTokens,
            priority: enginePriority(program.attainedMs, program.agent.priority - defaultPriority),
            resumeText: delivered.text,
            options: req.options,
            firstTokenTimeoutMs: stallMs + firstTokenTimeoutFactor * (score.waitMs + score.prefillMs),
            stallMs,
        }, progress);
        let usage: Usage | undefined;
        let reason = "stop";
        try {
            for await (const event of answer) {
                if (!slots.isProvablyOwned(ctx.hold.slot)) {
                    await slots.verifyOwned(ctx.hold.slot, progress);
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
            if (err instanceof UpstreamError && !progress.isAborted) {
                upstream?.onFailure(err.verdict === "notRun", Date.now());
            }
            throw err;
        }
        upstream?.onSuccess();
        const ms = Date.now() - startedAt;
        program.attainedMs += ms;
        this.deps.dispatcher.recordServiceTime(program.agent.model, ms);
        const expectedMs = score.expectedMs || 1;
        upstream?.onLatencyObserved(ms / expectedMs);
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

    private finish(ctx: ChatContext, delivered: Delivered, finished: CompletedAttempt): void {
        const { program } = ctx;
        const { usage, reason, worker } = finished;
        ctx.answer = delivered.text;
        const answer: Message = { role: "assistant", content: delivered.text };
        program.history.commit(ctx.conversation, ctx.newMessages, answer);
        program.historyTokens = usage.promptTokens + usage.completionTokens;
        const answerTokens = delivered.tokens;
        program.meanAnswerTokens += answerTokensSmoothing * (answerTokens - program.meanAnswerTokens);
        ctx.lifecycle.send("finish");
        ctx.log.append({
            kind: "finish",
            reason,
            usage: { ...usage, completionTokens: Math.max(usage.completionTokens, answerTokens) },
            call: ctx.call,
            digest: program.history.digest,
            budgetLeft: program.account.budget - program.account.spent,
        });
        this.startPause(ctx, worker);
    }

    /** Records that the program pauses, and decides whether its prefix stays in engine memory until the next call. */
    private startPause(ctx: ChatContext, worker: string): void {
        const { program, req } = ctx;
        const { memory, upstreams } = this.deps;
        const now = Date.now();
        memory.cacheView.onCached(program.id, worker, program.historyTokens, now);
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
