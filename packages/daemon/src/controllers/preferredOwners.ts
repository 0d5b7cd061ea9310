/** Which instance should own each slot, worked out again only when the members change. */
import type { Member, Membership } from "./membership.js";

/** Preferred owners by slot. */
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
