/** Client of a model engine: OpenAI-compatible completions, load reports, cache events and admin orders. */
import { LineEndNormalizer } from "@marigolddrift/common";
import type { Message, Progress } from "@marigolddrift/common";
import { createParser } from "eventsource-parser";
import { request } from "undici";
import type { Agent } from "undici";
import { z } from "zod";

import type { Usage } from "../calls.js";
import { toUpstreamError, UpstreamError } from "./upstreamError.js";

const chunkSchema = z.object({
    choices: z.array(z.object({
        delta: z.object({ content: z.string().nullish() }),
        finish_reason: z.string().nullish(),
    })).default([]),
    usage: z.object({
        prompt_tokens: z.number(),
        completion_tokens: z.number(),
        prompt_tokens_details: z.object({ cached_tokens: z.number().default(0) }).optional(),
    }).nullish(),
});

const loadReplySchema = z.object({
    running: z.number(),
    waiting: z.number(),
    heldTokens: z.number(),
    memoryTokens: z.number(),
    at: z.number(),
    state: z.enum(["live", "leaving"]),
    models: z.array(z.string()),
    adapters: z.array(z.string()).default([]),
    role: z.string().default("serve"),
});
export type EngineLoadReport = z.infer<typeof loadReplySchema>;

const eventsReplySchema = z.object({
    events: z.array(z.object({
        seq: z.number(),
        kind: z.enum(["stored", "evicted"]),
        key: z.string(),
        tokens: z.number(),
    })),
});
export type CacheEvent = z.infer<typeof eventsReplySchema>["events"][number];

const heldReplySchema = z.object({ keys: z.array(z.string()) });

/** A completion request to an engine. */
export interface EngineRequest {
    readonly id: string;
    readonly program: string;
    readonly model: string;
    readonly messages: readonly Message[];
    readonly maxTokens: number;
    readonly priority: number;
    /** Text already generated, which the engine continues; empty for a new answer. */
    readonly resumeText: string;
    readonly options: Readonly<Record<string, unknown>>;
    /** Maximum wait for the first token. */
    readonly firstTokenTimeoutMs: number;
    /** Maximum wait between two chunks of the stream. */
    readonly stallMs: number;
}

/** Event of a streamed completion. */
export type EngineEvent =
    | { readonly kind: "delta"; readonly text: string; }
    | { readonly kind: "finish"; readonly reason: string; readonly usage: Usage | undefined; };

/** An admin order to an engine. */
export interface EngineOrder {
    readonly order: "loadModel" | "unloadModel" | "loadAdapter" | "changeRole";
    readonly model?: string;
    readonly adapter?: string;
    readonly version?: string;
    readonly role?: string;
    readonly fence: number;
}

/** Calls engines over HTTP. */
export class EngineClient {
    constructor(private readonly agent: Agent, private readonly onLeaving: (worker: string) => void) {}

