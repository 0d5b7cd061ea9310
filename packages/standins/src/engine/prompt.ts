/** Turns OpenAI-style messages into prompts and deterministic answers of the engine's stand-in. */
import { createHash } from "node:crypto";
import { z } from "zod";

import type { Segment } from "./prefixCache.js";

const bytesPerToken = 4;

export const completionSchema = z.looseObject({
    model: z.string(),
    messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
    max_tokens: z.number().int().min(1).default(256),
    stream: z.boolean().default(false),
    priority: z.number().default(0),
    prompt_cache_key: z.string().default(""),
    continue_final_message: z.boolean().default(false),
});
export type CompletionRequest = z.infer<typeof completionSchema>;

/** A prompt as the engine sees it. */
export interface Prompt {
    readonly segments: readonly Segment[];
    /** Tokens of the answer that the prompt already ends with. */
    readonly resumedTokens: number;
    /** Tokens of the whole answer. */
    readonly answerTokens: number;
    readonly seed: string;
}

const lengthPattern = /\[\[tokens=(\d+)\]\]/;
const defaultAnswerTokens = 48;

const hash = (...parts: readonly string[]): string => createHash("sha1").update(parts.join("\u0000")).digest("hex");

/** Splits a request into segments; the length of the answer follows `[[tokens=N]]` in the last user message. */
export const parsePrompt = (req: CompletionRequest): Prompt => {
    const resumed = req.continue_final_message ? req.messages.at(-1) : undefined;
    const messages = resumed === undefined ? req.messages : req.messages.slice(0, -1);
    const segments: Segment[] = [];
    let chain = req.model;
    for (const message of messages) {
        const text = JSON.stringify([message.role, message.content]);
        chain = hash(chain, text);
        segments.push({ digest: chain, tokens: Math.ceil(Buffer.byteLength(text) / bytesPerToken) });
    }
    const resumedTokens = resumed === undefined ? 0 : Math.floor(String(resumed.content).length / bytesPerToken);
    if (resumedTokens > 0) {
        segments.push({ digest: hash(chain, String(resumed!.content)), tokens: resumedTokens });
    }
    const asked = lengthPattern.exec(JSON.stringify(messages.at(-1)?.content ?? ""))?.[1];
    const total = asked === undefined ? defaultAnswerTokens : Number(asked);
    return { segments, resumedTokens, answerTokens: Math.min(total, req.max_tokens + resumedTokens), seed: chain };
};

/** The token at an index of the answer to a prompt; always four characters, so that text and tokens correspond. */
export const answerToken = (seed: string, index: number): string => ` ${hash(seed, String(index)).slice(0, 3)}`;

/** Tokens `from` up to, but without, `to` of the answer to a prompt. */
export const answerText = (seed: string, from: number, to: number): string => {
    let text = "";
    for (let index = from; index < to; index++) {
        text += answerToken(seed, index);
    }
    return text;
};

/** Digest under which the prompt followed by its answer is cached, equal to that of the next turn's prefix. */
export const answeredDigest = (seed: string, answer: string): string =>
    hash(seed, JSON.stringify(["assistant", answer]));
