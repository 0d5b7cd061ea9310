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

/** Up to this many turns, the unallocated budget is not split by share, since an allocation might not hold a turn. */
const smallBudgetTurns = 3;

/** Share of a larger unallocated budget per allocation; limited because a crash loses the allocation to the program. */
const allocationShare = 0.4;

/** Upper limit of an allocation, in turns. */
const maxAllocationTurns = 4;

/**
 * Number of tokens to allocate so that a turn can reserve `needed` tokens; 0 if the budget is insufficient. Sized for
 * programs of many short turns on several instances that may all crash at once: each allocation costs a store call, and
 * a crash strands the allocated tokens that were not used.
 */
export const nextAllocationTokens = (unallocated: number, needed: number, available: number): number => {
    if (unallocated + available < needed) {
        return 0;
    }
    const targetTokens = unallocated <= smallBudgetTurns * needed ?
        2 * needed :
        Math.max(needed, Math.min(maxAllocationTurns * needed, Math.ceil(unallocated * allocationShare)));
    return Math.min(unallocated, targetTokens - available);
};
