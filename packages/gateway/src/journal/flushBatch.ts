/** Chooses the turns that are written to the platform's store in one call. */
import type { JournaledTurn } from "../peers/peerMessages.js";
import type { LogPlace } from "./diskLog.js";

/** Limits of one store call; the store accepts up to 32 entries. */
const maxBatchTurns = 32;
const maxBatchBytes = 256 * 1024;

/** A turn that is on the disk and not yet known to be in the store. */
export interface UnflushedTurn extends Omit<JournaledTurn, "record"> {
    /** Where the turn is on the disk. */
    readonly place: LogPlace;
    /** Size of its record. */
    readonly bytes: number;
    /** Position among the holders that flush the turn. */
    readonly position: number;
    /** Monotonic time at which this machine flushes the turn. */
    readonly dueAt: number;
    /** Whether the store has refused the turn by itself, so that it is not sent together with others. */
    readonly isRefused: boolean;
}

/**
 * Returns the turns to flush now, in batches. If any is due, all others that this machine flushes first go with it, since they
 * become due soon anyway.
 *
 * @param now Monotonic time.
 */
export const dueBatches = (turns: readonly UnflushedTurn[], now: number): UnflushedTurn[][] =>
    turns.some(({ dueAt }) => dueAt <= now) ?
        batchesOf(turns.filter(({ dueAt, position, isRefused }) => dueAt <= now || (position === 0 && !isRefused))) :
        [];

/**
 * Divides turns into batches within the limits of a store call.
 *
 * @example
 * for (const batch of batchesOf(turns)) { await write(batch); }
 */
export const batchesOf = (turns: readonly UnflushedTurn[]): UnflushedTurn[][] => {
    const batches: UnflushedTurn[][] = [];
    let bytes = 0;
    for (const turn of turns) {
        const batch = batches.at(-1);
        bytes += turn.bytes;
        const isFull = batch === undefined || batch.length >= maxBatchTurns || bytes > maxBatchBytes;
        if (isFull || turn.isRefused || batch[0]!.isRefused) {
            batches.push([turn]);
            bytes = turn.bytes;
        }
        else {
            batch.push(turn);
        }
    }
    return batches;
};
