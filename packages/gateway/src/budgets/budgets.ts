/** Token budgets of programs: an instance spends only from portions that the store's record grants it. */
import { asError, ProblemError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { StoredValue, VersionedStore } from "@marigolddrift/store";

import type { GroupWriter } from "../state/groupWriter.js";
import { freeTokens, packBudget, portionToTake, unpackBudget } from "./budgetRecord.js";
import type { BudgetRecord } from "./budgetRecord.js";

/** Time after a program's last turn at which the unspent part is returned, in milliseconds. */
const idleReturnMs = 400;

/** Time after which a program without turns is forgotten here, in milliseconds. */
const forgetMs = 120_000;

/** Time that a turn waits for other instances to return what they do not use, in milliseconds. */
const scarceWaitMs = 700;

/** Pause between two looks at a budget that others hold, in milliseconds. */
const scarceRetryMs = 200;

/** Time that returning the unspent part may take, in milliseconds. */
const returnTimeoutMs = 2_000;

interface Account {
    readonly program: string;
    readonly total: number;
    record: BudgetRecord | undefined;
    revision: number;
    /** Tokens taken and neither spent nor reserved. */
    available: number;
    /** Turns that run now. */
    running: number;
    lastUsedAt: number;
    /** The change of the record that is under way; changes of one record follow each other. */
    change: Promise<unknown>;
    returnTimer: NodeJS.Timeout | undefined;
}

/** Tokens that a turn may generate. */
export interface Reservation {
    /** Ends the reservation with the tokens that were handed to the caller. */
    settle(spent: number): void;
}

/** The budgets of the programs that this instance serves. */
export class Budgets {
    private readonly accounts = new Map<string, Account>();
    private nextNonce = 0;
    private readonly timer: NodeJS.Timeout;

    constructor(
        private readonly instance: string,
        private readonly writer: GroupWriter,
        private readonly store: Pick<VersionedStore, "get">,
        private readonly log: Logger,
    ) {
        this.timer = setInterval(() => this.forgetOld(), forgetMs / 4);
        this.timer.unref();
    }

    /**
     * Reserves tokens for a turn.
     *
     * @throws ProblemError `budget_exhausted` if the budget does not hold them.
     */
    async reserve(program: string, total: number, needed: number, progress: Progress): Promise<Reservation> {
        const account = this.account(program, total);
        clearTimeout(account.returnTimer);
        account.running += 1;
        try {
            if (account.available < needed) {
                await this.serialize(account, () => this.refill(account, needed, progress));
            }
            else {
                account.available -= needed;
            }
        }
        catch (err) {
            this.onTurnEnded(account);
            throw err;
        }
        return this.reservation(account, needed);
    }

    /** Returns all that is not in use, before the instance stops. */
    async returnAll(progress: Progress): Promise<void> {
        const idle = [...this.accounts.values()].filter(account => account.running === 0 && account.available > 0);
        await Promise.all(idle.map(account => this.returnUnspent(account, progress)));
    }

    close(): void {
        clearInterval(this.timer);
        this.accounts.forEach(account => clearTimeout(account.returnTimer));
    }

    private account(program: string, total: number): Account {
        let account = this.accounts.get(program);
        if (account === undefined) {
            account = {
                program,
                total,
                record: undefined,
                revision: 0,
                available: 0,
                running: 0,
                lastUsedAt: 0,
                change: Promise.resolve(),
                returnTimer: undefined,
            };
            this.accounts.set(program, account);
        }
        account.lastUsedAt = performance.now();
        return account;
    }

    private async serialize<T>(account: Account, change: () => Promise<T>): Promise<T> {
        const result = account.change.then(change, change);
        account.change = result.catch(() => {
            // The caller of `serialize` gets the error; the next change starts afresh.
        });
        return await result;
    }

    private async refill(account: Account, needed: number, progress: Progress): Promise<void> {
        const scarceUntil = performance.now() + Math.min(scarceWaitMs, progress.leftMs / 4);
        for (;;) {
            if (account.available >= needed) {
                account.available -= needed;
                return;
            }
            const missing = needed - account.available;
            const record = account.record ?? { total: account.total, taken: {}, nonce: "" };
            const portion = portionToTake(freeTokens(record), missing);
            if (portion > 0) {
                await this.change(account, record, portion, progress);
            }
            else if (!this.othersHoldSome(record) || performance.now() > scarceUntil) {
                this.log.info("budget spent", { program: account.program, needed, ...record, age: account.revision });
                throw new ProblemError("budget_exhausted", "notRun", "The program's token budget is spent.");
            }
            else {
                await progress.sleep(scarceRetryMs);
                this.accept(account, await progress.race(this.store.get(budgetKey(account.program), progress)));
            }
        }
    }

    private othersHoldSome(record: BudgetRecord): boolean {
        return Object.entries(record.taken).some(([instance, tokens]) => instance !== this.instance && tokens > 0);
    }

    /** Changes what this instance has taken; a conflict only refreshes the account, and returns false. */
    private async change(account: Account, record: BudgetRecord, by: number, progress: Progress): Promise<boolean> {
        const taken = { ...record.taken, [this.instance]: (record.taken[this.instance] ?? 0) + by };
        const next = { total: record.total, taken, nonce: `${this.instance}/${this.nextNonce++}` };
        const put = { key: budgetKey(account.program), expected: account.revision, value: packBudget(next) };
        const result = await this.writer.put(put, progress);
        if (result.kind === "conflict") {
            this.accept(account, result.current);
            return false;
        }
        account.record = next;
        account.revision = result.revision;
        account.available += Math.max(0, by);
        return true;
    }

    private accept(account: Account, stored: StoredValue | undefined): void {
        account.record = stored === undefined ? undefined : unpackBudget(stored.value);
        account.revision = stored?.revision ?? 0;
    }

    private reservation(account: Account, reserved: number): Reservation {
        let settled = false;
        return {
            settle: spent => {
                if (!settled) {
                    settled = true;
                    account.available += Math.max(0, reserved - spent);
                    this.onTurnEnded(account);
                }
            },
        };
    }

    private onTurnEnded(account: Account): void {
        account.running -= 1;
        account.lastUsedAt = performance.now();
        if (account.running === 0 && account.available > 0) {
            clearTimeout(account.returnTimer);
            account.returnTimer = setTimeout(() => void this.returnLater(account), idleReturnMs);
            account.returnTimer.unref();
        }
    }

    private async returnLater(account: Account): Promise<void> {
        if (account.record !== undefined && freeTokens(account.record) * 2 > account.record.total) {
            return; // Others find plenty; it is not worth a write.
        }
        const progress = new Progress(returnTimeoutMs);
        try {
            await this.returnUnspent(account, progress);
        }
        catch (err) {
            const { program } = account;
            this.log.warn("budget not returned", { program, error: asError(err).message, outcome: "counts as spent" });
        }
        finally {
            progress.dispose();
        }
    }

    private async returnUnspent(account: Account, progress: Progress): Promise<void> {
        await this.serialize(account, async () => {
            while (account.running === 0 && account.available > 0 && account.record !== undefined) {
                const unspent = account.available;
                // Taken out before the write is sent: an unknown result must not leave tokens in two places.
                account.available = 0;
                if (!await this.change(account, account.record, -unspent, progress)) {
                    account.available += unspent;
                }
            }
        });
    }

    private forgetOld(): void {
        const now = performance.now();
        for (const account of this.accounts.values()) {
            if (account.running === 0 && now - account.lastUsedAt > forgetMs) {
                this.accounts.delete(account.program);
            }
        }
    }
}

const budgetKey = (program: string): string => `marigolddrift/budgets/${program}`;
