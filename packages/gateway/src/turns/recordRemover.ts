/** Deletes records from the platform's store when their retention time is over. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

/** Additional time for which records are retained. */
const retentionSlackMs = 30_000;

/** Interval at which expired records are deleted. */
const removalIntervalMs = 10_000;

/** Timeout of one store call. */
const callTimeoutMs = 600;

/** Maximum number of records that one store call deletes. */
const maxKeysPerCall = 32;

/** Deletes expired records. The process that wrote a record schedules its deletion. */
export class RecordRemover {
    private readonly scheduled: { readonly key: string; readonly removeAt: number; }[] = [];
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly store: Pick<VersionedStore, "txn">, private readonly log: Logger) {
        this.timer = setInterval(() => void this.removeExpired(), removalIntervalMs);
        this.timer.unref();
    }

    /** @param keepMs Promised retention time of the record. */
    schedule(key: string, keepMs: number): void {
        this.scheduled.push({ key, removeAt: performance.now() + keepMs + retentionSlackMs });
    }

    close(): void {
        clearInterval(this.timer);
    }

    private async removeExpired(): Promise<void> {
        const now = performance.now();
        while (this.scheduled.length > 0 && this.scheduled[0]!.removeAt < now) {
            const due = this.scheduled.slice(0, maxKeysPerCall).filter(({ removeAt }) => removeAt < now);
            const keys = due.map(({ key }) => key);
            const progress = new Progress(callTimeoutMs);
            try {
                await progress.race(this.store.txn([], [], progress, keys));
                this.scheduled.splice(0, keys.length);
            }
            catch (err) {
                this.log.warn("expired records not removed", {
                    records: keys.length,
                    error: asError(err).message,
                });
                return;
            }
            finally {
                progress.dispose();
            }
        }
    }
}
