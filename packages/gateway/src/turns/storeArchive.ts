/** Keeps turns in the platform's store. */
import { asError, ProblemError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import type { BatchWriter } from "../state/groupWriter.js";
import { RecordRemover } from "./recordRemover.js";
import { packTurn, unpackTurn } from "./turnRecord.js";
import type { TurnRecord } from "./turnRecord.js";
import type { TurnArchive, TurnName, TurnToKeep } from "./turnStore.js";

/** Time that one read may take, in milliseconds. */
const readTimeoutMs = 600;

/** Pause before a read is tried again, in milliseconds. */
const retryMs = 50;

/** When a caller may ask again for a turn that could not be read, in seconds. */
const retryAfterSeconds = 0.5;

/** Key of a turn in the store. */
export const turnKey = (id: string): string => `marigolddrift/turns/${encodeURIComponent(id)}`;

/** Writes each turn once. */
export class StoreArchive implements TurnArchive {
    private readonly remover: RecordRemover;

    constructor(
        private readonly store: VersionedStore,
        private readonly writer: BatchWriter,
        private readonly log: Logger,
    ) {
        this.remover = new RecordRemover(store, log);
    }

    async save({ turn, keepMs }: TurnToKeep, progress: Progress): Promise<void> {
        const key = turnKey(turn.id);
        await this.writer.put({ key, expected: 0, value: packTurn(turn) }, progress);
        this.remover.add(key, keepMs);
    }

    async load({ id }: TurnName, progress: Progress): Promise<TurnRecord | undefined> {
        for (;;) {
            const attempt = progress.child(readTimeoutMs);
            try {
                const stored = await attempt.race(this.store.get(turnKey(id), attempt));
                return stored === undefined ? undefined : unpackTurn(stored.value);
            }
            catch (err) {
                await this.onReadError(id, asError(err), progress);
            }
            finally {
                attempt.dispose();
            }
        }
    }

    close(): void {
        this.remover.close();
    }

    /** Reads are tried again for as long as the caller has time for an answer afterwards. */
    private async onReadError(id: string, err: Error, progress: Progress): Promise<void> {
        progress.throwIfAborted();
        if (progress.leftMs < 2 * readTimeoutMs) {
            this.log.warn("turn not readable", { turn: id, error: err.message, leftMs: Math.round(progress.leftMs) });
            throw new ProblemError("not_durable", "notRun", "The store did not say whether the turn exists.", {
                retryAfterSeconds,
            });
        }
        await progress.sleep(retryMs);
    }
}
