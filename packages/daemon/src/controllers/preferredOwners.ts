/** Caches the preferred owner of each slot. */
import type { Member, Membership } from "./membership.js";

/** Preferred owners by slot; recomputed only when the members, the zones or the slot count change. */
export class PreferredOwners {
    private key = "";
    private slots: (Member | undefined)[] = [];

    constructor(
        private readonly membership: Membership,
        private readonly slotCount: () => number,
        private readonly zones: () => readonly string[],
    ) {}

    ownerOf(slot: number): Member | undefined {
        const members = this.membership.members().map(member => member.instance).sort();
        const zones = this.zones();
        const count = this.slotCount();
        const key = [...members, ...zones, count].join();
        if (this.key !== key) {
            this.slots = Array.from({ length: count }, (_, slot) => this.membership.preferredOwner(slot, zones));
            this.key = key;
        }
        return this.slots[slot];
    }
}
