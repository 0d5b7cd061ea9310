/** Removes records from the platform's store when the time for which they were promised is over. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

/** Time beyond the promised one for which records stay, in milliseconds. */
const keepSlackMs = 30_000;

/** Period of the removal of old records, in milliseconds. */
const removalMs = 10_000;

/** Time that one call may take, in milliseconds. */
const callTimeoutMs = 600;

/** Records that one call removes. */
const removedAtOnce = 32;

/** Whoever wrote a record removes it. */
export class RecordRemover {
    private readonly written: { readonly key: string; readonly removeAt: number; }[] = [];
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly store: Pick<VersionedStore, "txn">, private readonly log: Logger) {
        this.timer = setInterval(() => void this.removeOld(), removalMs);
        this.timer.unref();
    }

    /** @param keepMs Time for which the record was promised, in milliseconds. */
    add(key: string, keepMs: number): void {
        this.written.push({ key, removeAt: performance.now() + keepMs + keepSlackMs });
    }

    close(): void {
        clearInterval(this.timer);
    }

    private async removeOld(): Promise<void> {
        const now = performance.now();
        while (this.written.length > 0 && this.written[0]!.removeAt < now) {
            const due = this.written.slice(0, removedAtOnce).filter(({ removeAt }) => removeAt < now);
            const keys = due.map(({ key }) => key);
            const progress = new Progress(callTimeoutMs);
            try {
                await progress.race(this.store.txn([], [], progress, keys));
                this.written.splice(0, keys.length);
            }
            catch (err) {
                this.log.warn("old records not removed", { records: keys.length, error: asError(err).message });
                return;
            }
            finally {
                progress.dispose();
            }
        }
    }
}
