/** Encoding of what a journal writes to its disk. */
import { Packr } from "msgpackr";

import type { JournaledTurn } from "../peers/peerMessages.js";

/** An entry of the log: a turn, or the ids of turns that have been flushed. */
export type JournalEntry = { readonly turn: JournaledTurn; } | { readonly flushed: readonly string[]; };

const packr = new Packr({ useRecords: false });

/**
 * Encodes an entry.
 *
 * @example
 * unpackEntry(packEntry({ flushed: ["t1"] }));
 */
export const packEntry = (entry: JournalEntry): Buffer => packr.pack(entry);

/**
 * Decodes an entry that {@link packEntry} has encoded.
 *
 * @example
 * const entry = unpackEntry(payload);
 */
export const unpackEntry = (payload: Uint8Array): JournalEntry => packr.unpack(payload) as JournalEntry;
