/** The budget of one program, as its owner keeps it between writes to the ledger. */

/** Tokens of one program. */
export interface BudgetAccount {
    readonly budget: number;
    /** Tokens that the ledger knows to be reserved. */
    readonly reserved: number;
    /** Tokens that calls have used, or count as used. */
    readonly spent: number;
    /** Worst case of the calls in flight. */
    readonly held: number;
}

/** What a call has to do before it may spend. */
export type HoldDecision =
    | { readonly kind: "held"; readonly account: BudgetAccount; }
    | { readonly kind: "reserveFirst"; readonly reserved: number; }
    | { readonly kind: "exhausted"; readonly left: number; };

/** Account of a program that its opener has just opened: nothing is spent of its first chunk. */
export const openAccount = (budget: number, firstChunk: number): BudgetAccount => ({
    budget,
    reserved: Math.min(budget, firstChunk),
    spent: 0,
    held: 0,
});

/**
 * Account after a change of owner: everything reserved counts as spent. Without an entry in the ledger that is the first
 * chunk, which every program has from the start.
 */
export const inheritAccount = (budget: number, firstChunk: number, reserved: number | undefined): BudgetAccount => {
    const used = Math.min(budget, reserved ?? firstChunk);
    return { budget, reserved: used, spent: used, held: 0 };
};

/** Holds the worst case of a call, or says what must be reserved in the ledger first. */
export const hold = (account: BudgetAccount, worstCase: number, chunk: number): HoldDecision => {
    const needed = account.spent + account.held + worstCase;
    if (needed > account.budget) {
        return { kind: "exhausted", left: account.budget - account.spent - account.held };
    }
    if (needed > account.reserved) {
        return { kind: "reserveFirst", reserved: Math.min(account.budget, Math.max(needed, account.reserved + chunk)) };
    }
    return { kind: "held", account: { ...account, held: account.held + worstCase } };
};

/** Notes that the ledger has stored a reservation. */
export const onReserved = (account: BudgetAccount, reserved: number): BudgetAccount => ({
    ...account,
    reserved: Math.max(account.reserved, reserved),
});

/** Ends a hold with what the call used. */
export const settle = (account: BudgetAccount, worstCase: number, used: number): BudgetAccount => ({
    ...account,
    held: account.held - worstCase,
    spent: account.spent + used,
});
