/** Durable record of one slot, and its transitions as pure functions. */
import { ProblemError } from "@marigolddrift/common";
import { z } from "zod";

const handedOverSchema = z.strictObject({
    /** Epoch of the owner that stored this state; only the owner with the next epoch may use it. */
    epoch: z.number().int(),
    nextCall: z.number().int().min(1),
    turns: z.number().int().min(0),
    historyDigest: z.string(),
    historyLength: z.number().int().min(0),
    historyTokens: z.number().int().min(0),
});
export type HandoverState = z.infer<typeof handedOverSchema>;

const programEntrySchema = z.strictObject({
    /** Tokens reserved in the store; after a change of owner they count as spent. */
    reserved: z.number().int().min(0),
    deadline: z.number().int(),
    ended: z.boolean(),
    handedOver: handedOverSchema.optional(),
});
export type ProgramEntry = z.infer<typeof programEntrySchema>;

const outcomeSchema = z.strictObject({
    status: z.number().int(),
    contentType: z.string(),
    /** Absent if the body exceeded `maxOutcomeBytes` or was removed by compaction. */
    body: z.string().optional(),
});
export type Outcome = z.infer<typeof outcomeSchema>;

const intentSchema = z.strictObject({
    /** Digest of the request; distinguishes a retry from a different request with the same key. */
    request: z.string(),
    /** Creation time of the intent, in epoch milliseconds. */
    at: z.number().int(),
    outcome: outcomeSchema.optional(),
});
export type Intent = z.infer<typeof intentSchema>;

export const slotRecordSchema = z.strictObject({
    slot: z.number().int().min(0),
    /** Fencing token; incremented by each change of owner. */
    epoch: z.number().int().min(1),
    /** Instance that owns the slot; empty after the owner has released it. */
    owner: z.string(),
    /** Identifies the write that stored this record. */
    nonce: z.string(),
    programs: z.record(z.string(), programEntrySchema),
    intents: z.record(z.string(), intentSchema),
});
export type SlotRecord = z.infer<typeof slotRecordSchema>;

/** Maximum size of a serialized record; the store accepts values up to 1 MB. */
export const maxRecordBytes = 900_000;

/** Maximum size of a response body that is stored in the outcome of a call. */
export const maxOutcomeBytes = 4096;

/** Age at which compaction removes the body of an outcome. */
const outcomeBodyRetentionMs = 600_000;

/** Initial record of a slot, with epoch 0; its first owner gets epoch 1. */
const unownedRecord = (slot: number): SlotRecord => ({
    slot,
    epoch: 0,
    owner: "",
    nonce: "",
    programs: {},
    intents: {},
});

/** Makes an instance the owner and increments the epoch. */
export const claimSlot = (record: SlotRecord | undefined, slot: number, owner: string): SlotRecord => {
    const from = record ?? unownedRecord(slot);
    return { ...from, epoch: from.epoch + 1, owner };
};

/** Releases the slot, so that the next owner need not wait for the lease to expire. */
export const releaseSlot = (record: SlotRecord): SlotRecord => ({ ...record, owner: "" });

/** Handover state that the previous owner stored for a program; ignored if another owner has claimed the slot since. */
export const handoverStateOf = (record: SlotRecord, program: string): HandoverState | undefined => {
    const state = record.programs[program]?.handedOver;
    return state?.epoch === record.epoch - 1 ? state : undefined;
};

/** Raises a program's reserved tokens to at least the given number. */
export const raiseReservation = (
    record: SlotRecord,
    program: string,
    reserved: number,
    deadline: number,
): SlotRecord => {
    const entry = record.programs[program] ?? { reserved: 0, deadline, ended: false };
    const next = { ...entry, reserved: Math.max(entry.reserved, reserved) };
    return { ...record, programs: { ...record.programs, [program]: next } };
};

/** Marks a program as ended, so that subsequent owners reject its calls. */
export const endProgram = (record: SlotRecord, program: string, deadline: number): SlotRecord => {
    const entry = record.programs[program] ?? { reserved: 0, deadline, ended: true };
    return { ...record, programs: { ...record.programs, [program]: { ...entry, ended: true } } };
};

/**
 * Result of looking up a non-idempotent call in the record.
 *
 * - `new`: there is no intent for the key.
 * - `unresolved`: the call may have run; its outcome is not stored.
 * - `concluded`: the call ran, and its outcome is stored.
 * - `conflict`: the key was used for a different request.
 */
export type IntentLookup =
    | { readonly kind: "new"; }
    | { readonly kind: "unresolved"; readonly intent: Intent; }
    | { readonly kind: "concluded"; readonly intent: Intent; readonly outcome: Outcome; }
    | { readonly kind: "conflict"; };

/** Looks up a call by its idempotency key before it is dispatched. */
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

/** Adds an intent; the call must not be dispatched before the record is stored. */
export const addIntent = (record: SlotRecord, key: string, request: string, at: number): SlotRecord => {
    if (record.intents[key] !== undefined) {
        throw new ProblemError("outcome_unknown", "mayHaveRun", `An intent for key ${key} already exists.`);
    }
    return { ...record, intents: { ...record.intents, [key]: { request, at } } };
};

/** Adds the outcome of a call to its intent. */
export const recordOutcome = (record: SlotRecord, key: string, outcome: Outcome): SlotRecord => {
    const intent = record.intents[key];
    if (intent === undefined) {
        return record;
    }
    const storedOutcome = (outcome.body?.length ?? 0) > maxOutcomeBytes ? { ...outcome, body: undefined } : outcome;
    return {
        ...record,
        intents: { ...record.intents, [key]: { ...intent, outcome: withoutUndefined(storedOutcome) } },
    };
};

/** Removes the intent of a call that is known not to have run. */
export const removeIntent = (record: SlotRecord, key: string): SlotRecord => {
    const { [key]: removed, ...intents } = record.intents;
    return removed === undefined || removed.outcome !== undefined ? record : { ...record, intents };
};

/** Removes programs past their deadline, intents past the retention period, and response bodies older than 10 minutes. */
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
