/** Protocol for writing a slot record: compare-and-swap by revision; a write without reply is resolved by reading back. */
import type { SlotRecord } from "./slotRecord.js";

/** A slot record with the revision of its last write. */
export interface StoredRecord {
    readonly record: SlotRecord;
    /** Store revision at which the record was written; 0 if the store has no record. */
    readonly revision: number;
}

/**
 * State of an owner's writes to its slot.
 *
 * - `idle`: no write is pending.
 * - `writing`: a write was sent or must be sent.
 * - `unknown`: a write got no reply; it may or may not have been applied.
 * - `lost`: another owner has written the record.
 */
export type WriterState =
    | { readonly kind: "idle"; readonly stored: StoredRecord; }
    | { readonly kind: "writing"; readonly stored: StoredRecord; readonly next: SlotRecord; }
    | { readonly kind: "unknown"; readonly stored: StoredRecord; readonly next: SlotRecord; }
    | { readonly kind: "lost"; };

/** Initial state, from a record that was read from or written to the store. */
export const openWriter = (stored: StoredRecord): WriterState => ({ kind: "idle", stored });

/** Starts a write if none is pending; the store must apply it only if the record's revision is still `stored.revision`. */
export const beginWrite = (state: WriterState, next: SlotRecord, nonce: string): WriterState =>
    state.kind === "idle" ? { kind: "writing", stored: state.stored, next: { ...next, nonce } } : state;

/** Handles the store's confirmation that the write was applied. */
export const onApplied = (state: WriterState, revision: number): WriterState =>
    state.kind === "writing" ? { kind: "idle", stored: { record: state.next, revision } } : state;

/** Handles a write without reply, which may have been applied or may still be applied later. */
export const onNoReply = (state: WriterState): WriterState =>
    state.kind === "writing" ? { ...state, kind: "unknown" } : state;

/** Handles a revision conflict: either an earlier attempt of the same write was applied, or the slot is lost. */
export const onConflict = (state: WriterState, current: StoredRecord | undefined): WriterState =>
    state.kind === "writing" ? resolveWrite(state.stored, state.next, current) : state;

/** Handles the record that was read back after a write without reply. */
export const onReadBack = (state: WriterState, current: StoredRecord | undefined): WriterState =>
    state.kind === "unknown" ? resolveWrite(state.stored, state.next, current) : state;

/** The nonce identifies the write that stored the current record; an unchanged revision means that the write must be retried. */
const resolveWrite = (stored: StoredRecord, next: SlotRecord, current: StoredRecord | undefined): WriterState => {
    if (current !== undefined && current.record.nonce === next.nonce) {
        return { kind: "idle", stored: current };
    }
    if ((current?.revision ?? 0) === stored.revision) {
        return { kind: "writing", stored, next };
    }
    return { kind: "lost" };
};
