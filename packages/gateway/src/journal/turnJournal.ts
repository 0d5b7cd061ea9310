/**
 * Journals turns on one disk until they are flushed to the platform's store. Load pattern: many turns end each second,
 * which would cost a store call each, and some end while the store is unavailable.
 */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";
import { Packr } from "msgpackr";

import type { MemoryShares } from "../memory/memoryShares.js";
import type { FindTurnResponse, JournaledTurn } from "../peers/peerMessages.js";
import type { RecordRemover } from "../turns/recordRemover.js";
import type { DiskLog, LogPlace, SegmentId } from "./diskLog.js";
import { batchesOf, dueBatches } from "./flushBatch.js";
import type { UnflushedTurn } from "./flushBatch.js";
import type { FlushOrder } from "./flushOrder.js";
import { RecordMemory } from "./recordMemory.js";
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

/** Memory for unflushed turns, and for flushed ones, if the settings name none; other unflushed ones are read from the disk. */
const defaultUnflushedMemoryBytes = 14 * 1024 * 1024;
const defaultFlushedMemoryBytes = 18 * 1024 * 1024;

const packr = new Packr({ useRecords: false });

/** An entry of the log: a turn, or the ids of turns that have been flushed. */
type LogEntry = { readonly turn: JournaledTurn; } | { readonly flushed: readonly string[]; };

/** Memory for the records of turns that are also on the disk or in the store. */
export type JournalMemory = Pick<MemoryShares, "unflushedBytes" | "flushedBytes">;

/** The journal of one machine. */
export class TurnJournal {
    private readonly unflushed = new Map<string, UnflushedTurn>();
    private unflushedBytes = 0;
    /** Records of unflushed turns; those that are not here are read from the disk. */
    private readonly unflushedRecords: RecordMemory;
    /** Records of the turns that were flushed last, so that peers find them here without a call to the store. */
    private readonly flushedRecords: RecordMemory;
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
        memory: JournalMemory = {
            unflushedBytes: defaultUnflushedMemoryBytes,
            flushedBytes: defaultFlushedMemoryBytes,
        },
    ) {
        this.unflushedRecords = new RecordMemory(memory.unflushedBytes);
        this.flushedRecords = new RecordMemory(memory.flushedBytes);
        this.opened = new Promise(resolve => this.onOpened = resolve);
        this.flusher = new StoreFlusher({
            store,
            remover,
            load: turn => this.loadRecord(turn),
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

    /** Size of the records in memory. */
    get recordBytes(): number {
        return this.unflushedRecords.heldBytes + this.flushedRecords.heldBytes;
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
        const { payloads, segments, incompleteMs } = await this.disk.openWhenPossible(
            newDiskIncompleteMs,
            isClosed,
            (payload, place) => this.recover(payload, place),
        );
        segments.forEach(segment => this.addUnflushedIn(segment, 0));
        this.removeFlushedSegments();
        this.completeAt = performance.now() + incompleteMs;
        onOpened(incompleteMs);
        this.onOpened();
        this.timer = setInterval(() => void this.flushDue(), flushPollMs);
        this.log.info("journal is open", { read: payloads, unflushed: this.unflushed.size, incompleteMs });
        await mayAccept;
        this.accepting = !this.isDraining;
    }

    /** An entry that this version does not know, as after a rollback, is left on the disk and keeps nothing else from being read. */
    private recover(payload: Buffer, place: LogPlace): void {
        const entry = decodeEntry(payload);
        const { segment } = place;
        if (entry === undefined) {
            this.addUnflushedIn(segment, 1);
            this.log.warn("journal entry not understood", { segment, bytes: payload.length });
        }
        else if ("turn" in entry) {
            // A part of the payload would keep the memory of the whole segment.
            this.addUnflushed({ ...entry.turn, record: Buffer.from(entry.turn.record) }, place);
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

    async find(id: string): Promise<FindTurnResponse> {
        const unflushed = this.unflushed.get(id);
        const record = unflushed === undefined ? this.flushedRecords.get(id) : await this.findUnflushed(unflushed);
        return { record, complete: performance.now() >= this.completeAt };
    }

    /** Its segment may be deleted meanwhile, once the store has the turn, where the peer looks, too. */
    private async findUnflushed(turn: UnflushedTurn): Promise<Buffer | undefined> {
        try {
            return await this.loadRecord(turn);
        }
        catch (err) {
            if (this.unflushed.has(turn.id)) {
                throw err;
            }
            return this.flushedRecords.get(turn.id);
        }
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

    private addUnflushed({ record, ...turn }: JournaledTurn, place: LogPlace): void {
        if (this.unflushed.has(turn.id) || this.flushedRecords.has(turn.id)) {
            return;
        }
        const position = this.flushOrder.positionOf(turn);
        const dueAt = performance.now() + firstFlushDelayMs + position * laterFlushDelayMs;
        this.unflushed.set(turn.id, { ...turn, place, bytes: record.length, position, dueAt, isRefused: false });
        this.unflushedRecords.add(turn.id, record);
        this.unflushedBytes += record.length;
        this.addUnflushedIn(place.segment, 1);
    }

    private addUnflushedIn(segment: SegmentId, turns: number): void {
        this.unflushedBySegment.set(segment, (this.unflushedBySegment.get(segment) ?? 0) + turns);
    }

    /** @throws Error if the disk has lost the turn. */
    private async loadRecord({ id, place }: UnflushedTurn): Promise<Buffer> {
        const record = this.unflushedRecords.get(id);
        if (record !== undefined) {
            return record;
        }
        const entry = decodeEntry(await this.disk.read(place));
        if (entry === undefined || !("turn" in entry)) {
            throw new Error("the entry on the disk is none of a turn");
        }
        return entry.turn.record;
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
        const record = this.unflushedRecords.get(id);
        this.unflushed.delete(id);
        this.unflushedRecords.delete(id);
        this.unflushedBytes -= turn.bytes;
        if (record !== undefined) {
            this.flushedRecords.add(id, record);
        }
        this.addUnflushedIn(turn.place.segment, -1);
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
