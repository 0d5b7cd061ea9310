/** Saves turns in the platform's store. */
import { asError, ProblemError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import type { BatchWriter } from "../state/batchWriter.js";
import { storeKey } from "../state/storeKey.js";
import { RecordRemover } from "./recordRemover.js";
import { packTurn, unpackTurn } from "./turnRecord.js";
import type { TurnRecord } from "./turnRecord.js";
import type { TurnArchive, TurnRef, TurnToSave } from "./turnStore.js";

/** Timeout of one read. */
const readTimeoutMs = 600;

/** Delay before a failed read is retried. */
const retryDelayMs = 50;

/** Retry delay for callers when a turn could not be read. */
const retryAfterSeconds = 0.5;

/** Key of a turn in the store. */
export const turnKey = (id: string): string => storeKey("marigolddrift/turns/", id);

/** Archive that writes each turn once, directly to the store. */
export class StoreArchive implements TurnArchive {
    private readonly remover: RecordRemover;

    constructor(
        private readonly store: VersionedStore,
        private readonly writer: BatchWriter,
        private readonly log: Logger,
    ) {
        this.remover = new RecordRemover(store, log);
    }

    async save({ turn, keepMs }: TurnToSave, progress: Progress): Promise<void> {
        const key = turnKey(turn.id);
        await this.writer.put({ key, expected: 0, value: packTurn(turn) }, progress);
        this.remover.schedule(key, keepMs);
    }

    async load({ id }: TurnRef, progress: Progress): Promise<TurnRecord | undefined> {
        for (;;) {
            const attempt = progress.child(readTimeoutMs);
            try {
                const stored = await attempt.race(this.store.get(turnKey(id), attempt));
                return stored === undefined ? undefined : unpackTurn(stored.value);
            }
            catch (err) {
                await this.waitBeforeRetry(id, asError(err), progress);
            }
            finally {
                attempt.dispose();
            }
        }
    }

    close(): void {
        this.remover.close();
    }

    /** Waits before the next attempt. Throws if too little time is left for another read and the caller's response. */
    private async waitBeforeRetry(id: string, err: Error, progress: Progress): Promise<void> {
        progress.throwIfAborted();
        if (progress.leftMs < 2 * readTimeoutMs) {
            this.log.warn("failed to read turn", { turn: id, error: err.message, leftMs: Math.round(progress.leftMs) });
            throw new ProblemError(
                "not_durable",
                "notRun",
                "The store did not say whether the turn exists.",
                { retryAfterSeconds },
            );
        }
        await progress.sleep(retryDelayMs);
    }
}
