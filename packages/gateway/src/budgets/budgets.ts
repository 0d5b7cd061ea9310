/** Token budgets of programs: an instance spends only from portions that the store's record grants it. */
import { asError, ProblemError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { StoredValue, VersionedStore } from "@marigolddrift/store";

import type { Peers } from "../peers/peers.js";
import { notDurableError } from "../state/groupWriter.js";
import type { BatchWriter } from "../state/groupWriter.js";
import { BudgetAccount } from "./budgetAccount.js";
import { freeTokens, packBudget, portionToTake } from "./budgetRecord.js";

/** Time after which a program without turns is forgotten, and its record removed, in milliseconds. */
const forgetMs = 600_000;

/** Time that another instance may take to return what it does not use, in milliseconds. */
const askTimeoutMs = 500;

/** Time that the removal of a record may take, in milliseconds. */
const removalTimeoutMs = 2_000;

/** Between an instance and the number of its account in the names of holders. */
const holderSeparator = "#";

const instanceOf = (holder: string): string => holder.split(holderSeparator)[0]!;

/** Tokens that a turn may generate. */
export interface Reservation {
    /** Ends the reservation with the tokens that were handed to the caller. */
    settle(spent: number): void;
}

/** The budgets of the programs that this instance serves. */
export class Budgets {
    private readonly accounts = new Map<string, BudgetAccount>();
    private nextAccount = 0;
    private nextNonce = 0;
    private readonly timer: NodeJS.Timeout;

    constructor(
        private readonly instance: string,
        private readonly writer: BatchWriter,
        private readonly store: Pick<VersionedStore, "get" | "txn">,
        private readonly peers: Pick<Peers, "get" | "refresh">,
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
        account.running += 1;
        account.lastUsedAt = performance.now();
        try {
            if (account.available < needed) {
                await this.serialize(account, () => this.refill(account, needed, progress));
            }
            else {
                account.reserve(needed);
            }
        }
        catch (err) {
            account.running -= 1;
            throw err;
        }
        return createReservation(account, needed);
    }

    /** Returns all that is not in use, before the instance stops. */
    async returnAll(progress: Progress): Promise<void> {
        const unspent = [...this.accounts.values()].filter(account => account.available > 0);
        await Promise.all(unspent.map(account => this.returnUnspent(account, progress)));
    }

    /** Returns what is not in use of a program's budget, for another instance; false if there was nothing. */
    async returnFor(program: string, progress: Progress): Promise<boolean> {
        const account = this.accounts.get(program);
        const unspent = account?.available ?? 0;
        if (account === undefined || unspent <= 0) {
            return false;
        }
        await this.returnUnspent(account, progress);
        this.log.info("budget returned", { program, tokens: unspent, reason: "another instance needs it" });
        return true;
    }

    close(): void {
        clearInterval(this.timer);
    }

    private account(program: string, total: number): BudgetAccount {
        let account = this.accounts.get(program);
        if (account === undefined) {
            account = new BudgetAccount(program, total, `${this.instance}${holderSeparator}${this.nextAccount++}`);
            this.accounts.set(program, account);
        }
        return account;
    }

    private async serialize<T>(account: BudgetAccount, change: () => Promise<T>): Promise<T> {
        const result = account.lastChange.then(change, change);
        account.lastChange = result.catch(() => {
            // The caller of `serialize` gets the error; the next change starts afresh.
        });
        return await result;
    }

    private async refill(account: BudgetAccount, needed: number, progress: Progress): Promise<void> {
        let hasAsked = false;
        while (account.available < needed) {
            const portion = portionToTake(freeTokens(account.record), needed, account.available);
            if (portion > 0) {
                await this.change(account, portion, progress);
                continue;
            }
            if (hasAsked || !await this.askOthers(account, progress)) {
                const { program, available, record, revision } = account;
                this.log.info("budget spent", { program, needed, available, ...record, revision });
                throw new ProblemError("budget_exhausted", "notRun", "The program's token budget is spent.");
            }
            hasAsked = true;
            account.acceptStored(await this.readRecord(account.program, progress));
        }
        account.reserve(needed);
    }

    private async readRecord(program: string, progress: Progress): Promise<StoredValue | undefined> {
        try {
            return await progress.race(this.store.get(budgetKey(program), progress));
        }
        catch (err) {
            progress.throwIfAborted();
            this.log.info("budget not readable", { program, error: asError(err).message });
            throw notDurableError();
        }
    }

    /** Asks the instances that have taken tokens to return what they do not use; false if none of them did. */
    private async askOthers(account: BudgetAccount, progress: Progress): Promise<boolean> {
        const { program } = account;
        if (account.otherHolders.some(holder => this.peers.get(instanceOf(holder)) === undefined)) {
            await this.peers.refresh();
        }
        const answers = await Promise.all(account.otherHolders.map(async holder => {
            const asked = progress.child(askTimeoutMs);
            try {
                const peer = this.peers.get(instanceOf(holder));
                return await peer?.ask({ kind: "returnBudget", program }, asked) ?? false;
            }
            catch (err) {
                this.log.info("budget holder silent", { program, holder, error: asError(err).message });
                return false;
            }
            finally {
                asked.dispose();
            }
        }));
        return answers.includes(true);
    }

    /** Changes what this instance has taken; a conflict only refreshes the account, and returns false. */
    private async change(account: BudgetAccount, by: number, progress: Progress): Promise<boolean> {
        const next = account.changed(by, `${this.instance}/${this.nextNonce++}`);
        const put = { key: budgetKey(account.program), expected: account.revision, value: packBudget(next) };
        const result = by > 0 ? await this.writer.putFailFast(put, progress) : await this.writer.put(put, progress);
        if (result.kind === "conflict") {
            account.acceptStored(result.current);
            return false;
        }
        account.accept(next, result.revision);
        return true;
    }

    private async returnUnspent(account: BudgetAccount, progress: Progress): Promise<void> {
        await this.serialize(account, async () => {
            for (let unspent = account.beginReturn(); unspent > 0; unspent = account.beginReturn()) {
                if (await this.change(account, -unspent, progress)) {
                    return;
                }
            }
        });
    }

    private forgetOld(): void {
        const now = performance.now();
        for (const account of this.accounts.values()) {
            if (account.running === 0 && now - account.lastUsedAt > forgetMs) {
                this.accounts.delete(account.program);
                void this.remove(account);
            }
        }
    }

    /** Removes the record of a program that nobody has changed since. */
    private async remove({ program, revision }: BudgetAccount): Promise<void> {
        const progress = new Progress(removalTimeoutMs);
        const key = budgetKey(program);
        try {
            await progress.race(this.store.txn([{ key, revision }], [], progress, [key]));
        }
        catch (err) {
            this.log.info("budget not removed", { program, error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }
}

const createReservation = (account: BudgetAccount, reserved: number): Reservation => {
    let settled = false;
    return {
        settle: spent => {
            if (!settled) {
                settled = true;
                account.release(Math.max(0, reserved - spent));
                account.running -= 1;
                account.lastUsedAt = performance.now();
            }
        },
    };
};

const budgetKey = (program: string): string => `marigolddrift/budgets/${program}`;
