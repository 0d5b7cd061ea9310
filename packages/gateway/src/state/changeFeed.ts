/** Buffers the recent changes below a key prefix for peers that watch it through this instance. */
import { ProblemError } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";
import { HistoryGoneError } from "@marigolddrift/store";
import type { ChangeBatch, StoreChange } from "@marigolddrift/store";

/** Maximum number of buffered changes. */
const maxChanges = 500;

/** Limit on the total size of the buffered values, since large configurations may be written in quick succession. */
const maxTotalBytes = 4 * 1024 * 1024;

const revisionOf = (change: StoreChange): number => change.kind === "put" ? change.stored.revision : change.revision;

const bytesOf = (change: StoreChange): number => change.kind === "put" ? change.stored.value.length : 0;

/**
 * The recent changes that a {@link PrefixWatcher} has read. The newest change is always kept, whatever its size.
 *
 * @example
 * const { changes, revision } = await feed.next(41, 4_000, progress);
 */
export class ChangeFeed {
    private changes: StoreChange[] = [];
    /** All changes after this revision are buffered. */
    private compactedRevision = Infinity;
    private revision = -Infinity;
    private isDisconnected = false;
    private readonly waiting = new Set<() => void>();

    /** Discards the buffered changes and continues from a snapshot. */
    onSnapshot(revision: number): void {
        this.changes = [];
        this.compactedRevision = revision;
        this.revision = revision;
        this.isDisconnected = false;
        this.notifyWaiters();
    }

    onChanges(changes: readonly StoreChange[], revision: number): void {
        this.revision = Math.max(this.revision, revision);
        this.isDisconnected = false;
        if (changes.length === 0) {
            return;
        }
        this.changes.push(...changes);
        this.dropOldest();
        this.notifyWaiters();
    }

    /** Ends all waits: the prefix cannot be read from the store now, so peers must read it by another path. */
    onDisconnected(): void {
        this.isDisconnected = true;
        this.notifyWaiters();
    }

    /**
     * Returns the changes after a revision, and waits for the first one if there are none yet.
     *
     * @param waitMs Time after which an empty batch is returned.
     * @throws HistoryGoneError if they are no longer buffered.
     * @throws ProblemError if the store cannot be read now.
     */
    async next(after: number, waitMs: number, progress: Progress): Promise<ChangeBatch> {
        if (this.changesSince(after).length === 0) {
            await this.waitForChange(waitMs, progress);
        }
        return { changes: this.changesSince(after), revision: Math.max(after, this.revision) };
    }

    private changesSince(after: number): StoreChange[] {
        if (this.isDisconnected) {
            throw new ProblemError("not_durable", "notRun", "The store is unavailable to this instance, too.");
        }
        if (after < this.compactedRevision) {
            throw new HistoryGoneError(after);
        }
        return this.changes.filter(change => revisionOf(change) > after);
    }

    private dropOldest(): void {
        let bytes = 0;
        let retained = 0;
        for (let index = this.changes.length - 1; index >= 0 && retained < maxChanges; index--) {
            bytes += bytesOf(this.changes[index]!);
            if (retained > 0 && bytes > maxTotalBytes) {
                break;
            }
            retained += 1;
        }
        const dropped = this.changes.splice(0, this.changes.length - retained);
        this.compactedRevision = dropped.length > 0 ? revisionOf(dropped.at(-1)!) : this.compactedRevision;
    }

    private async waitForChange(waitMs: number, progress: Progress): Promise<void> {
        let wake: () => void = () => {};
        let timer: NodeJS.Timeout | undefined;
        const woken = new Promise<void>(resolve => {
            wake = resolve;
            timer = setTimeout(resolve, waitMs);
        });
        this.waiting.add(wake);
        try {
            await progress.race(woken);
        }
        finally {
            clearTimeout(timer);
            this.waiting.delete(wake);
        }
    }

    private notifyWaiters(): void {
        this.waiting.forEach(wake => wake());
    }
}
