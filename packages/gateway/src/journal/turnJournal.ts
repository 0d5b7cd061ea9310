/**
 * Journals turns on one disk until they are flushed to the platform's store. Load pattern: many turns end each second,
 * which would cost a store call each, and some end while the store is unavailable.
 */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";
import { Packr } from "msgpackr";

import type { FindTurnResponse, JournaledTurn } from "../peers/peerMessages.js";
import type { RecordRemover } from "../turns/recordRemover.js";
import type { DiskLog, SegmentId } from "./diskLog.js";
import { batchesOf, dueBatches } from "./flushBatch.js";
import type { UnflushedTurn } from "./flushBatch.js";
import { FlushedTurnCache } from "./flushedTurnCache.js";
import type { FlushOrder } from "./flushOrder.js";
import { StoreFlusher } from "./storeFlusher.js";

/** Delay after which the first holder of a turn flushes it to the store. */
const firstFlushDelayMs = 1_000;

/** Additional delay per further holder, which flushes the turn only if the earlier holders have not. */
const laterFlushDelayMs = 1_500;

/** Interval at which the journal checks for turns that are due. */
const flushPollMs = 100;

/** Time after which a turn is tried again that the store has refused for good. */
const refusedRetryMs = 10_000;

/** Size of the unflushed turns above which the journal rejects further turns. */
const maxUnflushedBytes = 48 * 1024 * 1024;

const packr = new Packr({ useRecords: false });

/** An entry of the log: a turn, or the ids of turns that have been flushed. */
type LogEntry = { readonly turn: JournaledTurn; } | { readonly flushed: readonly string[]; };

