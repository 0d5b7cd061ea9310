/** Deletes records from the platform's store when their retention time is over. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import { clockToleranceMs, recordLifetimeMs } from "./turnRecord.js";

/** Interval at which expired records are deleted. */
const removalIntervalMs = 10_000;

/** Timeout of one store call. */
const callTimeoutMs = 600;

/** Maximum number of records that one store call deletes. */
const maxKeysPerCall = 32;

/** Deletes expired records. The process that wrote a record schedules its deletion. */
export class RecordRemover {
    /** Times at which records are to be removed, by key, in no particular order. */
    private readonly scheduled = new Map<string, number>();
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly store: Pick<VersionedStore, "txn">, private readonly log: Logger) {
        this.timer = setInterval(() => void this.removeExpired(), removalIntervalMs);
        this.timer.unref();
    }

    /** @param keepMs Time for which the turn of the record can be continued. */
    schedule(key: string, keepMs: number): void {
        this.scheduled.set(key, performance.now() + recordLifetimeMs(keepMs) + clockToleranceMs);
    }

    close(): void {
        clearInterval(this.timer);
    }

    private async removeExpired(): Promise<void> {
        const now = performance.now();
        const due = [...this.scheduled].filter(([, removeAt]) => removeAt < now).map(([key]) => key);
        for (let start = 0; start < due.length; start += maxKeysPerCall) {
            const keys = due.slice(start, start + maxKeysPerCall);
            if (!await this.remove(keys)) {
                return;
            }
            keys.forEach(key => this.scheduled.delete(key));
        }
    }

    private async remove(keys: readonly string[]): Promise<boolean> {
        const progress = new Progress(callTimeoutMs);
        try {
            await progress.race(this.store.txn([], [], progress, keys));
            return true;
        }
        catch (err) {
            this.log.warn("expired records not removed", { records: keys.length, error: asError(err).message });
            return false;
        }
        finally {
            progress.dispose();
        }
    }
}
