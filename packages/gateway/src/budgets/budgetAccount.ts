/** What one instance has taken of a program's budget, and what it has used of that. */
import type { StoredValue } from "@marigolddrift/store";

import { unpackBudget } from "./budgetRecord.js";
import type { BudgetRecord } from "./budgetRecord.js";

/**
 * The record says what was taken, also by writes that nobody waited for any more; the account says what was used. What is
 * available follows from both, so that no lost reply strands or doubles tokens.
 */
export class BudgetAccount {
    record: BudgetRecord;
    revision = 0;
    /** Turns that run now. */
    running = 0;
    lastUsedAt = performance.now();
    /** Ends when the change of the record that is under way has ended; changes follow each other. */
    lastChange: Promise<unknown> = Promise.resolve();
    /** Tokens that turns have used or reserved. */
    private used = 0;
    /** Tokens in a return whose outcome is not known. */
    private returning = 0;

    /** @param holder Name in the record; unique to this account. */
    constructor(readonly program: string, total: number, readonly holder: string) {
        this.record = { total, taken: {}, nonce: "" };
    }

    /** Tokens that a turn may reserve. */
    get available(): number {
        return (this.record.taken[this.holder] ?? 0) - this.used - this.returning;
    }

    /** Names of the others that have taken tokens. */
    get otherHolders(): string[] {
        return Object.entries(this.record.taken).filter(([holder, tokens]) => holder !== this.holder && tokens > 0)
            .map(([holder]) => holder);
    }

    /** Reserves tokens of those available. */
    reserve(tokens: number): void {
        this.used += tokens;
    }

    /** Ends a reservation of which less was used. */
    release(tokens: number): void {
        this.used -= tokens;
    }

    /**
     * Takes tokens out before their return is written: an unknown outcome must not leave them in two places. Those of an
     * earlier return with an unknown outcome are in it again, since both writes have the same condition.
     */
    beginReturn(): number {
        this.returning += this.available;
        return this.returning;
    }

    /** The record with a change of what this account has taken. */
    changed(by: number, nonce: string): BudgetRecord {
        const taken = { ...this.record.taken, [this.holder]: (this.record.taken[this.holder] ?? 0) + by };
        return { total: this.record.total, taken, nonce };
    }

    /** Accepts what was read or written; a newer revision settles all earlier writes. */
    accept(record: BudgetRecord, revision: number): void {
        if (revision !== this.revision) {
            this.returning = 0;
        }
        this.record = record;
        this.revision = revision;
    }

    /** Accepts what the store holds; a record that was removed is written anew with what is known. */
    acceptStored(stored: StoredValue | undefined): void {
        this.accept(stored === undefined ? this.record : unpackBudget(stored.value), stored?.revision ?? 0);
    }
}