/** The journal of one machine. */
export class TurnJournal {
    private readonly unflushed = new Map<string, UnflushedTurn>();
    private unflushedBytes = 0;
    private readonly flushedCache = new FlushedTurnCache();
    private readonly unflushedBySegment = new Map<SegmentId, number>();
    private readonly flusher: StoreFlusher;
    /** Number of turns being written to disk, whose segment is not yet known. */
    private appendsInFlight = 0;
    private accepting = false;
    private isDraining = false;
    private isClosed = false;
    /** Resolves once the turns on the disk are known. */
    private readonly opened: Promise<void>;
    private onOpened: () => void = () => {};
    private completeAt = Infinity;
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly disk: DiskLog,
        store: Pick<VersionedStore, "txn">,
        remover: RecordRemover,
        notifyFlushed: (holder: string, ids: readonly string[]) => void,
        private readonly flushOrder: FlushOrder,
        private readonly log: Logger,
    ) {
        this.opened = new Promise(resolve => this.onOpened = resolve);
        this.flusher = new StoreFlusher({
            store,
            remover,
            onFlushed: ids => this.recordFlushed(ids),
            onRefused: turn => this.postpone(turn),
            notifyFlushed,
            unflushedCount: () => this.unflushed.size,
            log,
        });
    }

    /** Whether the last call to the store succeeded. */
    get isStoreReachable(): boolean {
        return this.flusher.isStoreReachable;
    }

    /** Number of turns that are not yet in the store. */
    get unflushedCount(): number {
        return this.unflushed.size;
    }

    /**
     * Recovers the turns on the disk, from then on finds and flushes them, and starts to accept turns.
     *
     * @param newDiskIncompleteMs Time for which a new disk may lack turns acknowledged by a previous disk of the machine.
     * @param mayAccept Resolves once further turns may be accepted.
     * @param onOpened Called with what is left of that time before the first turn is accepted.
     */
    async start(
        newDiskIncompleteMs: number,
        mayAccept: Promise<void> = Promise.resolve(),
        onOpened: (incompleteMs: number) => void = () => {},
    ): Promise<void> {
        const isClosed = (): boolean => this.isClosed;
        const { payloads, segments, incompleteMs } = await this.disk.openWhenPossible(newDiskIncompleteMs, isClosed);
        segments.forEach(segment => this.unflushedBySegment.set(segment, 0));
        payloads.forEach(({ segment, payload }) => this.recover(segment, payload));
        this.removeFlushedSegments();
        this.completeAt = performance.now() + incompleteMs;
        onOpened(incompleteMs);
        this.onOpened();
        this.timer = setInterval(() => void this.flushDue(), flushPollMs);
        this.log.info("journal is open", { read: payloads.length, unflushed: this.unflushed.size, incompleteMs });
        await mayAccept;
        this.accepting = !this.isDraining;
    }

    /** An entry that this version does not know, as after a rollback, is left on the disk and keeps nothing else from being read. */
    private recover(segment: SegmentId, payload: Buffer): void {
        const entry = decodeEntry(payload);
        if (entry === undefined) {
            const kept = this.unflushedBySegment.get(segment) ?? 0;
            this.unflushedBySegment.set(segment, kept + 1);
            this.log.warn("journal entry not understood", { segment, bytes: payload.length });
        }
        else if ("turn" in entry) {
            this.addUnflushed(entry.turn, segment);
        }
        else {
            entry.flushed.forEach(id => this.markFlushed(id));
        }
    }

    /** Resolves to true once the turn has been synced to disk, or to false if the journal accepts no turns now. */
    async append(turn: JournaledTurn): Promise<boolean> {
        if (!this.accepting || this.unflushedBytes > maxUnflushedBytes) {
            this.log.info("turn not taken into the journal", {
                turn: turn.id,
                accepting: this.accepting,
                bytes: this.unflushedBytes,
            });
            return false;
        }
        const entry: LogEntry = { turn };
        this.appendsInFlight += 1;
        try {
            this.addUnflushed(turn, await this.disk.append(packr.pack(entry)));
        }
        finally {
            this.appendsInFlight -= 1;
        }
        return true;
    }

    find(id: string): FindTurnResponse {
        const record = this.unflushed.get(id)?.record ?? this.flushedCache.get(id);
        return { record, complete: performance.now() >= this.completeAt };
    }

    /** Records that another holder has flushed turns to the store. */
    onPeerFlushed(ids: readonly string[]): void {
        this.recordFlushed(ids.filter(id => this.unflushed.has(id)));
    }

    /** Stops accepting turns and flushes all of them to the store, also those that are still to be read from the disk. */
    async drain(): Promise<void> {
        this.isDraining = true;
        this.accepting = false;
        await this.opened;
        // A turn that is being written to the disk has been accepted, too.
        while (this.unflushed.size > 0 || this.appendsInFlight > 0) {
            await this.flusher.flush(batchesOf([...this.unflushed.values()]));
            await new Promise(resolve => setTimeout(resolve, flushPollMs));
        }
    }

    async close(): Promise<void> {
        this.isClosed = true;
        this.accepting = false;
        clearInterval(this.timer);
        await this.disk.close();
    }

    private addUnflushed(turn: JournaledTurn, segment: SegmentId): void {
        if (this.unflushed.has(turn.id) || this.flushedCache.has(turn.id)) {
            return;
        }
        const position = this.flushOrder.positionOf(turn);
        const dueAt = performance.now() + firstFlushDelayMs + position * laterFlushDelayMs;
        this.unflushed.set(turn.id, { ...turn, segment, position, dueAt, isRefused: false });
        this.unflushedBytes += turn.record.length;
        this.unflushedBySegment.set(segment, (this.unflushedBySegment.get(segment) ?? 0) + 1);
    }

    private async flushDue(): Promise<void> {
        const now = performance.now();
        if (!this.flusher.isIdle(now)) {
            return;
        }
        const batches = dueBatches([...this.unflushed.values()], now);
        if (batches.length > 0) {
            await this.flusher.flush(batches);
        }
    }

    /** The turn stays on the disk, from which it can be read, and is tried again now and then. */
    private postpone(turn: UnflushedTurn): void {
        if (this.unflushed.get(turn.id) === turn) {
            this.unflushed.set(turn.id, { ...turn, dueAt: performance.now() + refusedRetryMs, isRefused: true });
        }
    }

    private recordFlushed(ids: readonly string[]): void {
        if (ids.length === 0) {
            return;
        }
        ids.forEach(id => this.markFlushed(id));
        this.removeFlushedSegments();
        const entry: LogEntry = { flushed: ids };
        // If this entry is lost in a crash, the turns are only written to the store again.
        this.disk.append(packr.pack(entry)).catch((err: unknown) =>
            this.log.warn("failed to log flushed turns", { turns: ids.length, error: asError(err).message })
        );
    }

    private markFlushed(id: string): void {
        const turn = this.unflushed.get(id);
        if (turn === undefined) {
            return;
        }
        this.unflushed.delete(id);
        this.unflushedBytes -= turn.record.length;
        this.flushedCache.add(turn);
        this.unflushedBySegment.set(turn.segment, this.unflushedBySegment.get(turn.segment)! - 1);
    }

    /** Deletes segments whose turns are all in the store. Their `flushed` entries may be lost without harm. */
    private removeFlushedSegments(): void {
        if (this.appendsInFlight > 0) {
            return;
        }
        for (const [segment, unflushedTurns] of this.unflushedBySegment) {
            if (unflushedTurns === 0) {
                void this.removeSegment(segment);
            }
        }
    }

    private async removeSegment(segment: SegmentId): Promise<void> {
        this.unflushedBySegment.delete(segment);
        try {
            if (!await this.disk.removeSegment(segment)) {
                // The active segment stays registered until it is closed.
                this.unflushedBySegment.set(segment, this.unflushedBySegment.get(segment) ?? 0);
            }
        }
        catch (err) {
            this.log.warn("journal segment not removed", { segment, error: asError(err).message });
        }
    }
}

/** Returns undefined for an entry of another kind. */
const decodeEntry = (payload: Buffer): LogEntry | undefined => {
    try {
        const entry = packr.unpack(payload) as Partial<Record<"turn" | "flushed", unknown>> | undefined;
        const isTurn = typeof (entry?.turn as JournaledTurn | undefined)?.id === "string";
        return isTurn || Array.isArray(entry?.flushed) ? entry as LogEntry : undefined;
    }
    catch {
        return undefined;
    }
};
