/** Token budgets of programs: an instance spends only from portions that the store's record grants it. */
import { asError, ProblemError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import type { StoredValue, VersionedStore } from "@marigolddrift/store";

import type { Peers } from "../peers/peers.js";
import type { GroupWriter } from "../state/groupWriter.js";
import { freeTokens, packBudget, portionToTake, unpackBudget } from "./budgetRecord.js";
import type { BudgetRecord } from "./budgetRecord.js";

/** Time after which a program without turns is forgotten here, in milliseconds. */
const forgetMs = 120_000;

/** Time that another instance may take to return what it does not use, in milliseconds. */
const askTimeoutMs = 500;

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
        private readonly peers: Pick<Peers, "get">,
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
        const unspent = [...this.accounts.values()].filter(account => account.available > 0);
        await Promise.all(unspent.map(account => this.returnUnspent(account, progress)));
    }

    /** Returns what is not in use of a program's budget, for another instance; false if there was nothing. */
    async returnFor(program: string, progress: Progress): Promise<boolean> {
        const account = this.accounts.get(program);
        if (account === undefined || account.available <= 0) {
            return false;
        }
        const unspent = account.available;
        await this.returnUnspent(account, progress);
        this.log.info("budget returned", { program, tokens: unspent, reason: "another instance needs it" });
        return true;
    }

    close(): void {
        clearInterval(this.timer);
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
        let hasAsked = false;
        while (account.available < needed) {
            const missing = needed - account.available;
            const record = account.record ?? { total: account.total, taken: {}, nonce: "" };
            const portion = portionToTake(freeTokens(record), missing);
            if (portion > 0) {
                await this.change(account, record, portion, progress);
                continue;
            }
            if (hasAsked || !await this.askOthers(account, record, progress)) {
                const { program, revision } = account;
                this.log.info("budget spent", { program, needed, available: account.available, ...record, revision });
                throw new ProblemError("budget_exhausted", "notRun", "The program's token budget is spent.");
            }
            hasAsked = true;
            this.accept(account, await progress.race(this.store.get(budgetKey(account.program), progress)));
        }
        account.available -= needed;
    }

    /** Asks the instances that have taken tokens to return what they do not use; false if none of them answered. */
    private async askOthers(account: Account, record: BudgetRecord, progress: Progress): Promise<boolean> {
        const holders = Object.entries(record.taken).filter(([instance, tokens]) =>
            instance !== this.instance && tokens > 0
        );
        const { program } = account;
        const answers = await Promise.all(holders.map(async ([instance]) => {
            const asked = progress.child(askTimeoutMs);
            try {
                return await this.peers.get(instance)?.ask({ kind: "returnBudget", program }, asked) ?? false;
            }
            catch (err) {
                this.log.info("budget holder silent", { program, holder: instance, error: asError(err).message });
                return false;
            }
            finally {
                asked.dispose();
            }
        }));
        return answers.includes(true);
    }

    /** Changes what this instance has taken; a conflict only refreshes the account, and returns false. */
    private async change(account: Account, record: BudgetRecord, by: number, progress: Progress): Promise<boolean> {
        const taken = { ...record.taken, [this.instance]: (record.taken[this.instance] ?? 0) + by };
        const next = { total: record.total, taken, nonce: `${this.instance}/${this.nextNonce++}` };
        const put = { key: budgetKey(account.program), expected: account.revision, value: packBudget(next) };
        const result = by > 0 ? await this.writer.putSoon(put, progress) : await this.writer.put(put, progress);
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
    }

    private async returnUnspent(account: Account, progress: Progress): Promise<void> {
        await this.serialize(account, async () => {
            while (account.available > 0 && account.record !== undefined) {
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
