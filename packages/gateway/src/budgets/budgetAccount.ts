/** Tracks the tokens that this instance has allocated from a program's budget and how many of them it has used. */
import type { StoredValue } from "@marigolddrift/store";

import { maxHeldTokens, unallocatedTokens, unpackBudget } from "./budgetRecord.js";
import type { BudgetRecord } from "./budgetRecord.js";

/**
 * One instance's view of a program's budget. The stored record is authoritative for allocations, including those made
 * by writes whose reply timed out; the account counts only usage. The available tokens are derived from both, so a lost
 * reply neither strands tokens nor counts them twice.
 */
export class BudgetAccount {
    record: BudgetRecord;
    revision = 0;
    /** Number of turns in progress. */
    running = 0;
    /** Tokens that the latest turn reserved. */
    turnTokens = 0;
    /** Set while a balance of the account with the record is due. */
    balanceTimer: NodeJS.Timeout | undefined;
    lastUsedAt = performance.now();
    /** Monotonic time since which a holder of tokens has not responded; undefined if all have. */
    unresponsiveSince: number | undefined;
    /** Monotonic time at which the record was last read or written. */
    confirmedAt = -Infinity;
    /** Whether a write may have been applied whose reply was not received. */
    hasUnknownWrite = false;
    /** Settles when the latest queued update of the record has finished; updates run one at a time. */
    lastUpdate: Promise<unknown> = Promise.resolve();
    /** Tokens that turns have used or reserved. */
    private usedTokens = 0;
    /** Tokens in a return whose outcome is unknown. */
    private returningTokens = 0;

    /** @param holder Key of this account in the record's allocations; unique to this account. */
    constructor(readonly program: string, total: number, readonly holder: string) {
        this.record = { total, taken: {}, nonce: "" };
    }

    /** Allocated tokens that are neither used, reserved nor being returned. */
    get available(): number {
        return (this.record.taken[this.holder] ?? 0) - this.usedTokens - this.returningTokens;
    }

    /** Other accounts that hold allocated tokens, by their keys in the record. */
    get otherHolders(): string[] {
        return Object.entries(this.record.taken).filter(([holder, tokens]) => holder !== this.holder && tokens > 0)
            .map(([holder]) => holder);
    }

    /** Marks available tokens as used. */
    reserve(tokens: number): void {
        this.usedTokens += tokens;
    }

    /** Makes the unused part of a reservation available again. */
    release(tokens: number): void {
        this.usedTokens -= tokens;
    }

    /** Difference between the tokens that the account should hold for turns to come and those that are available. */
    get imbalance(): number {
        const { available, turnTokens } = this;
        const limit = maxHeldTokens(unallocatedTokens(this.record) + available, turnTokens);
        if (available > limit) {
            return limit - available;
        }
        return available < Math.min(limit, turnTokens) ? limit - available : 0;
    }

    /**
     * Makes available tokens unavailable before their return is written, so that a write with an unknown outcome cannot leave
     * them both here and in the shared budget. Includes the tokens of an earlier return with an unknown outcome: both writes
     * are conditional on the same revision, so at most one of them succeeds.
     *
     * @returns Number of tokens to return.
     */
    beginReturn(tokens: number): number {
        this.returningTokens += tokens;
        return this.returningTokens;
    }

    /** Copies the record with this account's allocation changed by `delta` tokens. */
    withAllocationDelta(delta: number, nonce: string): BudgetRecord {
        const taken = { ...this.record.taken, [this.holder]: (this.record.taken[this.holder] ?? 0) + delta };
        return { total: this.record.total, taken, nonce };
    }

    /** Applies a record that was read or written. A new revision decides the outcome of all earlier writes. */
    applyRecord(record: BudgetRecord, revision: number): void {
        if (revision !== this.revision) {
            this.returningTokens = 0;
            this.hasUnknownWrite = false;
        }
        this.record = record;
        this.revision = revision;
        this.confirmedAt = performance.now();
    }

    /** Applies the stored value. If the record was deleted, the next write recreates it as last known. */
    applyStored(stored: StoredValue | undefined): void {
        this.applyRecord(stored === undefined ? this.record : unpackBudget(stored.value), stored?.revision ?? 0);
    }
}
