/** Keeps the recent changes below a prefix for peers that follow it through this instance. */
import { ProblemError } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";
import { HistoryGoneError } from "@marigolddrift/store";
import type { ChangeBatch, StoreChange } from "@marigolddrift/store";

/** Changes that are kept at most. */
const maxChanges = 500;

/** Bytes of them beyond which only the newest is kept: long configurations may follow each other quickly. */
const maxBytes = 4 * 1024 * 1024;

const revisionOf = (change: StoreChange): number => change.kind === "put" ? change.stored.revision : change.revision;

const bytesOf = (change: StoreChange): number => change.kind === "put" ? change.stored.value.length : 0;

/**
 * What a {@link Follower} has seen lately.
 *
 * @example
 * const { changes, revision } = await feed.next(41, 4_000, progress);
 */
export class ChangeFeed {
    private changes: StoreChange[] = [];
    /** All changes after this revision are kept. */
    private from = Infinity;
    private revision = -Infinity;
    private isLost = false;
    private readonly waiting = new Set<() => void>();

    /** Starts anew from a snapshot. */
    onSnapshot(revision: number): void {
        this.changes = [];
        this.from = revision;
        this.revision = revision;
        this.isLost = false;
        this.wake();
    }

    onChanges(changes: readonly StoreChange[], revision: number): void {
        this.revision = Math.max(this.revision, revision);
        this.isLost = false;
        if (changes.length === 0) {
            return;
        }
        this.changes.push(...changes);
        this.dropOldest();
        this.wake();
    }

    /** Ends all waits: the followed part of the store cannot be read now, so that peers must look for another way. */
    onLost(): void {
        this.isLost = true;
        this.wake();
    }

    /**
     * Changes after a revision; waits for the first one.
     *
     * @param waitMs Time after which there are none, in milliseconds.
     * @throws HistoryGoneError if they are not kept.
     */
    async next(after: number, waitMs: number, progress: Progress): Promise<ChangeBatch> {
        if (this.since(after).length === 0) {
            await this.nextChange(waitMs, progress);
        }
        return { changes: this.since(after), revision: Math.max(after, this.revision) };
    }

    private since(after: number): StoreChange[] {
        if (this.isLost) {
            throw new ProblemError("not_durable", "notRun", "The store is away from this instance, too.");
        }
        if (after < this.from) {
            throw new HistoryGoneError(after);
        }
        return this.changes.filter(change => revisionOf(change) > after);
    }

    private dropOldest(): void {
        let bytes = 0;
        let kept = 0;
        for (let index = this.changes.length - 1; index >= 0 && kept < maxChanges; index--) {
            bytes += bytesOf(this.changes[index]!);
            if (kept > 0 && bytes > maxBytes) {
                break;
            }
            kept += 1;
        }
        const dropped = this.changes.splice(0, this.changes.length - kept);
        this.from = dropped.length > 0 ? revisionOf(dropped.at(-1)!) : this.from;
    }

    private async nextChange(waitMs: number, progress: Progress): Promise<void> {
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

    private wake(): void {
        this.waiting.forEach(wake => wake());
    }
}
