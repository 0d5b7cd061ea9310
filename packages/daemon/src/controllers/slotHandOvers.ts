/** Prepares slots for the next owner: waits for calls in progress, and writes down what only this owner knows. */
import { asError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import { releaseSlot } from "@marigolddrift/ledger";
import type { SlotRecord } from "@marigolddrift/ledger";

import type { Mutation, OwnedSlot } from "./ownedSlot.js";

/** Time for which a slot stays open for new calls while its hand-over waits for a quiet moment, in milliseconds. */
export const handOverPatienceMs = 3_000;
const pollMs = 50;

/** Gives slots up in an orderly way. */
export class SlotHandOvers {
    /**
     * @param write Changes a slot's record durably.
     * @param settle Adds what only the owner knows to the record.
     */
    constructor(
        private readonly write: (slot: OwnedSlot, mutation: Mutation) => Promise<void>,
        private readonly settle: (record: SlotRecord) => SlotRecord,
        private readonly log: Logger,
    ) {}

    /** Closes a slot and stores its last record; returns false, with the slot open again, if calls go on for too long. */
    async prepare(slot: OwnedSlot, progress: Progress): Promise<boolean> {
        if (!await this.waitUntilQuiet(slot, progress)) {
            slot.closing = false;
            return false;
        }
        slot.closing = true;
        if (slot.provisional || slot.isLost) {
            return true;
        }
        try {
            // Once the write is under way the slot stays closed: the record may name no owner at any moment.
            await this.write(slot, record => releaseSlot(this.settle(record)));
        }
        catch (err) {
            this.log.warn("slot lost during its hand-over", { slot: slot.slot, error: asError(err).message });
        }
        return true;
    }

    private async waitUntilQuiet(slot: OwnedSlot, progress: Progress): Promise<boolean> {
        const patience = Date.now() + handOverPatienceMs;
        try {
            while (slot.active > 0) {
                slot.closing ||= Date.now() > patience;
                await progress.sleep(pollMs);
            }
            return true;
        }
        catch {
            return false;
        }
    }
}
