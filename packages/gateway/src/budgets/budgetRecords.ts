/** Stored budget records: one for each program, changed under the condition of its revision. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { StoredValue, VersionedStore } from "@marigolddrift/store";

import { notDurableError } from "../state/batchWriter.js";
import type { BatchWriter } from "../state/batchWriter.js";
import { storeKey } from "../state/storeKey.js";
import type { BudgetAccount } from "./budgetAccount.js";
import { packBudget } from "./budgetRecord.js";

/** Timeout of the deletion of a record. */
const removalTimeoutMs = 2_000;

/** Reads, changes and deletes the records of the accounts of one instance. */
export class BudgetRecords {
    private nextNonce = 0;

    constructor(
        private readonly instance: string,
        private readonly writer: BatchWriter,
        private readonly store: Pick<VersionedStore, "get" | "txn">,
        private readonly log: Logger,
    ) {}

    /** Reads the record of an account again. */
    async refresh(account: BudgetAccount, progress: Progress): Promise<void> {
        account.applyStored(await this.read(account.program, progress));
    }

    /** Changes the allocation by `delta`. On a conflict, only refreshes the account and resolves to false. */
    async update(account: BudgetAccount, delta: number, progress: Progress): Promise<boolean> {
        const next = account.withAllocationDelta(delta, `${this.instance}/${this.nextNonce++}`);
        const put = { key: budgetKey(account.program), expected: account.revision, value: packBudget(next) };
        account.hasUnknownWrite = true;
        const result = delta >= 0 ? await this.writer.putFailFast(put, progress) : await this.writer.put(put, progress);
        account.hasUnknownWrite = false;
        if (result.kind === "conflict") {
            account.applyStored(result.current);
            return false;
        }
        account.applyRecord(next, result.revision);
        return true;
    }

    /** Deletes the record of a program unless another instance has changed it since. */
    async remove({ program, revision }: BudgetAccount): Promise<void> {
        const progress = new Progress(removalTimeoutMs);
        const key = budgetKey(program);
        try {
            await progress.race(this.store.txn([{ key, revision }], [], progress, [key]));
        }
        catch (err) {
            this.log.info("budget record not removed", { program, error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }

    private async read(program: string, progress: Progress): Promise<StoredValue | undefined> {
        try {
            return await progress.race(this.store.get(budgetKey(program), progress));
        }
        catch (err) {
            progress.throwIfAborted();
            this.log.info("failed to read budget record", { program, error: asError(err).message });
            throw notDurableError();
        }
    }
}

const budgetKey = (program: string): string => storeKey("marigolddrift/budgets/", program);
