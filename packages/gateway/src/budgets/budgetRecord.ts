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

/** Turns for which tokens are taken at a time: each write costs a call, and a crash strands what was taken. */
const turnsAtOnce = 2;

/** Tokens to take for a turn, or 0 if the budget does not hold it. */
export const portionToTake = (free: number, needed: number): number =>
    free < needed ? 0 : Math.min(free, turnsAtOnce * needed);
