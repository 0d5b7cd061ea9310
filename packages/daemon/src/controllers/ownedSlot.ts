/** A slot that this instance owns: its last stored record, and the mutations that are yet to be stored. */
import { asError } from "@marigolddrift/common";
import { openWriter } from "@marigolddrift/ledger";
import type { SlotRecord, StoredRecord, WriterState } from "@marigolddrift/ledger";

import { NotOwnerError } from "../peers/peerErrors.js";

export type Mutation = (record: SlotRecord) => SlotRecord;

interface Waiter {
    resolve(): void;
    reject(err: Error): void;
}

/** State of an owned slot, with all mutations applied in memory before they are stored. */
export class OwnedSlot {
    writer: WriterState;
    /** Number of calls in progress. */
    active = 0;
    /** Set during a handover; new calls must wait for the next owner. */
    closing = false;
    private workingRecord: SlotRecord;
    private queued: Waiter[] = [];
    private committing: Waiter[] = [];

    /** @param provisional Whether the slot is owned only in memory, because the store is unavailable. */
    constructor(readonly slot: number, stored: StoredRecord, readonly provisional: boolean) {
        this.writer = openWriter(stored);
        this.workingRecord = stored.record;
    }

    get epoch(): number {
        return this.workingRecord.epoch;
    }

    /** The record with all mutations, including those that are not stored yet. */
    get record(): SlotRecord {
        return this.workingRecord;
    }

    get isDirty(): boolean {
        return this.queued.length > 0;
    }

    get isLost(): boolean {
        return this.writer.kind === "lost";
    }

    /** Applies a mutation; resolves once it is stored. */
    mutate(mutation: Mutation): Promise<void> {
        if (this.isLost) {
            return Promise.reject(new NotOwnerError(this.slot));
        }
        try {
            this.workingRecord = mutation(this.workingRecord);
        }
        catch (err) {
            return Promise.reject(asError(err));
        }
        return new Promise((resolve, reject) => this.queued.push({ resolve, reject }));
    }

    /** Starts a commit of the queued mutations; returns the record to be stored. */
    beginCommit(compacted: SlotRecord): SlotRecord {
        this.workingRecord = compacted;
        this.committing = this.queued;
        this.queued = [];
        return this.workingRecord;
    }

    /** Called when the record that {@link beginCommit} returned is stored. */
    onCommitted(): void {
        this.committing.forEach(waiter => waiter.resolve());
        this.committing = [];
    }

    /** Rejects all pending mutations, and rolls the record back to the last stored one unless the slot is lost. */
    rejectPending(err: Error): void {
        const waiters = [...this.committing, ...this.queued];
        this.committing = [];
        this.queued = [];
        if (this.writer.kind !== "lost") {
            this.workingRecord = this.writer.stored.record;
        }
        waiters.forEach(waiter => waiter.reject(err));
    }

    /** Called when another instance has become the owner; rejects all pending mutations. */
    onLost(): void {
        this.writer = { kind: "lost" };
        this.rejectPending(new NotOwnerError(this.slot));
    }
}
