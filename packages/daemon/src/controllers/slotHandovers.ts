/** Prepares slots for their next owner: waits for active calls, and stores the state that only this owner holds. */
import { asError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import { releaseSlot } from "@marigolddrift/ledger";
import type { SlotRecord } from "@marigolddrift/ledger";

import type { Mutation, OwnedSlot } from "./ownedSlot.js";

/** Time for which a slot still accepts new calls while its handover waits for the active calls to end. */
export const handoverGraceMs = 3_000;
const pollMs = 50;

/** Closes slots and releases them in the store, so that the next owner need not wait for the lease to lapse. */
export class SlotHandovers {
    /**
     * @param mutate Applies a mutation to a slot's record durably.
     * @param finalizeRecord Adds the state that only the owner holds to the record.
     */
    constructor(
        private readonly mutate: (slot: OwnedSlot, mutation: Mutation) => Promise<void>,
        private readonly finalizeRecord: (record: SlotRecord) => SlotRecord,
        private readonly log: Logger,
    ) {}

    /** Closes a slot and stores its final record; reopens it and returns false if active calls do not end in time. */
    async prepare(slot: OwnedSlot, progress: Progress): Promise<boolean> {
        if (!await this.waitUntilIdle(slot, progress)) {
            slot.closing = false;
            return false;
        }
        slot.closing = true;
        if (slot.provisional || slot.isLost) {
            return true;
        }
        try {
            // From here on the slot stays closed: the write may remove the owner from the record at any moment.
            await this.mutate(slot, record => releaseSlot(this.finalizeRecord(record)));
        }
        catch (err) {
            this.log.warn("slot lost during its handover", { slot: slot.slot, error: asError(err).message });
        }
        return true;
    }

    private async waitUntilIdle(slot: OwnedSlot, progress: Progress): Promise<boolean> {
        const closeAt = Date.now() + handoverGraceMs;
        try {
            while (slot.active > 0) {
                slot.closing ||= Date.now() > closeAt;
                await progress.sleep(pollMs);
            }
            return true;
        }
        catch {
            return false;
        }
    }
}
