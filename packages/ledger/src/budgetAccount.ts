/** Token budget of one program, as its owner tracks it in memory between writes to the ledger. */

/** Token counters of one program. */
export interface BudgetAccount {
    readonly budget: number;
    /** Tokens reserved in the ledger. */
    readonly reserved: number;
    /** Tokens used by completed calls, plus those that count as used after a change of owner. */
    readonly spent: number;
    /** Worst-case tokens of the calls in flight. */
    readonly held: number;
}

/**
 * Result of holding tokens for a call.
 *
 * - `held`: the call may run.
 * - `reserveFirst`: the given total must be reserved in the ledger first.
 * - `exhausted`: the call may exceed the budget.
 */
export type HoldDecision =
    | { readonly kind: "held"; readonly account: BudgetAccount; }
    | { readonly kind: "reserveFirst"; readonly reserved: number; }
    | { readonly kind: "exhausted"; readonly left: number; };

/** Account of a new program, as the instance that opened it sees it: the first chunk is reserved and unspent. */
export const openAccount = (budget: number, firstChunk: number): BudgetAccount => ({
    budget,
    reserved: Math.min(budget, firstChunk),
    spent: 0,
    held: 0,
});

/**
 * Account after a change of owner: all reserved tokens count as spent. If the ledger has no entry for the program, only the
 * first chunk is reserved, which every program has from the start.
 */
export const recoverAccount = (budget: number, firstChunk: number, reserved: number | undefined): BudgetAccount => {
    const used = Math.min(budget, reserved ?? firstChunk);
    return { budget, reserved: used, spent: used, held: 0 };
};

/** Holds the worst-case tokens of a call, or returns the reservation that is needed in the ledger first. */
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

/** Applies a reservation that the ledger has stored. */
export const onReserved = (account: BudgetAccount, reserved: number): BudgetAccount => ({
    ...account,
    reserved: Math.max(account.reserved, reserved),
});

/** Releases the hold of a call and counts the tokens that the call used. */
export const settle = (account: BudgetAccount, worstCase: number, used: number): BudgetAccount => ({
    ...account,
    held: account.held - worstCase,
    spent: account.spent + used,
});
