/** Messages between daemons; each is checked by its schema when it arrives. */
import { z } from "zod";

import { answerEventSchema, ownerRequestSchema } from "../calls.js";

/** Version of the protocol; both sides must speak the same. */
export const protocolVersion = 1;

const id = z.number().int().min(0);
const short = z.string().max(200);

/** First message of the accepting side. */
export const challengeSchema = z.strictObject({
    type: z.literal("challenge"),
    version: z.number().int(),
    nonce: short,
});

/** First message of the connecting side. */
export const helloSchema = z.strictObject({
    type: z.literal("hello"),
    version: z.number().int(),
    instance: short,
    zone: short,
    region: short,
    address: short,
    nonce: short,
    /** Proof that the connecting side has the key. */
    mac: short,
});
export type Hello = z.infer<typeof helloSchema>;

/** Proof that the accepting side has the key. */
export const welcomeSchema = z.strictObject({ type: z.literal("welcome"), instance: short, mac: short });

/** Load of one worker, as one instance read it. */
export const loadSchema = z.strictObject({
    worker: short,
    running: z.number(),
    waiting: z.number(),
    heldTokens: z.number(),
    memoryTokens: z.number(),
    /** Age of the report when it was sent, in milliseconds. */
    ageMs: z.number(),
    leaving: z.boolean(),
    models: z.array(short).max(100),
});
export type WorkerLoad = z.infer<typeof loadSchema>;

export const heartbeatSchema = z.strictObject({
    type: z.literal("heartbeat"),
    leaving: z.boolean(),
    bundle: z.number().int().min(0),
    slotsVersion: z.number().int().min(0),
    /** Time until the next heartbeat to the receiver, in milliseconds. */
    periodMs: z.number().min(0),
    loads: z.array(loadSchema).max(1000),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** All slots that the sender owns, as pairs of slot and epoch in one flat list. */
export const slotsSchema = z.strictObject({
    type: z.literal("slots"),
    version: z.number().int().min(0),
    owned: z.array(z.number().int().min(0)),
});

/** Upstreams that were found to be leaving, or to have returned. */
export const upstreamStateSchema = z.strictObject({
    type: z.literal("upstreams"),
    states: z.array(z.strictObject({
        address: short,
        leaving: z.boolean(),
        /** Who says so; an upstream is leaving as long as one source says so. */
        source: z.enum(["list", "report", "operator"]),
    })).max(1000),
});
export type UpstreamNotice = z.infer<typeof upstreamStateSchema>["states"][number];

export const callSchema = z.strictObject({
    type: z.literal("call"),
    id,
    leftMs: z.number().min(0),
    request: ownerRequestSchema,
});
export const cancelSchema = z.strictObject({ type: z.literal("cancel"), id });
export const eventSchema = z.strictObject({ type: z.literal("event"), id, event: answerEventSchema });

/** The receiver does not own the slot; `owner` is who does, as far as it knows. */
export const notOwnerSchema = z.strictObject({ type: z.literal("notOwner"), id, owner: short.optional() });

/** Questions with one reply. */
export const askSchema = z.strictObject({
    type: z.literal("ask"),
    id,
    ask: z.discriminatedUnion("kind", [
        z.strictObject({ kind: z.literal("handOver"), slot: z.number().int().min(0) }),
        z.strictObject({ kind: z.literal("bundle") }),
        z.strictObject({ kind: z.literal("live"), programs: z.array(z.string().max(2000)).max(5000) }),
    ]),
});
export const replySchema = z.strictObject({ type: z.literal("reply"), id, value: z.unknown() });

export const peerMessageSchema = z.discriminatedUnion("type", [
    challengeSchema,
    helloSchema,
    welcomeSchema,
    heartbeatSchema,
    slotsSchema,
    upstreamStateSchema,
    callSchema,
    cancelSchema,
    eventSchema,
    notOwnerSchema,
    askSchema,
    replySchema,
]);
export type PeerMessage = z.infer<typeof peerMessageSchema>;
export type Ask = z.infer<typeof askSchema>["ask"];
