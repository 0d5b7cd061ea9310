/** The durable record of one slot and its pure transitions. */
import { ProblemError } from "@marigolddrift/common";
import { z } from "zod";

const handedOverSchema = z.strictObject({
    /** Epoch of the owner that handed the program over; only its direct successor may use what follows. */
    epoch: z.number().int(),
    nextCall: z.number().int().min(1),
    turns: z.number().int().min(0),
    historyDigest: z.string(),
    historyLength: z.number().int().min(0),
    historyTokens: z.number().int().min(0),
});
export type HandedOver = z.infer<typeof handedOverSchema>;

const programEntrySchema = z.strictObject({
    /** Tokens that the store knows to be reserved; after a change of owner they count as spent. */
    reserved: z.number().int().min(0),
    deadline: z.number().int(),
    ended: z.boolean(),
    handedOver: handedOverSchema.optional(),
});
export type ProgramEntry = z.infer<typeof programEntrySchema>;

const outcomeSchema = z.strictObject({
    status: z.number().int(),
    contentType: z.string(),
    /** Absent if the body was too large to be kept. */
    body: z.string().optional(),
});
export type Outcome = z.infer<typeof outcomeSchema>;

const intentSchema = z.strictObject({
    /** Digest of the request, which tells a repeat from a different request under the same key. */
    request: z.string(),
    /** Time of the intent, in epoch milliseconds. */
    at: z.number().int(),
    outcome: outcomeSchema.optional(),
});
export type Intent = z.infer<typeof intentSchema>;

export const slotRecordSchema = z.strictObject({
    slot: z.number().int().min(0),
    /** Raised by each change of owner; the fencing token. */
    epoch: z.number().int().min(1),
    /** Instance that owns the slot; empty after a hand-over. */
    owner: z.string(),
    /** Identifies the write that stored this record. */
    nonce: z.string(),
    programs: z.record(z.string(), programEntrySchema),
    intents: z.record(z.string(), intentSchema),
});
export type SlotRecord = z.infer<typeof slotRecordSchema>;

/** Largest packed record that is written; the store holds values up to a megabyte. */
export const maxRecordBytes = 900_000;

/** Largest body that is kept as the outcome of a call. */
export const maxOutcomeBytes = 4096;

/** Age at which the body of an outcome is dropped, in milliseconds. */
const outcomeBodyRetentionMs = 600_000;

/** Record of a slot that never had an owner; its first owner takes over from epoch 0. */
const unowned = (slot: number): SlotRecord => ({ slot, epoch: 0, owner: "", nonce: "", programs: {}, intents: {} });

/** Makes an instance the owner under the next epoch. */
export const takeOver = (record: SlotRecord | undefined, slot: number, owner: string): SlotRecord => {
    const from = record ?? unowned(slot);
    return { ...from, epoch: from.epoch + 1, owner };
};

/** Gives a slot up, so that the next owner need not wait for a lease to lapse. */
export const handOver = (record: SlotRecord): SlotRecord => ({ ...record, owner: "" });

/** What the former owner handed over of a program, unless another owner came in between. */
export const handedOverOf = (record: SlotRecord, program: string): HandedOver | undefined => {
    const handed = record.programs[program]?.handedOver;
    return handed?.epoch === record.epoch - 1 ? handed : undefined;
};

/** Raises the reserved tokens of a program. */
export const reserve = (record: SlotRecord, program: string, reserved: number, deadline: number): SlotRecord => {
    const entry = record.programs[program] ?? { reserved: 0, deadline, ended: false };
    const next = { ...entry, reserved: Math.max(entry.reserved, reserved) };
    return { ...record, programs: { ...record.programs, [program]: next } };
};

/** Marks a program as ended, so that no later owner serves it. */
export const endProgram = (record: SlotRecord, program: string, deadline: number): SlotRecord => {
    const entry = record.programs[program] ?? { reserved: 0, deadline, ended: true };
    return { ...record, programs: { ...record.programs, [program]: { ...entry, ended: true } } };
};

/** What the ledger knows of a call that must not be repeated. */
export type IntentLookup =
    | { readonly kind: "new"; }
    | { readonly kind: "unresolved"; readonly intent: Intent; }
    | { readonly kind: "concluded"; readonly intent: Intent; readonly outcome: Outcome; }
    | { readonly kind: "conflict"; };

/** Looks a call up before it is dispatched. */
export const lookupIntent = (record: SlotRecord, key: string, request: string): IntentLookup => {
    const intent = record.intents[key];
    if (intent === undefined) {
        return { kind: "new" };
    }
    if (intent.request !== request) {
        return { kind: "conflict" };
    }
    return intent.outcome === undefined ?
        { kind: "unresolved", intent } :
        { kind: "concluded", intent, outcome: intent.outcome };
};

/** Writes an intent; the call may be dispatched once the record is stored. */
export const intend = (record: SlotRecord, key: string, request: string, at: number): SlotRecord => {
    if (record.intents[key] !== undefined) {
        throw new ProblemError("outcome_unknown", "mayHaveRun", `An intent for key ${key} already exists.`);
    }
    return { ...record, intents: { ...record.intents, [key]: { request, at } } };
};

/** Adds the outcome of a call. */
export const conclude = (record: SlotRecord, key: string, outcome: Outcome): SlotRecord => {
    const intent = record.intents[key];
    if (intent === undefined) {
        return record;
    }
    const kept = (outcome.body?.length ?? 0) > maxOutcomeBytes ? { ...outcome, body: undefined } : outcome;
    return { ...record, intents: { ...record.intents, [key]: { ...intent, outcome: withoutUndefined(kept) } } };
};

/** Removes the intent of a call that provably did not run. */
export const withdraw = (record: SlotRecord, key: string): SlotRecord => {
    const { [key]: removed, ...intents } = record.intents;
    return removed === undefined || removed.outcome !== undefined ? record : { ...record, intents };
};

/** Forgets programs past their deadline, bodies of older outcomes, and intents past the retention. */
export const compact = (record: SlotRecord, now: number, retentionMs: number): SlotRecord => {
    const programs = Object.entries(record.programs).filter(([, entry]) => entry.deadline > now);
    const intents = Object.entries(record.intents)
        .filter(([, intent]) => intent.at + retentionMs > now)
        .map(([key, intent]) =>
            [key, intent.at + outcomeBodyRetentionMs > now ? intent : withoutBody(intent)] as const
        );
    return { ...record, programs: Object.fromEntries(programs), intents: Object.fromEntries(intents) };
};

const withoutBody = (intent: Intent): Intent =>
    intent.outcome === undefined ?
        intent :
        { ...intent, outcome: withoutUndefined({ ...intent.outcome, body: undefined }) };

const withoutUndefined = (
    { body, ...rest }: { status: number; contentType: string; body?: string | undefined; },
): Outcome => body === undefined ? rest : { ...rest, body };
