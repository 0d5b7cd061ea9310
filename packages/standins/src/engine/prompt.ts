/** Converts OpenAI-style messages to prompts and generates the engine stand-in's deterministic answers. */
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

/** A tokenized prompt and the answer to generate for it. */
export interface Prompt {
    readonly segments: readonly Segment[];
    /** Tokens of the partial answer at the end of the prompt, which generation continues. */
    readonly resumedTokens: number;
    /** Tokens of the whole answer, including the resumed ones. */
    readonly answerTokens: number;
    readonly seed: string;
}

const answerLengthPattern = /\[\[tokens=(\d+)\]\]/;
const defaultAnswerTokens = 48;

const hash = (...parts: readonly string[]): string => createHash("sha1").update(parts.join("\u0000")).digest("hex");

/** Splits a request into segments. `[[tokens=N]]` in the last user message sets the length of the answer. */
export const parsePrompt = (req: CompletionRequest): Prompt => {
    const resumed = req.continue_final_message ? req.messages.at(-1) : undefined;
    const messages = resumed === undefined ? req.messages : req.messages.slice(0, -1);
    const segments: Segment[] = [];
    let prefixDigest = req.model;
    for (const message of messages) {
        const text = JSON.stringify([message.role, message.content]);
        prefixDigest = hash(prefixDigest, text);
        segments.push({ digest: prefixDigest, tokens: Math.ceil(Buffer.byteLength(text) / bytesPerToken) });
    }
    const resumedTokens = resumed === undefined ? 0 : Math.floor(String(resumed.content).length / bytesPerToken);
    if (resumedTokens > 0) {
        segments.push({ digest: hash(prefixDigest, String(resumed!.content)), tokens: resumedTokens });
    }
    const requestedTokens = answerLengthPattern.exec(JSON.stringify(messages.at(-1)?.content ?? ""))?.[1];
    const fullAnswerTokens = requestedTokens === undefined ? defaultAnswerTokens : Number(requestedTokens);
    return {
        segments,
        resumedTokens,
        answerTokens: Math.min(fullAnswerTokens, req.max_tokens + resumedTokens),
        seed: prefixDigest,
    };
};

/** Returns the answer token at an index. Tokens always have four characters, so text length gives the token count. */
export const answerToken = (seed: string, index: number): string => ` ${hash(seed, String(index)).slice(0, 3)}`;

/** Returns the answer text from token `from` (inclusive) to token `to` (exclusive). */
export const answerText = (seed: string, from: number, to: number): string => {
    let text = "";
    for (let index = from; index < to; index++) {
        text += answerToken(seed, index);
    }
    return text;
};

/** Digest of a prompt followed by its answer; equals the digest of the same prefix in the next turn's prompt. */
export const answeredDigest = (seed: string, answer: string): string =>
    hash(seed, JSON.stringify(["assistant", answer]));
