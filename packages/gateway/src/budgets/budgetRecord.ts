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

/** Turns whose tokens an instance may hold in advance, so that most turns need no write before them. */
const heldTurns = 2;

/** Turns that must be left for other instances; a program with less has to get back all that a crash would strand. */
const minUnallocatedTurns = 4;

/**
 * Number of tokens that an instance may hold for turns to come. They count as spent if the instance crashes, so that there are
 * none once the program has few turns left.
 *
 * @param left Tokens that are neither spent nor reserved, wherever they are.
 * @example
 * maxHeldTokens(2_304, 288) === 576;
 */
export const maxHeldTokens = (left: number, turnTokens: number): number =>
    left >= (heldTurns + minUnallocatedTurns) * turnTokens ? heldTurns * turnTokens : 0;

/** Number of tokens to allocate so that a turn can reserve `needed` tokens; 0 if the budget is insufficient. */
export const nextAllocationTokens = (unallocated: number, needed: number, available: number): number => {
    const left = unallocated + available;
    return left < needed ? 0 : Math.max(needed, maxHeldTokens(left, needed)) - available;
};
