/** Group commit of slot mutations, so that the write rate depends on the number of instances, not of calls. */
import { asError, ProblemError, Progress } from "@marigolddrift/common";
import type { Logger, Metrics } from "@marigolddrift/common";
import {
    beginWrite,
    compact,
    onApplied,
    onConflict,
    onNoReply,
    onReadBack,
    packRecord,
    RecordError,
    unpackRecord,
} from "@marigolddrift/ledger";
import type { StoredRecord } from "@marigolddrift/ledger";

import { StoreError } from "@marigolddrift/store";
import type { Store, TxnResult } from "@marigolddrift/store";
import { createNonce } from "../peers/handshake.js";
import type { OwnedSlot } from "./ownedSlot.js";

/** Key of a slot's record. */
export const slotKey = (slot: number): string => `/marigolddrift/slots/${String(slot).padStart(5, "0")}`;

/** Limit on the writes per second of all instances together. */
const maxFleetWritesPerSecond = 400;
const maxSlotsPerWrite = 64;
const maxBytesPerWrite = 1_000_000;
const attemptTimeoutMs = 1_500;
const minRetryMs = 100;
const maxRetryMs = 2_000;

interface SlotWrite {
    readonly slot: OwnedSlot;
    readonly bytes: Buffer;
    readonly revision: number;
}

/** Settings and callbacks of {@link GroupCommit}. */
export interface GroupCommitOptions {
    /** Number of instances that share the store. */
    instances(): number;
    retentionMs(): number;
    onLost(slot: OwnedSlot): void;
}

/** Writes the dirty slots of this instance to the store, one transaction at a time. */
export class GroupCommit {
    private readonly dirty = new Set<OwnedSlot>();
    private running = false;
    private stopped = false;
    private lastWriteAt = 0;
    private retryMs = minRetryMs;

    constructor(
        private readonly store: Store,
        private readonly options: GroupCommitOptions,
        private readonly log: Logger,
        private readonly metrics: Metrics,
    ) {}

    /** Marks a slot as dirty, and starts the commit loop if it is not running. */
    schedule(slot: OwnedSlot): void {
        this.dirty.add(slot);
        if (!this.running && !this.stopped) {
            this.running = true;
            void this.run();
        }
    }

    stop(): void {
        this.stopped = true;
    }

    /** Reads the record of a slot from the store. */
    async read(slot: number, progress: Progress): Promise<StoredRecord | undefined> {
        const stored = await this.store.get(slotKey(slot), progress);
        return stored === undefined ? undefined : { record: unpackRecord(stored.value), revision: stored.revision };
    }

    private async run(): Promise<void> {
        try {
            while (this.dirty.size > 0 && !this.stopped) {
                await this.throttle();
                await this.commitOnce();
            }
        }
        catch (err) {
            this.log.error("group commit failed", { error: asError(err).message });
        }
        finally {
            this.running = false;
        }
    }

    /** Delays the next write so that all instances together stay within {@link maxFleetWritesPerSecond}. */
    private async throttle(): Promise<void> {
        const interval = 1000 * Math.max(1, this.options.instances()) / maxFleetWritesPerSecond;
        const wait = this.lastWriteAt + interval - Date.now();
        if (wait > 0) {
            await new Promise(resolve => setTimeout(resolve, wait));
        }
        this.lastWriteAt = Date.now();
    }

    private async commitOnce(): Promise<void> {
        const writes = this.beginWrites();
        if (writes.length === 0) {
            return;
        }
        const outcome = await this.attempt(writes);
        if (outcome === "unknown") {
            await this.readBack(writes);
        }
        else if (outcome.succeeded) {
            this.retryMs = minRetryMs;
            writes.forEach(write => this.settleApplied(write.slot, outcome.revision));
        }
        else {
            await this.commitIndividually(writes);
        }
    }

    /** Begins the writes of as many slots as fit into one transaction. */
    private beginWrites(): SlotWrite[] {
        const writes: SlotWrite[] = [];
        let size = 0;
        for (const slot of [...this.dirty]) {
            if (writes.length >= maxSlotsPerWrite || size > maxBytesPerWrite) {
                break;
            }
            this.dirty.delete(slot);
            const write = this.beginSlotWrite(slot);
            if (write !== undefined) {
                writes.push(write);
                size += write.bytes.length;
            }
        }
        return writes;
    }

