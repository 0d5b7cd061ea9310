/** Keeps turns in the platform's store. */
import { asError, ProblemError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import type { GroupWriter } from "../state/groupWriter.js";
import { packTurn, unpackTurn } from "./turnRecord.js";
import type { TurnRecord } from "./turnRecord.js";
import type { TurnArchive } from "./turnStore.js";

/** Time that one read may take, in milliseconds. */
const readTimeoutMs = 600;

/** Pause before a read is tried again, in milliseconds. */
const retryMs = 50;

/** Time beyond the promised one for which records stay, in milliseconds. */
const keepSlackMs = 30_000;

/** Period of the removal of old records, in milliseconds. */
const removalMs = 10_000;

/** Records that one call removes. */
const removedAtOnce = 32;

/** When a caller may ask again for a turn that could not be read, in seconds. */
const retryAfterSeconds = 0.5;

const turnKey = (id: string): string => `marigolddrift/turns/${encodeURIComponent(id)}`;

/** Writes each turn once; an instance removes what it has written when the time for it is over. */
export class StoreArchive implements TurnArchive {
    private readonly written: { readonly key: string; readonly removeAt: number; }[] = [];
    private readonly timer: NodeJS.Timeout;

    constructor(
        private readonly store: VersionedStore,
        private readonly writer: GroupWriter,
        private readonly log: Logger,
    ) {
        this.timer = setInterval(() => void this.removeOld(), removalMs);
        this.timer.unref();
    }

    async save(turn: TurnRecord, keepMs: number, progress: Progress): Promise<void> {
        const key = turnKey(turn.id);
        await this.writer.put({ key, expected: 0, value: packTurn(turn) }, progress);
        this.written.push({ key, removeAt: performance.now() + keepMs + keepSlackMs });
    }

    async load(id: string, progress: Progress): Promise<TurnRecord | undefined> {
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
        clearInterval(this.timer);
    }

    /** Reads are tried again for as long as the caller has time for an answer afterwards. */
    private async onReadError(id: string, err: Error, progress: Progress): Promise<void> {
        progress.check();
        if (progress.leftMs < 2 * readTimeoutMs) {
            this.log.warn("turn not readable", { turn: id, error: err.message, leftMs: Math.round(progress.leftMs) });
            throw new ProblemError("not_durable", "notRun", "The store did not say whether the turn exists.", {
                retryAfterSeconds,
            });
        }
        await progress.sleep(retryMs);
    }

    private async removeOld(): Promise<void> {
        const now = performance.now();
        while (this.written.length > 0 && this.written[0]!.removeAt < now) {
            const keys = this.written.slice(0, removedAtOnce).filter(({ removeAt }) => removeAt < now).map(({ key }) =>
                key
            );
            const progress = new Progress(readTimeoutMs);
            try {
                await progress.race(this.store.txn([], [], progress, keys));
                this.written.splice(0, keys.length);
            }
            catch (err) {
                this.log.warn("old turns not removed", { turns: keys.length, error: asError(err).message });
                return;
            }
            finally {
                progress.dispose();
            }
        }
    }
}
