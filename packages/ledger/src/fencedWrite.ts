/** The protocol by which one owner writes one slot: compare-and-swap, with lost replies settled by reading back. */
import type { SlotRecord } from "./slotRecord.js";

/** A record as the store holds it. */
export interface StoredRecord {
    readonly record: SlotRecord;
    /** Revision of the store at which the record was written; 0 if there is none. */
    readonly revision: number;
}

/** An owner's knowledge of its slot. */
export type WriterState =
    | { readonly kind: "idle"; readonly stored: StoredRecord; }
    | { readonly kind: "writing"; readonly stored: StoredRecord; readonly next: SlotRecord; }
    | { readonly kind: "unknown"; readonly stored: StoredRecord; readonly next: SlotRecord; }
    | { readonly kind: "lost"; };

/** Starts from a record that was read from, or written to, the store. */
export const openWriter = (stored: StoredRecord): WriterState => ({ kind: "idle", stored });

/** Begins a write; the store must apply it only if the revision is still `stored.revision`. */
export const beginWrite = (state: WriterState, next: SlotRecord, nonce: string): WriterState =>
    state.kind === "idle" ? { kind: "writing", stored: state.stored, next: { ...next, nonce } } : state;

/** The store applied the write. */
export const onApplied = (state: WriterState, revision: number): WriterState =>
    state.kind === "writing" ? { kind: "idle", stored: { record: state.next, revision } } : state;

/** No reply came; the write may or may not have been applied, and may still be. */
export const onNoReply = (state: WriterState): WriterState =>
    state.kind === "writing" ? { ...state, kind: "unknown" } : state;

/** The store refused the write because the revision differs: either an earlier attempt was applied, or the slot is lost. */
export const onRefused = (state: WriterState, current: StoredRecord | undefined): WriterState =>
    state.kind === "writing" ? settle(state.stored, state.next, current) : state;

/** The record was read after a write without reply. */
export const onReadBack = (state: WriterState, current: StoredRecord | undefined): WriterState =>
    state.kind === "unknown" ? settle(state.stored, state.next, current) : state;

const settle = (stored: StoredRecord, next: SlotRecord, current: StoredRecord | undefined): WriterState => {
    if (current !== undefined && current.record.nonce === next.nonce) {
        return { kind: "idle", stored: current };
    }
    if ((current?.revision ?? 0) === stored.revision) {
        return { kind: "writing", stored, next };
    }
    return { kind: "lost" };
};