    private beginSlotWrite(slot: OwnedSlot): SlotWrite | undefined {
        if (slot.writer.kind === "idle") {
            const next = compact(slot.record, Date.now(), this.options.retentionMs());
            slot.writer = beginWrite(slot.writer, slot.beginCommit(next), createNonce());
        }
        if (slot.writer.kind !== "writing") {
            return undefined;
        }
        try {
            return { slot, bytes: packRecord(slot.writer.next), revision: slot.writer.stored.revision };
        }
        catch (err) {
            this.rejectTooLarge(slot, err);
            return undefined;
        }
    }

    private rejectTooLarge(slot: OwnedSlot, err: unknown): void {
        if (!(err instanceof RecordError) || slot.writer.kind !== "writing") {
            throw err;
        }
        slot.writer = { kind: "idle", stored: slot.writer.stored };
        slot.rejectPending(new ProblemError("ledger_full", "notRun", err.message));
    }

    private async attempt(writes: readonly SlotWrite[]): Promise<TxnResult | "unknown"> {
        const progress = new Progress(attemptTimeoutMs);
        const compares = writes.map(({ slot, revision }) => ({ key: slotKey(slot.slot), revision }));
        const puts = writes.map(({ slot, bytes }) => ({ key: slotKey(slot.slot), value: bytes }));
        this.metrics.count("store.commits");
        this.metrics.count("store.slots_committed", writes.length);
        try {
            return await this.store.txn(compares, puts, progress);
        }
        catch (err) {
            this.log.warn("store write failed", { slots: writes.length, error: asError(err).message });
            const applied = err instanceof StoreError ? err.applied : "unknown";
            this.metrics.count(`store.failed_${applied}`);
            writes.forEach(({ slot }) => slot.writer = onNoReply(slot.writer));
            return "unknown";
        }
        finally {
            progress.dispose();
        }
    }

    private settleApplied(slot: OwnedSlot, revision: number): void {
        slot.writer = onApplied(slot.writer, revision);
        slot.onCommitted();
        this.requeueIfDirty(slot);
    }

    /** Writes each slot alone after a joint write was refused, to find the slot that conflicts. */
    private async commitIndividually(writes: readonly SlotWrite[]): Promise<void> {
        for (const write of writes) {
            const outcome = await this.attempt([write]);
            if (outcome === "unknown") {
                await this.readBack([write]);
            }
            else if (outcome.succeeded) {
                this.settleApplied(write.slot, outcome.revision);
            }
            else {
                await this.settleRefused(write.slot);
            }
        }
    }

    private async settleRefused(slot: OwnedSlot): Promise<void> {
        const current = await this.readWithRetry(slot);
        slot.writer = onConflict(slot.writer, current);
        this.settleFromReadBack(slot);
    }

    /** Settles writes without a reply by reading the records back. */
    private async readBack(writes: readonly SlotWrite[]): Promise<void> {
        for (const { slot } of writes) {
            const current = await this.readWithRetry(slot);
            slot.writer = onReadBack(slot.writer, current);
            this.settleFromReadBack(slot);
        }
    }

    private settleFromReadBack(slot: OwnedSlot): void {
        if (slot.writer.kind === "idle") {
            slot.onCommitted();
            this.requeueIfDirty(slot);
        }
        else if (slot.writer.kind === "writing") {
            this.dirty.add(slot);
        }
        else {
            slot.onLost();
            this.options.onLost(slot);
        }
    }

    private requeueIfDirty(slot: OwnedSlot): void {
        if (slot.isDirty) {
            this.dirty.add(slot);
        }
    }

    private async readWithRetry(slot: OwnedSlot): Promise<StoredRecord | undefined> {
        for (;;) {
            const progress = new Progress(attemptTimeoutMs);
            try {
                return await this.read(slot.slot, progress);
            }
            catch (err) {
                this.log.debug("store read failed", { slot: slot.slot, error: asError(err).message });
                await new Promise(resolve => setTimeout(resolve, this.retryMs));
                this.retryMs = Math.min(maxRetryMs, this.retryMs * 2);
                if (this.stopped) {
                    throw err;
                }
            }
            finally {
                progress.dispose();
            }
        }
    }
}