    /**
     * Streams a completion.
     *
     * @throws UpstreamError whose verdict tells whether the call may have run.
     */
    async *complete(worker: string, req: EngineRequest, progress: Progress): AsyncGenerator<EngineEvent> {
        const abort = new AbortController();
        const stop = (): void => abort.abort(progress.abortReason);
        progress.signal.addEventListener("abort", stop, { once: true });
        const watchdog = new Watchdog(() => abort.abort(new Error("the engine sent no data within the time limit")));
        try {
            watchdog.restart(req.firstTokenTimeoutMs);
            const res = await request(`http://${worker}/v1/chat/completions`, {
                method: "POST",
                headers: { "content-type": "application/json", "x-request-id": req.id },
                body: JSON.stringify(renderRequest(req)),
                dispatcher: this.agent,
                signal: abort.signal,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            if (res.headers["x-upstream-leaving"] === "true") {
                this.onLeaving(worker);
            }
            if (res.statusCode !== 200) {
                const detail = (await res.body.text()).slice(0, 300);
                throw new UpstreamError(
                    res.statusCode < 500 ? "notRun" : "mayHaveRun",
                    worker,
                    `status ${res.statusCode}: ${detail}`,
                );
            }
            yield* readEvents(res.body, worker, () => watchdog.restart(req.stallMs));
        }
        catch (err) {
            throw toUpstreamError(err, worker);
        }
        finally {
            watchdog.clear();
            progress.signal.removeEventListener("abort", stop);
            abort.abort();
        }
    }

    async load(worker: string, progress: Progress): Promise<EngineLoadReport> {
        return loadReplySchema.parse(await this.json("GET", worker, "/load", undefined, progress));
    }

    async cacheEvents(worker: string, since: number, progress: Progress): Promise<CacheEvent[]> {
        return eventsReplySchema.parse(
            await this.json("GET", worker, `/cache-events?since=${since}`, undefined, progress),
        ).events;
    }

    /** Lists the programs whose prompt prefixes the engine holds in memory. */
    async heldPrograms(worker: string, progress: Progress): Promise<string[]> {
        return heldReplySchema.parse(await this.json("GET", worker, "/admin/held", undefined, progress)).keys;
    }

    async release(worker: string, program: string, progress: Progress): Promise<void> {
        await this.json("POST", worker, "/admin/release", { key: program }, progress);
    }

    async export(worker: string, program: string, progress: Progress): Promise<void> {
        await this.json("POST", worker, "/admin/export", { key: program }, progress);
    }

    async order(worker: string, order: EngineOrder, progress: Progress): Promise<void> {
        await this.json("POST", worker, "/admin/orders", order, progress);
    }

    private async json(
        method: "GET" | "POST",
        worker: string,
        path: string,
        body: unknown,
        progress: Progress,
    ): Promise<unknown> {
        try {
            const res = await request(`http://${worker}${path}`, {
                method,
                headers: { "content-type": "application/json" },
                body: body === undefined ? null : JSON.stringify(body),
                dispatcher: this.agent,
                signal: progress.signal,
            });
            const reply = await res.body.json();
            if (res.statusCode !== 200) {
                throw new UpstreamError("notRun", worker, `status ${res.statusCode}: ${JSON.stringify(reply)}`);
            }
            return reply;
        }
        catch (err) {
            throw toUpstreamError(err, worker);
        }
    }
}

const renderRequest = (req: EngineRequest): object => ({
    ...req.options,
    model: req.model,
    messages: req.resumeText === "" ? req.messages : [...req.messages, { role: "assistant", content: req.resumeText }],
    max_tokens: req.maxTokens,
    stream: true,
    stream_options: { include_usage: true },
    priority: req.priority,
    prompt_cache_key: req.program,
    ...(req.resumeText === "" ? {} : { continue_final_message: true, add_generation_prompt: false }),
});

/** Parses server-sent events up to the `[DONE]` marker; a stream that closes without the marker is truncated. */
async function* readEvents(
    body: AsyncIterable<Buffer>,
    worker: string,
    onProgress: () => void,
): AsyncGenerator<EngineEvent> {
    const parsedEvents: EngineEvent[] = [];
    let reason = "";
    let usage: Usage | undefined;
    let done = false;
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                done = true;
                return;
            }
            const chunk = chunkSchema.parse(JSON.parse(data));
            const text = chunk.choices[0]?.delta.content ?? "";
            if (text !== "") {
                parsedEvents.push({ kind: "delta", text });
            }
            reason = chunk.choices[0]?.finish_reason ?? reason;
            usage = chunk.usage ? toUsage(chunk.usage) : usage;
        },
    });
    const decoder = new TextDecoder();
    const lineEnds = new LineEndNormalizer();
    for await (const chunk of body) {
        onProgress();
        parser.feed(lineEnds.feed(decoder.decode(chunk, { stream: true })));
        yield* parsedEvents.splice(0);
        if (done) {
            yield { kind: "finish", reason: reason || "stop", usage };
            return;
        }
    }
    throw new UpstreamError("mayHaveRun", worker, "the stream closed before its end marker");
}

const toUsage = (usage: NonNullable<z.infer<typeof chunkSchema>["usage"]>): Usage => ({
    promptTokens: usage.prompt_tokens,
    completionTokens: usage.completion_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
});

/** Timer that calls back unless it is restarted or cleared in time. */
class Watchdog {
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly onTimeout: () => void) {}

    restart(ms: number): void {
        clearTimeout(this.timer);
        this.timer = setTimeout(this.onTimeout, ms);
    }

    clear(): void {
        clearTimeout(this.timer);
    }
}
