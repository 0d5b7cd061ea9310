/** Schemas of the requests to an owner and of the events of its answers; daemons also exchange both. */
import { messageSchema, problemSchema } from "@marigolddrift/common";
import { z } from "zod";

const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, "must be bytes");
const positiveInteger = z.number().int().min(1);

/** A model call of a program. */
export const chatRequestSchema = z.strictObject({
    kind: z.literal("chat"),
    workspace: z.string(),
    program: z.string(),
    /** Number of the call in its program, from 1; the owner assigns one if it is absent. */
    call: positiveInteger.optional(),
    /** Digest of the history that `messages` extend; absent if they are the whole history. */
    extends: z.string().optional(),
    messages: z.array(messageSchema).min(1),
    maxTokens: z.number().int().min(1),
    /** Text of the answer that the caller already has; the engine continues it. */
    resumeText: z.string(),
    resumeTokens: z.number().int().min(0),
    /** Tool that the program runs next, if the caller names it; helps to predict the time until the next call. */
    nextTool: z.string().optional(),
    /** Options for the engine that the scheduler does not interpret. */
    options: z.record(z.string(), z.unknown()),
});
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** A call to a tool or a plain service. */
export const serviceRequestSchema = z.strictObject({
    kind: z.literal("service"),
    workspace: z.string(),
    slot: z.number().int().min(0),
    program: z.string().optional(),
    call: positiveInteger.optional(),
    service: z.string(),
    method: z.string(),
    path: z.string(),
    contentType: z.string(),
    body: bytesSchema,
    /** Idempotency key of the caller. */
    key: z.string().optional(),
});
export type ServiceRequest = z.infer<typeof serviceRequestSchema>;

/** Opens a program on a slot of the receiver. */
export const openRequestSchema = z.strictObject({
    kind: z.literal("open"),
    workspace: z.string(),
    agent: z.string(),
    budget: positiveInteger,
    deadlineMs: positiveInteger,
});
export type OpenRequest = z.infer<typeof openRequestSchema>;

const programRequestSchema = <K extends string>(kind: K) =>
    z.strictObject({ kind: z.literal(kind), workspace: z.string(), program: z.string() });
export const inspectRequestSchema = programRequestSchema("inspect");
export const endRequestSchema = programRequestSchema("end");
export const explainRequestSchema = programRequestSchema("explain");

export const ownerRequestSchema = z.discriminatedUnion("kind", [
    chatRequestSchema,
    serviceRequestSchema,
    openRequestSchema,
    inspectRequestSchema,
    endRequestSchema,
    explainRequestSchema,
]);
export type OwnerRequest = z.infer<typeof ownerRequestSchema>;

/** Token counts of an answer. */
export const usageSchema = z.strictObject({
    promptTokens: z.number().int().min(0),
    completionTokens: z.number().int().min(0),
    cachedTokens: z.number().int().min(0),
});
export type Usage = z.infer<typeof usageSchema>;

/** One event of an answer; `end` is always the last. */
export const answerEventSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("delta"), text: z.string(), tokens: z.number().int().min(0) }),
    z.strictObject({
        kind: z.literal("finish"),
        reason: z.string(),
        usage: usageSchema,
        call: positiveInteger,
        /** Digest of the history including this answer. */
        digest: z.string(),
        budgetLeft: z.number(),
    }),
    z.strictObject({
        kind: z.literal("head"),
        status: z.number().int(),
        contentType: z.string(),
        replayed: z.boolean(),
    }),
    z.strictObject({ kind: z.literal("body"), data: bytesSchema }),
    z.strictObject({ kind: z.literal("json"), status: z.number().int(), value: z.unknown() }),
    z.strictObject({ kind: z.literal("problem"), problem: problemSchema }),
    z.strictObject({ kind: z.literal("end") }),
]);
export type AnswerEvent = z.infer<typeof answerEventSchema>;
