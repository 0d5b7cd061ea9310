/** Watches a key prefix of the platform's store: reads a snapshot, then polls for changes. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { HistoryGoneError } from "@marigolddrift/store";
import type { StoreChange, StoredValue, VersionedStore } from "@marigolddrift/store";

import { ChangeFeed } from "./changeFeed.js";

/** Time that the store may take to respond beyond the requested wait. */
const responseSlackMs = 1_000;

/** Longest pause in the data of a snapshot before the read is aborted; allows for a slow store. */
const snapshotIdleTimeoutMs = 1_500;

/** Timeout for a response that is arriving: a large configuration that a whole region reads over a narrow link. */
const transferTimeoutMs = 8_000;

/** Pause after changes, so that changes in quick succession, as when a whole fleet starts, share one response. */
const coalesceMs = 150;

/** Minimum wait of a long poll for changes. */
const minPollWaitMs = 1_000;

/** Pause after a failed call. */
const retryDelayMs = 150;

/** Events of a {@link PrefixWatcher}. */
export interface PrefixWatcherEvents {
    /** Receives all values; a key that is missing does not exist any more. */
    onSnapshot(values: readonly StoredValue[]): void;
    onChanges(changes: readonly StoreChange[]): void;
    onDisconnected(err: Error): void;
    /** @param outageMs Time for which the store did not respond. */
    onReconnected(outageMs: number): void;
}

/** Reports the values below a key prefix and their changes until it is stopped. */
export class PrefixWatcher {
    private readonly stopController = new AbortController();
    private revision: number | undefined;
    private lastContactAt = performance.now();
    private isDisconnected = false;

    constructor(
        private readonly store: Pick<VersionedStore, "range" | "changes">,
        private readonly prefix: string,
        private readonly events: PrefixWatcherEvents,
        /** Longest time within which an unresponsive connection must be detected. */
        private readonly maxSilenceMs: number,
        private readonly log: Logger,
        /** Receives all changes, for peers that watch through this instance. */
        private readonly feed = new ChangeFeed(),
    ) {}

    /** Time for which the store holds a long poll if there are no changes. */
    private get waitMs(): number {
        return Math.max(minPollWaitMs, this.maxSilenceMs - responseSlackMs);
    }

    /** Time since the last response of the store. */
    get ageMs(): number {
        return performance.now() - this.lastContactAt;
    }

    start(): void {
        void this.run();
    }

    stop(): void {
        this.stopController.abort(new Error("the prefix watcher was stopped"));
    }

    private async run(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            try {
                await this.poll();
            }
            catch (err) {
                await this.onError(asError(err));
            }
        }
    }

    private async poll(): Promise<void> {
        const progress = new Progress(this.waitMs + transferTimeoutMs, this.stopController.signal);
        try {
            await (this.revision === undefined ?
                this.pollSnapshot(progress) :
                this.pollChanges(this.revision, progress));
        }
        finally {
            progress.dispose();
        }
    }

    private async pollSnapshot(progress: Progress): Promise<void> {
        const snapshot = await abortWhenIdle(
            progress,
            snapshotIdleTimeoutMs,
            onBytes => this.store.range(this.prefix, progress, { onBytes }),
        );
        this.onContact();
        this.revision = snapshot.revision;
        this.feed.onSnapshot(snapshot.revision);
        this.notify(() => this.events.onSnapshot(snapshot.values));
    }

    private async pollChanges(revision: number, progress: Progress): Promise<void> {
        // After a failure the poll does not wait, so that the recovery of the store is detected at once.
        const wait = this.isDisconnected ? 0 : this.waitMs;
        const batch = await abortWhenIdle(
            progress,
            wait + responseSlackMs,
            onBytes => this.store.changes(this.prefix, revision, wait, progress, { onBytes }),
        );
        this.onContact();
        this.revision = Math.max(revision, batch.revision);
        this.feed.onChanges(batch.changes, this.revision);
        if (batch.changes.length > 0) {
            this.notify(() => this.events.onChanges(batch.changes));
            await progress.sleep(coalesceMs);
        }
    }

    /** An error of the receiver is not one of the store; the values count as read, since it would fail again. */
    private notify(event: () => void): void {
        try {
            event();
        }
        catch (err) {
            this.log.error("store values not applied", { prefix: this.prefix, error: asError(err).stack });
        }
    }

    private onContact(): void {
        const outageMs = this.ageMs;
        this.lastContactAt = performance.now();
        if (this.isDisconnected) {
            this.isDisconnected = false;
            this.log.info("store reconnected", { prefix: this.prefix, awayMs: Math.round(outageMs) });
            this.events.onReconnected(outageMs);
        }
    }

    private async onError(err: Error): Promise<void> {
        if (this.stopController.signal.aborted) {
            return;
        }
        if (err instanceof HistoryGoneError) {
            this.log.info("store history compacted; reading a new snapshot", {
                prefix: this.prefix,
                revision: this.revision,
            });
            this.revision = undefined;
            return;
        }
        if (!this.isDisconnected) {
            this.isDisconnected = true;
            this.log.warn("store disconnected", {
                prefix: this.prefix,
                error: err.message,
                ageMs: Math.round(this.ageMs),
            });
            this.feed.onDisconnected();
            this.events.onDisconnected(err);
        }
        await new Promise(resolve => setTimeout(resolve, retryDelayMs));
    }
}

/** Makes a call, and aborts it when no data of the response has arrived for a while. */
const abortWhenIdle = async <T>(
    progress: Progress,
    idleTimeoutMs: number,
    call: (onBytes: () => void) => Promise<T>,
): Promise<T> => {
    const onIdle = (): void => progress.abort(new Error(`no data received for ${idleTimeoutMs} ms`));
    const idleTimer = setTimeout(onIdle, idleTimeoutMs);
    try {
        return await progress.race(call(() => idleTimer.refresh()));
    }
    finally {
        clearTimeout(idleTimer);
    }
};
