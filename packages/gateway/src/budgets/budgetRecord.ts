/** The durable record of a program's token budget, and how much of it an instance takes at a time. */
import { Packr } from "msgpackr";

/** What the store holds of a program's budget. */
export interface BudgetRecord {
    /** Tokens that the program may generate. */
    readonly total: number;
    /** Tokens that instances have taken and not returned. */
    readonly taken: Readonly<Record<string, number>>;
    /** Makes each written value unique. */
    readonly nonce: string;
}

const packr = new Packr({ useRecords: false });

/** */
export const packBudget = (record: BudgetRecord): Buffer => packr.pack(record);

/** */
export const unpackBudget = (bytes: Buffer): BudgetRecord => packr.unpack(bytes) as BudgetRecord;

/** Tokens that no instance has taken yet. */
export const freeTokens = (record: BudgetRecord): number =>
    record.total - Object.values(record.taken).reduce((sum, tokens) => sum + tokens, 0);

/** Turns up to which a free budget counts as small: it is not shared out, since parts would hold no turn. */
const smallTurns = 3;

/** Share of a larger free budget that an instance takes: what it holds is lost to the program if it crashes. */
const portionShare = 0.4;

/** Turns for which one portion is enough at most. */
const portionTurns = 4;

/**
 * Tokens to take so that a turn can reserve `needed`, or 0 if the budget does not hold them. For programs of many short
 * turns behind several instances that may all crash at once: each write costs a call, and a crash strands what was taken
 * and not used.
 */
export const portionToTake = (free: number, needed: number, available: number): number => {
    if (free + available < needed) {
        return 0;
    }
    const wanted = free <= smallTurns * needed ?
        2 * needed :
        Math.max(needed, Math.min(portionTurns * needed, Math.ceil(free * portionShare)));
    return Math.min(free, wanted - available);
};
