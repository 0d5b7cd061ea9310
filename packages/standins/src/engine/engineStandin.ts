/** HTTP API of the engine stand-in: OpenAI-style completions, load reports, cache events and admin orders. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";

import { sendJson } from "../faults.js";
import { readJson, StandinServer } from "../standinServer.js";
import { EngineCore } from "./engineCore.js";
import type { EngineLoad, EngineProfile, EngineUsage } from "./engineCore.js";
import type { CacheChange } from "./prefixCache.js";
import { answeredDigest, answerText, completionSchema, parsePrompt } from "./prompt.js";
import type { CompletionRequest } from "./prompt.js";

/** Settings of one engine. */
export interface EngineOptions {
    readonly profile: EngineProfile;
    readonly models: readonly string[];
    readonly checksFencing: boolean;
    /** Age of the reported load. */
    readonly loadLagMs: number;
    /** Delay until cache events are visible. */
    readonly eventLagMs: number;
    /** Every n-th cache event is dropped; 0 to drop none. */
    readonly eventGapEvery: number;
    /** Address of the weight store; empty to load models immediately. */
    readonly weightStore: string;
}

const orderSchema = z.object({
    order: z.enum(["loadModel", "unloadModel", "loadAdapter", "changeRole"]),
    model: z.string().default(""),
    adapter: z.string().default(""),
    version: z.string().default(""),
    role: z.string().default(""),
    fence: z.number().int().default(0),
});
const keySchema = z.object({ key: z.string().min(1) });

interface CacheEvent extends CacheChange {
    readonly seq: number;
    readonly visibleAt: number;
}

const maxEvents = 5_000;
const loadSampleMs = 100;

