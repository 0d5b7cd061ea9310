/** Schemas of the messages between daemons; each message is validated on receipt. */
import { z } from "zod";

import { answerEventSchema, ownerRequestSchema } from "../calls.js";

/** Protocol version; both sides must use the same one. */
export const protocolVersion = 1;

const id = z.number().int().min(0);
const shortString = z.string().max(200);

/** First message of the accepting side. */
export const challengeSchema = z.strictObject({
    type: z.literal("challenge"),
    version: z.number().int(),
    nonce: shortString,
});

/** First message of the connecting side. */
export const helloSchema = z.strictObject({
    type: z.literal("hello"),
    version: z.number().int(),
    instance: shortString,
    zone: shortString,
    region: shortString,
    address: shortString,
    nonce: shortString,
    /** Proof that the connecting side has the shared key. */
    mac: shortString,
});
export type Hello = z.infer<typeof helloSchema>;

/** Second message of the accepting side, with its proof that it has the shared key. */
export const welcomeSchema = z.strictObject({ type: z.literal("welcome"), instance: shortString, mac: shortString });

/** Load of one worker, as read by one instance. */
export const workerLoadSchema = z.strictObject({
    worker: shortString,
    running: z.number(),
    waiting: z.number(),
    heldTokens: z.number(),
    memoryTokens: z.number(),
    /** Age of the load report when the heartbeat was sent. */
    ageMs: z.number(),
    leaving: z.boolean(),
    models: z.array(shortString).max(100),
});
export type WorkerLoad = z.infer<typeof workerLoadSchema>;

export const heartbeatSchema = z.strictObject({
    type: z.literal("heartbeat"),
    leaving: z.boolean(),
    bundle: z.number().int().min(0),
    slotsVersion: z.number().int().min(0),
    /** Time until the sender's next heartbeat to the receiver. */
    periodMs: z.number().min(0),
    loads: z.array(workerLoadSchema).max(1000),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** All slots that the sender owns, as a flat list of alternating slots and epochs. */
export const slotsSchema = z.strictObject({
    type: z.literal("slots"),
    version: z.number().int().min(0),
    owned: z.array(z.number().int().min(0)),
});

/** Upstreams that started to leave or have returned. */
export const upstreamStateSchema = z.strictObject({
    type: z.literal("upstreams"),
    states: z.array(z.strictObject({
        address: shortString,
        leaving: z.boolean(),
        /** Source of the state; an upstream counts as leaving while at least one source reports it so. */
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

/** Reply to a call for a slot that the receiver does not own; `owner` is the owner, if the receiver knows it. */
export const notOwnerSchema = z.strictObject({ type: z.literal("notOwner"), id, owner: shortString.optional() });

/** Control requests, each of which gets exactly one reply. */
export const controlRequestSchema = z.strictObject({
    type: z.literal("ask"),
    id,
    ask: z.discriminatedUnion("kind", [
        z.strictObject({ kind: z.literal("handOver"), slot: z.number().int().min(0) }),
        z.strictObject({ kind: z.literal("bundle") }),
        z.strictObject({ kind: z.literal("live"), programs: z.array(z.string().max(2000)).max(5000) }),
    ]),
});
export const controlReplySchema = z.strictObject({ type: z.literal("reply"), id, value: z.unknown() });

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
    controlRequestSchema,
    controlReplySchema,
]);
export type PeerMessage = z.infer<typeof peerMessageSchema>;
export type ControlRequest = z.infer<typeof controlRequestSchema>["ask"];
