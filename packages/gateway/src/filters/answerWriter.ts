/** Ends the answer to a call whose upstream has replied completely; turns are saved before. */
import type { StreamEvent } from "@marigolddrift/policy";
import { ChunkedBytes } from "../memory/chunkedBytes.js";
import { createTurn, needsHistory } from "../turns/turnRecord.js";
import type { TurnStore } from "../turns/turnStore.js";
import { OutputCollector } from "../upstreams/outputCollector.js";
import type { ReplyMemory } from "../upstreams/replyMemory.js";
import { scopedName } from "../workspaces.js";
import { keepsTurn } from "./callContext.js";
import type { CallContext } from "./callContext.js";
import type { AttemptOutcome } from "./hedge.js";
import { loadConversationOf } from "./historyFilter.js";
import { BufferedResponse, StreamedResponse } from "./responseSinks.js";

/** Number of tokens of a stream that has arrived so far. */
export const streamedTokens = (ctx: CallContext, response: StreamedResponse): number =>
    response.events.count * (ctx.service.engine?.tokensPerEvent ?? 1);

/** Writes complete answers to callers. */
export class AnswerWriter {
    constructor(
        private readonly turns: TurnStore,
        private readonly replyMemory: ReplyMemory,
        private readonly onPromptProcessed: (upstream: string, ctx: CallContext) => void,
    ) {}

    /** Notes the attempt whose answer the caller gets, or the last one that failed. */
    trace(ctx: CallContext, outcome: AttemptOutcome | undefined): void {
        if (outcome === undefined) {
            return;
        }
        ctx.trace.upstream = outcome.worker;
        const { response } = outcome;
        if (response instanceof StreamedResponse) {
            ctx.trace.tokens = streamedTokens(ctx, response);
            ctx.trace.firstMs = Math.round((response.firstDataAt ?? ctx.arrivedAt) - ctx.arrivedAt);
        }
    }

    /** Sends what is left of a complete answer. The turn of a successful stream is saved before the stream ends. */
    async complete(ctx: CallContext, response: StreamedResponse | BufferedResponse): Promise<void> {
        ctx.trace.status = response.status;
        if (response instanceof BufferedResponse) {
            response.send(ctx.unsent);
            ctx.unsent.countAsReply(this.replyMemory);
            return;
        }
        if (response.isSuccess) {
            this.onPromptProcessed(ctx.trace.upstream!, ctx);
            await this.saveTurn(ctx, response);
        }
        response.end();
        ctx.unsent.countAsReply(this.replyMemory);
    }

    /** Saves the turn before the response ends, because the end tells the caller that the turn can be continued. */
    private async saveTurn(ctx: CallContext, response: StreamedResponse): Promise<void> {
        const { route, beginning } = ctx;
        const { program } = ctx.head;
        if (!keepsTurn(ctx) || program === undefined) {
            return;
        }
        const startedAt = performance.now();
        const keepMs = route.turnRetentionMs;
        const content = {
            id: scopedName(ctx.workspace, ctx.id),
            input: ctx.body,
            output: ChunkedBytes.of(outputOf(beginning?.events ?? []), response.output!.toBytes()),
            keepMs,
        };
        const now = Date.now();
        await this.restoreHistory(ctx, now);
        const turn = createTurn(content, ctx.conversation, now);
        await this.turns.save({ turn, program: scopedName(ctx.workspace, program.id), keepMs }, ctx.progress);
        ctx.trace.savedMs = Math.round(performance.now() - startedAt);
    }

    /** Loads the history again if it is needed after all, as after a step of the clock. */
    private async restoreHistory(ctx: CallContext, now: number): Promise<void> {
        const { conversation, route } = ctx;
        const isMissing = conversation?.isReleased === true &&
            needsHistory(conversation.last, route.turnRetentionMs, now);
        if (isMissing) {
            ctx.conversation = await loadConversationOf(ctx, this.turns);
        }
    }
}

/** Returns the data of events that were passed on before. */
const outputOf = (events: readonly StreamEvent[]): ChunkedBytes => {
    const output = new OutputCollector();
    events.forEach(({ data }) => output.add(data));
    return output.toBytes();
};
