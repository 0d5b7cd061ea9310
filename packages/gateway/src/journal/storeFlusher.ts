/** Writes the turns of a journal to the platform's store. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { StoreRefusalError } from "@marigolddrift/store";
import type { VersionedStore } from "@marigolddrift/store";

import type { RecordRemover } from "../turns/recordRemover.js";
import { turnKey } from "../turns/storeArchive.js";
import type { UnflushedTurn } from "./flushBatch.js";

/** Backoff after a failed store call. */
const retryBackoffMs = 250;

/** Timeout of one store call. */
const callTimeoutMs = 1_500;

/** Dependencies of a {@link StoreFlusher}. */
export interface StoreFlusherOptions {
    readonly store: Pick<VersionedStore, "txn">;
    /** Removes the turns from the store when their time has come. */
    readonly remover: RecordRemover;
    /** Returns the record of a turn. */
    readonly load: (turn: UnflushedTurn) => Promise<Buffer>;
    /** Called with the turns that have been written, before the other holders are told. */
    readonly onFlushed: (ids: readonly string[]) => void;
    /** Called with a turn that the store has refused for good, or that cannot be read. */
    readonly onRefused: (turn: UnflushedTurn) => void;
    /** Tells another holder which turns have been written. */
    readonly notifyFlushed: (holder: string, ids: readonly string[]) => void;
    /** Returns the number of turns that are not yet in the store. */
    readonly unflushedCount: () => number;
    readonly log: Logger;
}

interface LoadedTurn {
    readonly turn: UnflushedTurn;
    readonly record: Buffer;
}

/** Writes batches of turns, and backs off while the store cannot be reached. */
export class StoreFlusher {
    private isFlushing = false;
    private isStoreUnreachable = false;
    private retryAt = 0;

    constructor(private readonly options: StoreFlusherOptions) {}

    /** Whether the last call to the store succeeded. */
    get isStoreReachable(): boolean {
        return !this.isStoreUnreachable;
    }

    /** Whether no batch is being written and the backoff has passed. */
    isIdle(now: number): boolean {
        return !this.isFlushing && now >= this.retryAt;
    }

    /** Writes batches one after the other, until the store cannot be reached. */
    async flush(batches: readonly UnflushedTurn[][]): Promise<void> {
        this.isFlushing = true;
        try {
            for (const batch of batches) {
                await this.writeAccepted(batch);
            }
        }
        catch (err) {
            this.onUnreachable(asError(err));
        }
        finally {
            this.isFlushing = false;
        }
    }

    private onUnreachable(err: Error): void {
        const { log, unflushedCount } = this.options;
        this.retryAt = performance.now() + retryBackoffMs;
        if (!this.isStoreUnreachable) {
            this.isStoreUnreachable = true;
            log.warn("journal cannot reach the store", { error: err.message, waiting: unflushedCount() });
        }
    }

    private onReachable(): void {
        if (this.isStoreUnreachable) {
            this.isStoreUnreachable = false;
            this.options.log.info("journal can reach the store again", { waiting: this.options.unflushedCount() });
        }
    }

    /** Writes a batch; if the store refuses it for good, each turn by itself, so that one does not hold up the others. */
    private async writeAccepted(batch: readonly UnflushedTurn[]): Promise<void> {
        try {
            await this.writeBatch(batch);
        }
        catch (err) {
            if (!(err instanceof StoreRefusalError) || err.isRetryable) {
                throw err;
            }
            if (batch.length === 1) {
                this.onRefused(batch[0]!, err);
                return;
            }
            for (const turn of batch) {
                await this.writeAccepted([turn]);
            }
        }
    }

    private onRefused(turn: UnflushedTurn, err: StoreRefusalError): void {
        const { id, bytes } = turn;
        this.options.log.error("turn refused by the store", { turn: id, bytes, error: err.message });
        this.options.onRefused(turn);
    }

    /** Writes one batch to the store. Records are immutable, so writing one twice is harmless. */
    private async writeBatch(turns: readonly UnflushedTurn[]): Promise<void> {
        const loaded = await this.load(turns);
        if (loaded.length === 0) {
            return;
        }
        const batch = loaded.map(({ turn }) => turn);
        const { onFlushed, remover, store } = this.options;
        const progress = new Progress(callTimeoutMs);
        try {
            const puts = loaded.map(({ turn: { id }, record }) => ({ key: turnKey(id), value: record }));
            await progress.race(store.txn([], puts, progress));
        }
        finally {
            progress.dispose();
        }
        this.onReachable();
        batch.forEach(({ id, keepMs }) => remover.schedule(turnKey(id), keepMs));
        onFlushed(batch.map(({ id }) => id));
        this.notifyHolders(batch);
    }

    /** Resolves to the turns that can be read, with their records. */
    private async load(turns: readonly UnflushedTurn[]): Promise<LoadedTurn[]> {
        const { load, log, onRefused } = this.options;
        const loaded: LoadedTurn[] = [];
        for (const turn of turns) {
            try {
                loaded.push({ turn, record: await load(turn) });
            }
            catch (err) {
                log.error("turn not read from the disk", { turn: turn.id, error: asError(err).message });
                onRefused(turn);
            }
        }
        return loaded;
    }

    private notifyHolders(batch: readonly UnflushedTurn[]): void {
        const holders = new Set(batch.flatMap(turn => turn.holders));
        for (const holder of holders) {
            const held = batch.filter(turn => turn.holders.includes(holder));
            this.options.notifyFlushed(holder, held.map(({ id }) => id));
        }
    }
}
