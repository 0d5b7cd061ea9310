/**
 * Keeps turns on one disk until they are in the platform's store. Load pattern: many turns end each second, which would cost a
 * call to the store each, and some end while the store is away.
 */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";
import { Packr } from "msgpackr";

import type { JournalAnswer, JournalTurn } from "../peers/peerMessages.js";
import type { RecordRemover } from "../turns/recordRemover.js";
import { turnKey } from "../turns/storeArchive.js";
import type { DiskLog, Segment } from "./diskLog.js";

/** Time after which the first copy of a turn goes to the store, in milliseconds. */
const firstCopyMs = 1_000;

/** Further time for each later copy, which only goes there if the earlier ones did not, in milliseconds. */
const laterCopyMs = 1_500;

/** Period at which the journal looks for turns that are due, in milliseconds. */
const tickMs = 100;

/** Pause after a call to the store that failed, in milliseconds. */
const retryMs = 250;

/** Time that the store may take for one call, in milliseconds. */
const callTimeoutMs = 1_500;

/** Turns and bytes that one call carries at most; the store takes 32 entries. */
const maxGroup = 32;
const maxGroupBytes = 512 * 1024;

/** Bytes of turns that are not in the store yet, beyond which the journal takes no more. */
const maxUnflushedBytes = 48 * 1024 * 1024;

/** Bytes of turns that stay in memory for readers once they are in the store. */
const maxReadableBytes = 24 * 1024 * 1024;

interface Kept extends JournalTurn {
    readonly segment: Segment;
    readonly dueAt: number;
}

const packr = new Packr({ useRecords: false });

/** What an entry of the log holds. */
type LogEntry = { readonly turn: JournalTurn; } | { readonly flushed: readonly string[]; };

