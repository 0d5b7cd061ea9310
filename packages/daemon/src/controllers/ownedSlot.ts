/** One slot that this instance owns: the confirmed record, and the mutations that wait to be stored. */
import { asError } from "@marigolddrift/common";
import { openWriter } from "@marigolddrift/ledger";
import type { SlotRecord, StoredRecord, WriterState } from "@marigolddrift/ledger";

import { NotOwnerError } from "../peers/peerErrors.js";

export type Mutation = (record: SlotRecord) => SlotRecord;

interface Waiter {
    resolve(): void;
    reject(err: Error): void;
}

/** State of an owned slot. */
export class OwnedSlot {
    writer: WriterState;
    /** Calls that are being worked on. */
    active = 0;
    /** Set while the slot is being handed over; new calls must wait for the next owner. */
    closing = false;
    private working: SlotRecord;
    private queued: Waiter[] = [];
    private storing: Waiter[] = [];

    /** @param provisional Whether the slot is only held in memory, because the store is away. */
    constructor(readonly slot: number, stored: StoredRecord, readonly provisional: boolean) {
        this.writer = openWriter(stored);
        this.working = stored.record;
    }

    get epoch(): number {
        return this.working.epoch;
    }

    /** The record with all mutations, stored or not. */
    get record(): SlotRecord {
        return this.working;
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
            this.working = mutation(this.working);
        }
        catch (err) {
            return Promise.reject(asError(err));
        }
        return new Promise((resolve, reject) => this.queued.push({ resolve, reject }));
    }

    /** Begins to store what is queued; returns the record to be stored. */
    beginStoring(compacted: SlotRecord): SlotRecord {
        this.working = compacted;
        this.storing = this.queued;
        this.queued = [];
        return this.working;
    }

    /** What {@link beginStoring} returned is stored. */
    onStored(): void {
        this.storing.forEach(waiter => waiter.resolve());
        this.storing = [];
    }

    /** What was queued cannot be stored; the record is as it was confirmed. */
    onUnstorable(err: Error): void {
        const waiters = [...this.storing, ...this.queued];
        this.storing = [];
        this.queued = [];
        if (this.writer.kind !== "lost") {
            this.working = this.writer.stored.record;
        }
        waiters.forEach(waiter => waiter.reject(err));
    }

    /** Another instance owns the slot. */
    onLost(): void {
        this.writer = { kind: "lost" };
        this.onUnstorable(new NotOwnerError(this.slot));
    }
}
