/** Token budgets of programs. An instance spends only tokens that it has allocated in the stored record. */
import { asError, ProblemError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import type { Peers } from "../peers/peers.js";
import type { BatchWriter } from "../state/batchWriter.js";
import { BudgetAccount } from "./budgetAccount.js";
import { nextAllocationTokens, unallocatedTokens } from "./budgetRecord.js";
import { BudgetRecords } from "./budgetRecords.js";
import { holderName, TokenReclaimer } from "./tokenReclaimer.js";

/** Time without turns after which a program's account is evicted and its record is deleted. */
const accountIdleMs = 600_000;

/** Time for which a holder that does not respond may still be alive, so that the budget does not count as spent. */
const holderPatienceMs = 4_000;

/** Time after which a caller may ask again for tokens of a holder that did not respond. */
const holderRetrySeconds = 0.5;

/** Age up to which the record need not be read again before a budget counts as spent. */
const recordTrustMs = 1_000;

/** Time after the end of a turn after which its unused tokens go back, so that a crash does not count them as spent. */
const balanceDelayMs = 600;

/** Time after which a balance that failed is tried again. */
const balanceRetryMs = 1_000;

/** Timeout of a balance. */
const balanceTimeoutMs = 2_000;

/** Tokens reserved for a turn. */
export interface Reservation {
    /** Ends the reservation; `spent` is the number of tokens that were delivered to the caller. */
    settle(spent: number): void;
}

/** Manages the budgets of the programs that this instance serves. */
export class Budgets {
    private readonly accounts = new Map<string, BudgetAccount>();
    private nextAccount = 0;
    private isClosed = false;
    private readonly timer: NodeJS.Timeout;
    private readonly reclaimer: TokenReclaimer;
    private readonly records: BudgetRecords;

    constructor(
        private readonly instance: string,
        private readonly writer: BatchWriter,
        store: Pick<VersionedStore, "get" | "txn">,
        peers: Pick<Peers, "get" | "refresh">,
        private readonly log: Logger,
    ) {
        this.reclaimer = new TokenReclaimer(peers, log);
        this.records = new BudgetRecords(instance, writer, store, log);
        this.timer = setInterval(() => this.evictIdleAccounts(), accountIdleMs / 4);
        this.timer.unref();
    }

    /**
     * Reserves tokens for a turn.
     *
     * @throws ProblemError `budget_exhausted` if the budget is insufficient.
     */
    async reserve(program: string, total: number, needed: number, progress: Progress): Promise<Reservation> {
        const account = this.getOrCreateAccount(program, total);
        account.turnTokens = needed;
        account.running += 1;
        account.lastUsedAt = performance.now();
        try {
            if (account.available < needed) {
                await this.runExclusive(account, () => this.refill(account, needed, progress));
            }
            else {
                account.reserve(needed);
            }
        }
        catch (err) {
            account.running -= 1;
            throw err;
        }
        return createReservation(account, needed, () => this.scheduleBalance(account, balanceDelayMs));
    }

    /** Returns the tokens of a program that this instance should not hold, or takes those that it should hold. */
    async balance(program: string, progress: Progress): Promise<void> {
        const account = this.accounts.get(program);
        if (account !== undefined && account.imbalance !== 0) {
            await this.runExclusive(account, () => this.balanceAccount(account, progress));
        }
    }

    /** Returns all unspent tokens to the shared budgets before the instance stops. */
    async returnAllUnspent(progress: Progress): Promise<void> {
        const unspent = [...this.accounts.values()].filter(account => account.available > 0);
        await Promise.all(unspent.map(account => this.returnUnspentOf(account, progress)));
    }

    /** Returns the unspent tokens of a program on request of another instance. Resolves to false if there were none. */
    async returnUnspent(program: string, progress: Progress): Promise<boolean> {
        const account = this.accounts.get(program);
        if (account?.hasUnknownWrite === true) {
            await this.runExclusive(account, () => this.records.refresh(account, progress));
        }
        const unspent = account?.available ?? 0;
        if (account === undefined || unspent <= 0) {
            return false;
        }
        await this.returnUnspentOf(account, progress);
        this.log.info("unspent budget returned", { program, tokens: unspent, reason: "requested by another instance" });
        return true;
    }

    close(): void {
        clearInterval(this.timer);
        this.accounts.forEach(account => clearTimeout(account.balanceTimer));
        this.isClosed = true;
    }

    private getOrCreateAccount(program: string, total: number): BudgetAccount {
        let account = this.accounts.get(program);
        if (account === undefined) {
            account = new BudgetAccount(program, total, holderName(this.instance, this.nextAccount++));
            this.accounts.set(program, account);
        }
        return account;
    }

    private scheduleBalance(account: BudgetAccount, delayMs: number): void {
        if (this.isClosed || account.balanceTimer !== undefined) {
            return;
        }
        account.balanceTimer = setTimeout(() => {
            account.balanceTimer = undefined;
            void this.balanceInTime(account);
        }, delayMs).unref();
    }

    private async balanceInTime(account: BudgetAccount): Promise<void> {
        // Without the store, turns go on with what the account holds, so nothing may be set aside for a return.
        if (this.writer.isUnavailable) {
            this.scheduleBalance(account, balanceRetryMs);
            return;
        }
        const progress = new Progress(balanceTimeoutMs);
        try {
            await this.balance(account.program, progress);
        }
        catch (err) {
            this.log.info("budget not balanced", { program: account.program, error: asError(err).message });
            this.scheduleBalance(account, balanceRetryMs);
        }
        finally {
            progress.dispose();
        }
    }

    private async balanceAccount(account: BudgetAccount, progress: Progress): Promise<void> {
        for (let missing = account.imbalance; missing !== 0; missing = account.imbalance) {
            const delta = missing > 0 ? missing : -account.beginReturn(-missing);
            if (await this.records.update(account, delta, progress)) {
                return;
            }
        }
    }

    private async runExclusive<T>(account: BudgetAccount, update: () => Promise<T>): Promise<T> {
        const result = account.lastUpdate.then(update, update);
        account.lastUpdate = result.catch(() => {
            // The caller of `runExclusive` gets the error; it must not fail the next update.
        });
        return await result;
    }

    private async refill(account: BudgetAccount, needed: number, progress: Progress): Promise<void> {
        let hasReclaimed = false;
        while (account.available < needed) {
            const allocation = nextAllocationTokens(unallocatedTokens(account.record), needed, account.available);
            if (allocation > 0) {
                await this.records.update(account, allocation, progress);
            }
            else if (account.hasUnknownWrite) {
                // Decides the outcome: a write under the same condition is applied only if the unknown one was not.
                await this.records.update(account, 0, progress);
            }
            else if (hasReclaimed) {
                this.refuse(account, needed);
            }
            else {
                hasReclaimed = true;
                await this.reclaim(account, progress);
            }
        }
        account.reserve(needed);
    }

    /** Asks the other holders for unspent tokens, and reads the record again if tokens may have been returned. */
    private async reclaim(account: BudgetAccount, progress: Progress): Promise<void> {
        const outcomes = await this.reclaimer.reclaim(account, progress);
        account.unresponsiveSince = outcomes.has("noResponse") ?
            account.unresponsiveSince ?? performance.now() :
            undefined;
        const isOld = performance.now() - account.confirmedAt > recordTrustMs;
        if (outcomes.has("returned") || outcomes.has("noResponse") || isOld) {
            await this.records.refresh(account, progress);
        }
    }

    /** Refuses a turn for good only if no instance that may still respond holds tokens of the budget. */
    private refuse({ program, available, record, revision, unresponsiveSince }: BudgetAccount, needed: number): never {
        const details = { program, needed, available, ...record, revision };
        const silentMs = unresponsiveSince === undefined ? Infinity : performance.now() - unresponsiveSince;
        if (silentMs < holderPatienceMs) {
            this.log.info("budget undecided", { ...details, silentMs: Math.round(silentMs) });
            throw new ProblemError(
                "not_durable",
                "notRun",
                "An instance that holds tokens of the budget did not respond.",
                {
                    retryAfterSeconds: holderRetrySeconds,
                },
            );
        }
        this.log.info("budget spent", details);
        throw new ProblemError("budget_exhausted", "notRun", "The program's token budget is spent.");
    }

    private async returnUnspentOf(account: BudgetAccount, progress: Progress): Promise<void> {
        await this.runExclusive(account, async () => {
            const begin = (): number => account.beginReturn(account.available);
            for (let unspent = begin(); unspent > 0; unspent = begin()) {
                if (await this.records.update(account, -unspent, progress)) {
                    return;
                }
            }
        });
    }

    private evictIdleAccounts(): void {
        const now = performance.now();
        for (const account of this.accounts.values()) {
            if (account.running === 0 && now - account.lastUsedAt > accountIdleMs) {
                this.accounts.delete(account.program);
                void this.records.remove(account);
            }
        }
    }
}

const createReservation = (account: BudgetAccount, reserved: number, onSettled: () => void): Reservation => {
    let settled = false;
    return {
        settle: spent => {
            if (!settled) {
                settled = true;
                account.release(Math.max(0, reserved - spent));
                account.running -= 1;
                account.lastUsedAt = performance.now();
                onSettled();
            }
        },
    };
};