/** The journal of one machine. */
export class TurnJournal {
    private readonly unflushed = new Map<string, Kept>();
    private unflushedBytes = 0;
    private readonly readable = new Map<string, Buffer>();
    private readableBytes = 0;
    private readonly bySegment = new Map<Segment, number>();
    /** Turns that are being written, whose segment is not known yet. */
    private appending = 0;
    private accepting = false;
    private completeFrom = Infinity;
    private flushing = false;
    private lost = false;
    private pausedUntil = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly disk: DiskLog,
        private readonly store: Pick<VersionedStore, "txn">,
        private readonly remover: RecordRemover,
        private readonly tellFlushed: (holder: string, ids: readonly string[]) => void,
        private readonly log: Logger,
    ) {}

    /** Turns that are not in the store yet. */
    get waiting(): number {
        return this.unflushed.size;
    }

    /**
     * Reads the disk back and begins to take turns.
     *
     * @param incompleteMs Time for which the journal may lack turns that an earlier disk of the machine had acknowledged.
     */
    async start(incompleteMs: (isNewDisk: boolean) => number): Promise<void> {
        const { payloads, segments, isNew } = await this.disk.open();
        segments.forEach(segment => this.bySegment.set(segment, 0));
        for (const { segment, payload } of payloads) {
            const entry = packr.unpack(payload) as LogEntry;
            if ("turn" in entry) {
                this.remember(entry.turn, segment);
            }
            else {
                entry.flushed.forEach(id => this.onFlushed(id));
            }
        }
        this.dropUnneeded();
        this.completeFrom = performance.now() + incompleteMs(isNew);
        this.accepting = true;
        this.timer = setInterval(() => void this.flushDue(), tickMs);
        this.log.info("journal open", { read: payloads.length, unflushed: this.unflushed.size, isNew });
    }

    /** Resolves with true once the turn is on the disk, and with false if the journal takes no turns now. */
    async keep(turn: JournalTurn): Promise<boolean> {
        if (!this.accepting || this.unflushedBytes > maxUnflushedBytes) {
            this.log.info("turn not taken", { turn: turn.id, accepting: this.accepting, bytes: this.unflushedBytes });
            return false;
        }
        const entry: LogEntry = { turn };
        this.appending += 1;
        try {
            this.remember(turn, await this.disk.append(packr.pack(entry)));
        }
        finally {
            this.appending -= 1;
        }
        return true;
    }

    find(id: string): JournalAnswer {
        const record = this.unflushed.get(id)?.record ?? this.readable.get(id);
        return { record, complete: performance.now() >= this.completeFrom };
    }

    /** Notes that another holder has brought turns into the store. */
    onPeerFlushed(ids: readonly string[]): void {
        this.settle(ids.filter(id => this.unflushed.has(id)));
    }

    /** Takes no more turns, and brings all into the store. */
    async empty(): Promise<void> {
        this.accepting = false;
        while (this.unflushed.size > 0) {
            await this.flush([...this.unflushed.values()]);
            await new Promise(resolve => setTimeout(resolve, tickMs));
        }
    }

    async close(): Promise<void> {
        this.accepting = false;
        clearInterval(this.timer);
        await this.disk.close();
    }

    private remember(turn: JournalTurn, segment: Segment): void {
        if (this.unflushed.has(turn.id) || this.readable.has(turn.id)) {
            return;
        }
        const dueAt = performance.now() + firstCopyMs + turn.copy * laterCopyMs;
        this.unflushed.set(turn.id, { ...turn, segment, dueAt });
        this.unflushedBytes += turn.record.length;
        this.bySegment.set(segment, (this.bySegment.get(segment) ?? 0) + 1);
    }

    private async flushDue(): Promise<void> {
        const now = performance.now();
        if (this.flushing || now < this.pausedUntil) {
            return;
        }
        const all = [...this.unflushed.values()];
        if (!all.some(({ dueAt }) => dueAt <= now)) {
            return;
        }
        // With one turn due, the other first copies go along: they would be due within the next period.
        await this.flush(all.filter(({ dueAt, copy }) => dueAt <= now || copy === 0));
    }

    private async flush(due: readonly Kept[]): Promise<void> {
        this.flushing = true;
        try {
            for (let rest = due; rest.length > 0;) {
                const group = firstGroup(rest);
                rest = rest.slice(group.length);
                await this.write(group);
            }
        }
        catch (err) {
            this.pausedUntil = performance.now() + retryMs;
            if (!this.lost) {
                this.lost = true;
                this.log.warn("journal cannot reach the store", {
                    error: asError(err).message,
                    waiting: this.unflushed.size,
                });
            }
        }
        finally {
            this.flushing = false;
        }
    }

    /** Records are immutable, so that writing one again does no harm. */
    private async write(group: readonly Kept[]): Promise<void> {
        const progress = new Progress(callTimeoutMs);
        try {
            const puts = group.map(({ id, record }) => ({ key: turnKey(id), value: record }));
            await progress.race(this.store.txn([], puts, progress));
        }
        finally {
            progress.dispose();
        }
        if (this.lost) {
            this.lost = false;
            this.log.info("journal reaches the store again", { waiting: this.unflushed.size });
        }
        group.forEach(({ id, keepMs }) => this.remover.add(turnKey(id), keepMs));
        this.settle(group.map(({ id }) => id));
        const holders = new Set(group.flatMap(turn => turn.holders));
        for (const holder of holders) {
            this.tellFlushed(holder, group.filter(turn => turn.holders.includes(holder)).map(({ id }) => id));
        }
    }

    private settle(ids: readonly string[]): void {
        if (ids.length === 0) {
            return;
        }
        ids.forEach(id => this.onFlushed(id));
        this.dropUnneeded();
        const entry: LogEntry = { flushed: ids };
        // Lost with the process, this note only means that the turns are written to the store once more.
        this.disk.append(packr.pack(entry)).catch((err: unknown) =>
            this.log.warn("flushed turns not noted", { turns: ids.length, error: asError(err).message })
        );
    }

    private onFlushed(id: string): void {
        const turn = this.unflushed.get(id);
        if (turn === undefined) {
            return;
        }
        this.unflushed.delete(id);
        this.unflushedBytes -= turn.record.length;
        this.keepReadable(turn);
        this.bySegment.set(turn.segment, this.bySegment.get(turn.segment)! - 1);
    }

    /** Segments hold nothing of use once their turns are in the store; notes about others may be lost. */
    private dropUnneeded(): void {
        if (this.appending > 0) {
            return;
        }
        for (const [segment, left] of this.bySegment) {
            if (left === 0) {
                void this.dropSegment(segment);
            }
        }
    }

    private async dropSegment(segment: Segment): Promise<void> {
        this.bySegment.delete(segment);
        try {
            if (!await this.disk.drop(segment)) {
                // It is still being written.
                this.bySegment.set(segment, this.bySegment.get(segment) ?? 0);
            }
        }
        catch (err) {
            this.log.warn("journal segment not removed", { segment, error: asError(err).message });
        }
    }

    private keepReadable({ id, record }: JournalTurn): void {
        this.readable.set(id, record);
        this.readableBytes += record.length;
        for (const [oldest, bytes] of this.readable) {
            if (this.readableBytes <= maxReadableBytes) {
                return;
            }
            this.readable.delete(oldest);
            this.readableBytes -= bytes.length;
        }
    }
}

const firstGroup = (turns: readonly Kept[]): readonly Kept[] => {
    let bytes = 0;
    const end = turns.findIndex(({ record }, index) => {
        bytes += record.length;
        return index > 0 && (index >= maxGroup || bytes > maxGroupBytes);
    });
    return end < 0 ? turns : turns.slice(0, end);
};
