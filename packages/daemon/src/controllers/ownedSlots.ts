/** The slots that this instance owns, as it announces them to its peers. */
import type { Membership } from "./membership.js";
import type { OwnedSlot } from "./ownedSlot.js";
import type { SlotDirectory } from "./slotDirectory.js";

/** Time within which changes are announced together. */
const announceDelayMs = 10;

/** Keeps the owned slots, and announces each change of the set. */
export class OwnedSlots {
    private readonly bySlot = new Map<number, OwnedSlot>();
    private changes = 1;
    private announceTimer: NodeJS.Timeout | undefined;

    constructor(
        private readonly instance: string,
        private readonly directory: Pick<SlotDirectory, "recordAnnouncement">,
        private readonly membership: Pick<Membership, "broadcast">,
    ) {}

    /** Incremented whenever the set changes. */
    get version(): number {
        return this.changes;
    }

    all(): OwnedSlot[] {
        return [...this.bySlot.values()];
    }

    get(slot: number): OwnedSlot | undefined {
        return this.bySlot.get(slot);
    }

    has(slot: number): boolean {
        return this.bySlot.has(slot);
    }

    add(slot: OwnedSlot): void {
        this.bySlot.set(slot.slot, slot);
        this.onChanged();
    }

    remove(slot: number): void {
        this.bySlot.delete(slot);
        this.onChanged();
    }

    /** Durably owned slots, as a flat list of alternating slots and epochs. */
    announcement(): number[] {
        return this.all().filter(slot => !slot.provisional).flatMap(slot => [slot.slot, slot.epoch]);
    }

    private onChanged(): void {
        this.changes += 1;
        this.directory.recordAnnouncement(this.instance, this.announcement());
        this.announceTimer ??= setTimeout(() => {
            this.announceTimer = undefined;
            this.membership.broadcast({ type: "slots", version: this.changes, owned: this.announcement() });
        }, announceDelayMs);
    }
}
