/** Writes the owner's answer to the caller's HTTP response. */
import { ProblemError, sendJson, sendProblem } from "@marigolddrift/common";
import type { Filter } from "@marigolddrift/common";
import { once } from "node:events";

import type { AnswerEvent, OwnerRequest } from "../calls.js";
import type { Router } from "../router.js";
import type { EdgeContext } from "./edgeContext.js";

/** Last filter of the edge chain: routes the request to its owner and writes the answer. */
export class AnswerFilter implements Filter<EdgeContext> {
    constructor(private readonly router: Router) {}

    async handle(ctx: EdgeContext): Promise<void> {
        const request = ctx.request!;
        const writer = this.createWriter(ctx, request);
        for await (const event of this.router.route(request, ctx.slot, ctx.progress)) {
            if (event.kind === "problem") {
                writer.fail(ProblemError.fromProblem(event.problem));
                return;
            }
            await writer.write(event);
        }
    }

    private createWriter(ctx: EdgeContext, request: OwnerRequest): AnswerWriter {
        if (request.kind !== "chat") {
            return new PlainWriter(ctx);
        }
        return ctx.stream ? new StreamWriter(ctx) : new CompletionWriter(ctx);
    }
}

/** Writes the events of an answer in one response format. */
interface AnswerWriter {
    write(event: AnswerEvent): Promise<void>;
    fail(err: ProblemError): void;
}

/** Writes JSON documents and the responses of services. */
class PlainWriter implements AnswerWriter {
    constructor(private readonly ctx: EdgeContext) {}

    async write(event: AnswerEvent): Promise<void> {
        const { res } = this.ctx;
        if (event.kind === "json") {
            sendJson(res, event.status, event.value);
        }
        else if (event.kind === "head") {
            res.writeHead(event.status, {
                "content-type": event.contentType || "application/octet-stream",
                "idempotency-replayed": String(event.replayed),
            });
        }
        else if (event.kind === "body") {
            res.end(event.data);
        }
    }

    fail(err: ProblemError): void {
        sendProblem(this.ctx.res, err);
    }
}

type FinishEvent = AnswerEvent & { kind: "finish"; };

const renderUsage = ({ usage }: FinishEvent) => ({
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
});

const renderProgram = (event: FinishEvent) => ({
    call: event.call,
    digest: event.digest,
    budget_left: event.budgetLeft,
});

/** Writes the answer of a model call as one completion document. */
class CompletionWriter implements AnswerWriter {
    private text = "";

    constructor(private readonly ctx: EdgeContext) {}

    async write(event: AnswerEvent): Promise<void> {
        if (event.kind === "delta") {
            this.text += event.text;
        }
        else if (event.kind === "finish") {
            sendJson(this.ctx.res, 200, {
                id: `call-${event.call}`,
                object: "chat.completion",
                choices: [{
                    index: 0,
                    message: { role: "assistant", content: this.text },
                    finish_reason: event.reason,
                }],
                usage: renderUsage(event),
                program: renderProgram(event),
            }, { "program-call": String(event.call), "program-digest": event.digest });
        }
    }

    fail(err: ProblemError): void {
        sendProblem(this.ctx.res, err);
    }
}

/** Writes the answer of a model call as server-sent events. */
class StreamWriter implements AnswerWriter {
    constructor(private readonly ctx: EdgeContext) {}

    async write(event: AnswerEvent): Promise<void> {
        if (event.kind === "delta") {
            await this.send({ choices: [{ index: 0, delta: { content: event.text }, finish_reason: null }] });
        }
        else if (event.kind === "finish") {
            const choices = [{ index: 0, delta: {}, finish_reason: event.reason }];
            await this.send({ choices, usage: renderUsage(event), program: renderProgram(event) });
            this.ctx.res.end("data: [DONE]\n\n");
        }
    }

    /** Sends the problem as the HTTP response or, once events have been sent, as the last event. */
    fail(err: ProblemError): void {
        const { res } = this.ctx;
        if (!res.headersSent) {
            sendProblem(res, err);
            return;
        }
        res.write(`event: error\ndata: ${JSON.stringify(err.toProblem())}\n\n`);
        res.end();
    }

    private async send(chunk: object): Promise<void> {
        const { res, progress } = this.ctx;
        if (!res.headersSent) {
            res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        }
        const belowHighWaterMark = res.write(
            `data: ${JSON.stringify({ object: "chat.completion.chunk", ...chunk })}\n\n`,
        );
        if (!belowHighWaterMark && !res.destroyed) {
            await progress.race(once(res, "drain"));
        }
    }
}
