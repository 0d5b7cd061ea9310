/** Follows what lies below a prefix of the platform's store: a snapshot, then its changes. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { HistoryGoneError } from "@marigolddrift/store";
import type { Snapshot, StoreChange, StoredValue, VersionedStore } from "@marigolddrift/store";

import { ChangeFeed } from "./changeFeed.js";

/** Time that the store may take beyond the wait, in milliseconds. */
const slackMs = 1_000;

/** Time for which nothing of a snapshot may arrive, in milliseconds: that of a slow store. */
const snapshotSilenceMs = 1_500;

/** Time that a snapshot may take, in milliseconds: a long configuration that a whole region fetches over a narrow link. */
const snapshotMs = 8_000;

/** Pause after changes, in milliseconds: those that come together, as at a start of the whole fleet, share an answer. */
const gatherMs = 150;

/** Shortest time for which a question for changes waits, in milliseconds. */
const minWaitMs = 1_000;

/** Pause after a failed call, in milliseconds. */
const retryMs = 150;

/** What a {@link Follower} tells. */
export interface FollowerEvents {
    /** All values; everything that is missing is gone. */
    onSnapshot(values: readonly StoredValue[]): void;
    onChanges(changes: readonly StoreChange[]): void;
    onLost(err: Error): void;
    /** @param awayMs Time for which the store did not answer, in milliseconds. */
    onRegained(awayMs: number): void;
}

/** Keeps a view of a part of the store up to date until it is stopped. */
export class Follower {
    private readonly stopped = new AbortController();
    private revision: number | undefined;
    private lastContactAt = performance.now();
    private isLost = false;

    constructor(
        private readonly store: Pick<VersionedStore, "range" | "changes">,
        private readonly prefix: string,
        private readonly events: FollowerEvents,
        /** Longest time for which a silent connection may go unnoticed, in milliseconds. */
        private readonly silenceMs: number,
        private readonly log: Logger,
        /** Gets all that is seen, for peers. */
        private readonly feed = new ChangeFeed(),
    ) {}

    /** Time for which one question for changes waits at the store, in milliseconds. */
    private get waitMs(): number {
        return Math.max(minWaitMs, this.silenceMs - slackMs);
    }

    /** Age of the view, in milliseconds. */
    get ageMs(): number {
        return performance.now() - this.lastContactAt;
    }

    start(): void {
        void this.run();
    }

    stop(): void {
        this.stopped.abort(new Error("the follower was stopped"));
    }

    private async run(): Promise<void> {
        while (!this.stopped.signal.aborted) {
            try {
                await this.step();
            }
            catch (err) {
                await this.onError(asError(err));
            }
        }
    }

    private async step(): Promise<void> {
        // A store that may be back answers at once, so that its return is known.
        const wait = this.isLost ? 0 : this.waitMs;
        const timeoutMs = this.revision === undefined ? snapshotMs : wait + slackMs;
        const progress = new Progress(timeoutMs, this.stopped.signal);
        try {
            if (this.revision === undefined) {
                const snapshot = await this.readSnapshot(progress);
                this.onContact();
                this.revision = snapshot.revision;
                this.feed.onSnapshot(snapshot.revision);
                this.events.onSnapshot(snapshot.values);
                return;
            }
            const batch = await progress.race(this.store.changes(this.prefix, this.revision, wait, progress));
            this.onContact();
            this.revision = Math.max(this.revision, batch.revision);
            this.feed.onChanges(batch.changes, this.revision);
            if (batch.changes.length > 0) {
                this.events.onChanges(batch.changes);
                await progress.sleep(gatherMs);
            }
        }
        finally {
            progress.dispose();
        }
    }

    private async readSnapshot(progress: Progress): Promise<Snapshot> {
        const giveUp = (): void =>
            progress.abort(new Error(`nothing of the snapshot arrived in ${snapshotSilenceMs} ms`));
        const silence = setTimeout(giveUp, snapshotSilenceMs);
        try {
            return await progress.race(this.store.range(this.prefix, progress, { onBytes: () => silence.refresh() }));
        }
        finally {
            clearTimeout(silence);
        }
    }

    private onContact(): void {
        const awayMs = this.ageMs;
        this.lastContactAt = performance.now();
        if (this.isLost) {
            this.isLost = false;
            this.log.info("store regained", { prefix: this.prefix, awayMs: Math.round(awayMs) });
            this.events.onRegained(awayMs);
        }
    }

    private async onError(err: Error): Promise<void> {
        if (this.stopped.signal.aborted) {
            return;
        }
        if (err instanceof HistoryGoneError) {
            this.log.info("store history gone", { prefix: this.prefix, revision: this.revision });
            this.revision = undefined;
            return;
        }
        if (!this.isLost) {
            this.isLost = true;
            this.log.warn("store lost", { prefix: this.prefix, error: err.message, ageMs: Math.round(this.ageMs) });
            this.feed.onLost();
            this.events.onLost(err);
        }
        await new Promise(resolve => setTimeout(resolve, retryMs));
    }
}
