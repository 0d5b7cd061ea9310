/** Schemas of the request bodies that callers send. */
import { messageSchema } from "@marigolddrift/common";
import { z } from "zod";

/** Body of `POST /v1/programs`. */
export const openBodySchema = z.strictObject({
    agent: z.string(),
    /** Workspace of the caller; if given, it must be the one that the key belongs to. */
    workspace: z.string().optional(),
    /** Tokens that the program may spend. */
    budget: z.number().int().min(1).optional(),
    /** Seconds that the program may take. */
    deadline_seconds: z.number().min(1).max(86_400).optional(),
});

const engineOptions = {
    temperature: z.number(),
    top_p: z.number(),
    seed: z.number().int(),
    stop: z.union([z.string(), z.array(z.string())]),
    presence_penalty: z.number(),
    frequency_penalty: z.number(),
    response_format: z.record(z.string(), z.unknown()),
    tools: z.array(z.unknown()),
    tool_choice: z.unknown(),
    logit_bias: z.record(z.string(), z.number()),
};

/** Names of the fields that go to the engine unchanged. */
export const engineOptionNames = Object.keys(engineOptions);

/** Body of `POST /v1/chat/completions`. */
export const chatBodySchema = z.strictObject({
    ...z.object(engineOptions).partial().shape,
    model: z.string().optional(),
    messages: z.array(messageSchema).min(1),
    max_tokens: z.number().int().min(1).optional(),
    max_completion_tokens: z.number().int().min(1).optional(),
    stream: z.boolean().default(false),
    stream_options: z.looseObject({}).optional(),
    user: z.string().optional(),
    n: z.literal(1).optional(),
    /** Program and call, for clients that cannot set headers, and the tool that the program runs next. */
    metadata: z.strictObject({
        program: z.string().optional(),
        call: z.coerce.number().int().min(1).optional(),
        extends: z.string().optional(),
        next_tool: z.string().max(64).optional(),
    }).default({}),
});
export type ChatBody = z.infer<typeof chatBodySchema>;
