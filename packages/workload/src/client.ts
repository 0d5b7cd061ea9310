/** HTTP client of the daemons, for the demo, tests and benchmarks. */
import type { Message, Problem } from "@marigolddrift/common";
import { Agent, request } from "undici";

/** The result of a model call. */
export interface ChatAnswer {
    readonly status: number;
    readonly text: string;
    readonly call: number;
    readonly digest: string;
    readonly cachedTokens: number;
    readonly promptTokens: number;
    readonly completionTokens: number;
    readonly problem: Problem | undefined;
    /** Time to the first token; only measured for streams. */
    readonly firstTokenMs: number;
    readonly gapsMs: readonly number[];
}

/** Options of a model call. */
export interface ChatOptions {
    readonly call?: number;
    readonly extends?: string;
    readonly maxTokens?: number;
    readonly stream?: boolean;
    readonly timeoutSeconds?: number;
    readonly nextTool?: string;
    readonly signal?: AbortSignal;
}

interface CompletionBody {
    readonly choices: readonly {
        readonly message?: { readonly content: string; };
        readonly delta?: { readonly content?: string; };
    }[];
    readonly usage?: {
        readonly prompt_tokens: number;
        readonly completion_tokens: number;
        readonly prompt_tokens_details: { readonly cached_tokens: number; };
    };
    readonly program?: { readonly call: number; readonly digest: string; };
}

/** Calls daemons with one workspace key; each call names the daemon's URL. */
export class Client {
    private readonly agent = new Agent({ connections: 256, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

    constructor(private readonly key: string) {}

    async close(): Promise<void> {
        await this.agent.destroy();
    }

    /** Opens a program. Returns its id, or an empty id and the problem. */
    async open(url: string, body: object): Promise<{ id: string; problem: Problem | undefined; }> {
        const { status, value } = await this.json("POST", `${url}/v1/programs`, body);
        return status === 200 ?
            { id: (value as { id: string; }).id, problem: undefined } :
            { id: "", problem: value as Problem };
    }

    async end(url: string, id: string): Promise<number> {
        return (await this.json("DELETE", `${url}/v1/programs/${id}`)).status;
    }

    async inspect(url: string, id: string): Promise<{ status: number; value: unknown; }> {
        return await this.json("GET", `${url}/v1/programs/${id}`);
    }

    async service(
        url: string,
        path: string,
        headers: Record<string, string>,
        body: object = {},
    ): Promise<{ status: number; value: unknown; replayed: boolean; }> {
        const res = await request(`${url}/v1/services/${path}`, {
            method: "POST",
            headers: { ...this.headers(), ...headers },
            body: JSON.stringify(body),
            dispatcher: this.agent,
        });
        const text = await res.body.text();
        return {
            status: res.statusCode,
            value: parseJsonOrText(text),
            replayed: res.headers["idempotency-replayed"] === "true",
        };
    }

    async chat(
        url: string,
        program: string,
        messages: readonly Message[],
        options: ChatOptions = {},
    ): Promise<ChatAnswer> {
        const startedAt = performance.now();
        const res = await request(`${url}/v1/chat/completions`, {
            method: "POST",
            headers: { ...this.headers(), "program-id": program, ...chatHeaders(options) },
            body: JSON.stringify({
                messages,
                max_tokens: options.maxTokens ?? 64,
                stream: options.stream ?? false,
                ...(options.nextTool === undefined ? {} : { metadata: { next_tool: options.nextTool } }),
            }),
            dispatcher: this.agent,
            ...(options.signal === undefined ? {} : { signal: options.signal }),
        });
        if (res.statusCode !== 200) {
            return {
                ...emptyAnswer,
                status: res.statusCode,
                problem: parseJsonOrText(await res.body.text()) as Problem,
            };
        }
        if (options.stream === true) {
            return await readStream(res.body, startedAt);
        }
        const body = await res.body.json() as CompletionBody;
        return { ...emptyAnswer, status: 200, ...answerDetails(body), text: body.choices[0]?.message?.content ?? "" };
    }

    private headers(): Record<string, string> {
        return { "content-type": "application/json", "authorization": `Bearer ${this.key}` };
    }

    private async json(
        method: "GET" | "POST" | "DELETE",
        url: string,
        body?: object,
    ): Promise<{ status: number; value: unknown; }> {
        const res = await request(url, {
            method,
            headers: this.headers(),
            body: body === undefined ? null : JSON.stringify(body),
            dispatcher: this.agent,
        });
        return { status: res.statusCode, value: parseJsonOrText(await res.body.text()) };
    }
}

const emptyAnswer: ChatAnswer = {
    status: 0,
    text: "",
    call: 0,
    digest: "",
    cachedTokens: 0,
    promptTokens: 0,
    completionTokens: 0,
    problem: undefined,
    firstTokenMs: 0,
    gapsMs: [],
};

const parseJsonOrText = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
};

const chatHeaders = (options: ChatOptions): Record<string, string> => ({
    ...(options.call === undefined ? {} : { "program-call": String(options.call) }),
    ...(options.extends === undefined ? {} : { "program-extends": options.extends }),
    ...(options.timeoutSeconds === undefined ? {} : { "request-timeout": String(options.timeoutSeconds) }),
});

const answerDetails = (body: CompletionBody) => ({
    call: body.program?.call ?? 0,
    digest: body.program?.digest ?? "",
    cachedTokens: body.usage?.prompt_tokens_details.cached_tokens ?? 0,
    promptTokens: body.usage?.prompt_tokens ?? 0,
    completionTokens: body.usage?.completion_tokens ?? 0,
});

const readStream = async (body: AsyncIterable<Buffer>, startedAt: number): Promise<ChatAnswer> => {
    let partialEvent = "";
    let text = "";
    let problem: Problem | undefined;
    let done = false;
    let lastChunk: CompletionBody | undefined;
    let firstTokenMs = 0;
    let previousChunkAt = 0;
    const gapsMs: number[] = [];
    for await (const chunk of body) {
        const events = (partialEvent + chunk.toString()).split("\n\n");
        partialEvent = events.pop() ?? "";
        for (const event of events) {
            const data = event.split("\n").find(line => line.startsWith("data: "))?.slice(6) ?? "";
            if (event.startsWith("event: error")) {
                problem = JSON.parse(data) as Problem;
            }
            else if (data === "[DONE]") {
                done = true;
            }
            else {
                lastChunk = JSON.parse(data) as CompletionBody;
                const delta = lastChunk.choices[0]?.delta?.content ?? "";
                text += delta;
                const now = performance.now();
                if (delta !== "" && firstTokenMs === 0) {
                    firstTokenMs = now - startedAt;
                }
                else if (delta !== "") {
                    gapsMs.push(now - previousChunkAt);
                }
                previousChunkAt = now;
            }
        }
    }
    return {
        ...emptyAnswer,
        status: done ? 200 : 599,
        ...(lastChunk ? answerDetails(lastChunk) : {}),
        text,
        problem,
        firstTokenMs,
        gapsMs,
    };
};
