/** Stored record of a program's token budget, and the size of the allocations that instances make from it. */
import { Packr } from "msgpackr";

/** A program's budget as stored. */
export interface BudgetRecord {
    /** Tokens that the program may generate. */
    readonly total: number;
    /** Tokens that are allocated and not returned, by holder. */
    readonly taken: Readonly<Record<string, number>>;
    /** Makes each written value unique. */
    readonly nonce: string;
}

const packr = new Packr({ useRecords: false });

/** Encodes a budget record. */
export const packBudget = (record: BudgetRecord): Buffer => packr.pack(record);

/** Decodes a budget record. */
export const unpackBudget = (bytes: Buffer): BudgetRecord => packr.unpack(bytes) as BudgetRecord;

/** Tokens that are not allocated to any instance. */
export const unallocatedTokens = (record: BudgetRecord): number =>
    record.total - Object.values(record.taken).reduce((sum, tokens) => sum + tokens, 0);

/** Turns that are left besides what an instance holds in advance, for the time after a crash in which that is lost. */
const minFreeTurns = 2;

/** Share of what a program has left that an instance may hold in advance. */
const heldShare = 1 / 4;

/** Limits of that share, in turns: sub-agents run several turns at once. */
const minHeldTurns = 2;
const maxHeldTurns = 8;

/**
 * Number of tokens that an instance may hold for turns to come, so that few turns wait for a write. They count as spent if
 * the instance crashes.
 *
 * @param left Tokens that are neither spent nor reserved, wherever they are.
 * @example
 * maxHeldTokens(3_456, 288) === 864;
 */
export const maxHeldTokens = (left: number, turnTokens: number): number => {
    const share = Math.max(minHeldTurns * turnTokens, Math.floor(left * heldShare));
    return Math.max(0, Math.min(share, maxHeldTurns * turnTokens, left - minFreeTurns * turnTokens));
};

/** Number of tokens to allocate so that a turn can reserve `needed` tokens; 0 if the budget is insufficient. */
export const nextAllocationTokens = (unallocated: number, needed: number, available: number): number => {
    const left = unallocated + available;
    return left < needed ? 0 : Math.max(needed, maxHeldTokens(left, needed)) - available;
};