/** A simulated engine with an HTTP API. */
export class EngineStandin {
    readonly server: StandinServer;
    readonly core: EngineCore;
    private readonly events: CacheEvent[] = [];
    private nextEventSeq = 1;
    private readonly models: Set<string>;
    private readonly adapters = new Set<string>();
    private role = "serve";
    private highestFence = 0;
    private readonly orders: unknown[] = [];
    private readonly executions = new Map<string, number>();
    private lastNewWorkAt = 0;
    private loads: { at: number; load: EngineLoad; }[] = [];
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: EngineOptions) {
        this.core = new EngineCore(options.profile, change => this.recordCacheChange(change));
        this.models = new Set(options.models);
        this.server = new StandinServer(() => this.counters());
        this.server.route("POST", "/v1/chat/completions", (req, res) => this.complete(req, res));
        this.server.route(
            "GET",
            "/v1/models",
            async (_, res) => sendJson(res, 200, { data: [...this.models].map(id => ({ id })) }),
        );
        this.server.route(
            "GET",
            "/load",
            async (req, res) => this.server.faults.sendReply(req, res, 200, this.reportedLoad()),
        );
        this.server.route("GET", "/cache-events", async (req, res) => this.sendEvents(req, res));
        this.server.route(
            "POST",
            "/admin/release",
            async (req, res) => this.handleKeyRequest(req, res, key => this.core.cache.drop(key)),
        );
        this.server.route(
            "POST",
            "/admin/export",
            async (req, res) => this.handleKeyRequest(req, res, key => this.core.cache.exportKey(key)),
        );
        this.server.route("POST", "/admin/orders", (req, res) => this.handleOrder(req, res));
        this.server.route(
            "GET",
            "/admin/held",
            async (_, res) => sendJson(res, 200, { keys: this.core.cache.heldKeys() }),
        );
        this.timer = setInterval(() => this.sampleLoad(), loadSampleMs);
        this.timer.unref();
    }

    async close(): Promise<void> {
        clearInterval(this.timer);
        this.core.crash();
        await this.server.close();
    }

    private counters(): unknown {
        this.core.cache.updateHeldTokenMs();
        const { heldTokens, heldTokenMs, wastedTokenMs, evictions } = this.core.cache;
        return {
            ...this.core.counters,
            heldTokens,
            heldTokenMs,
            wastedTokenMs,
            evictions,
            heldKeys: this.core.cache.heldKeys().length,
            executions: Object.fromEntries(this.executions),
            lastNewWorkAt: this.lastNewWorkAt,
            models: [...this.models],
            adapters: [...this.adapters],
            role: this.role,
            orders: this.orders,
        };
    }

    private async complete(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const parsed = completionSchema.safeParse(await readJson(req));
        if (!parsed.success) {
            return sendJson(res, 400, { error: { message: parsed.error.message } });
        }
        const body = parsed.data;
        if (!this.models.has(body.model)) {
            return sendJson(res, 404, { error: { message: `model ${body.model} is not loaded` } });
        }
        if (this.server.faults.isSet("leave")) {
            res.setHeader("x-upstream-leaving", "true");
        }
        this.lastNewWorkAt = Date.now();
        const callId = String(req.headers["x-request-id"] ?? "");
        if (callId !== "") {
            this.executions.set(callId, (this.executions.get(callId) ?? 0) + 1);
        }
        this.submitCall(body, req, res);
    }

    private submitCall(body: CompletionRequest, req: IncomingMessage, res: ServerResponse): void {
        const prompt = parsePrompt(body);
        const writer = body.stream ? new StreamWriter(res, body.model) : new JsonWriter(res, body.model);
        let sentTokens = prompt.resumedTokens;
        const handle = this.core.submit({
            key: body.prompt_cache_key,
            segments: prompt.segments,
            outputTokens: Math.max(1, prompt.answerTokens - prompt.resumedTokens),
            answerDigest: answeredDigest(prompt.seed, answerText(prompt.seed, 0, prompt.answerTokens)),
            priority: body.priority,
            onTokens: count => {
                writer.text(answerText(prompt.seed, sentTokens, sentTokens + count));
                sentTokens += count;
            },
            onDone: usage => writer.end(usage),
        });
        res.on("close", () => handle.cancel());
        const closeAfterMs = this.server.faults.consume("dieMidStream");
        if (closeAfterMs !== undefined) {
            setTimeout(() => req.socket.destroy(), closeAfterMs);
        }
    }

    private sampleLoad(): void {
        const now = Date.now();
        this.loads.push({ at: now, load: this.core.load() });
        const oldest = now - this.options.loadLagMs;
        while (this.loads.length > 1 && this.loads[1]!.at <= oldest) {
            this.loads.shift();
        }
    }

    private reportedLoad() {
        const sample = this.loads[0] ?? { at: Date.now(), load: this.core.load() };
        return {
            ...sample.load,
            at: sample.at,
            state: this.server.faults.isSet("leave") ? "leaving" : "live",
            models: [...this.models],
            adapters: [...this.adapters],
            role: this.role,
        };
    }

    private recordCacheChange(change: CacheChange): void {
        const seq = this.nextEventSeq++;
        if (this.options.eventGapEvery > 0 && seq % this.options.eventGapEvery === 0) {
            return;
        }
        this.events.push({ ...change, seq, visibleAt: Date.now() + this.options.eventLagMs });
        if (this.events.length > maxEvents) {
            this.events.splice(0, maxEvents / 2);
        }
    }

    private sendEvents(req: IncomingMessage, res: ServerResponse): void {
        const since = Number(new URL(req.url ?? "/", "http://localhost").searchParams.get("since") ?? 0);
        const now = Date.now();
        const events = this.events.filter(event => event.seq > since && event.visibleAt <= now);
        this.server.faults.sendReply(req, res, 200, {
            events: events.map(({ seq, kind, key, tokens }) => ({ seq, kind, key, tokens })),
        });
    }

    private async handleKeyRequest(
        req: IncomingMessage,
        res: ServerResponse,
        action: (key: string) => number,
    ): Promise<void> {
        const { key } = keySchema.parse(await readJson(req));
        this.server.faults.sendReply(req, res, 200, { tokens: action(key) });
    }

    private async handleOrder(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const order = orderSchema.parse(await readJson(req));
        if (this.options.checksFencing && order.fence < this.highestFence) {
            return sendJson(res, 409, { error: `fence ${order.fence} is older than ${this.highestFence}` });
        }
        this.highestFence = Math.max(this.highestFence, order.fence);
        this.orders.push({ ...order, at: Date.now() });
        if (order.order === "loadModel" && !await this.fetchWeights(order.model)) {
            return sendJson(res, 503, { error: "the weight store refused the request" });
        }
        this.applyOrder(order);
        this.server.faults.sendReply(req, res, 200, {
            models: [...this.models],
            adapters: [...this.adapters],
            role: this.role,
        });
    }

    private async fetchWeights(model: string): Promise<boolean> {
        if (this.options.weightStore === "") {
            return true;
        }
        const reply = await fetch(`http://${this.options.weightStore}/weights/${encodeURIComponent(model)}`);
        return reply.ok;
    }

    private applyOrder(order: z.infer<typeof orderSchema>): void {
        if (order.order === "loadModel") {
            this.models.add(order.model);
        }
        else if (order.order === "unloadModel") {
            this.models.delete(order.model);
        }
        else if (order.order === "loadAdapter") {
            this.adapters.add(order.version === "" ? order.adapter : `${order.adapter}@${order.version}`);
        }
        else {
            this.role = order.role;
        }
    }
}

const renderUsage = (usage: EngineUsage) => ({
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
});

/** Writes a completion as server-sent events. */
class StreamWriter {
    constructor(private readonly res: ServerResponse, private readonly model: string) {
        res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        res.flushHeaders();
    }

    text(content: string): void {
        this.send({ choices: [{ index: 0, delta: { content }, finish_reason: null }] });
    }

    end(usage: EngineUsage): void {
        this.send({ choices: [{ index: 0, delta: {}, finish_reason: "stop" }], usage: renderUsage(usage) });
        this.res.end("data: [DONE]\n\n");
    }

    private send(chunk: object): void {
        this.res.write(`data: ${JSON.stringify({ object: "chat.completion.chunk", model: this.model, ...chunk })}\n\n`);
    }
}

/** Writes a completion as one JSON document. */
class JsonWriter {
    private content = "";

    constructor(private readonly res: ServerResponse, private readonly model: string) {}

    text(content: string): void {
        this.content += content;
    }

    end(usage: EngineUsage): void {
        sendJson(this.res, 200, {
            object: "chat.completion",
            model: this.model,
            choices: [{ index: 0, message: { role: "assistant", content: this.content }, finish_reason: "stop" }],
            usage: renderUsage(usage),
        });
    }
}
