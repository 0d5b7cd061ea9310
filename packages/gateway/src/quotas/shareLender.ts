/** Lends this instance's share of all quotas to the instances that grant permits, and tells which these are. */
import { RendezvousTable } from "@marigolddrift/common";
import { grantersFor, lendShare, mayLend, quotaSlots, wholePermitHolders } from "@marigolddrift/policy";
import type { LentShare, QuotaTerms, ShareOffer } from "@marigolddrift/policy";

import type { Duties } from "../fleet/duties.js";
import type { LocalInstance } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";

/** Time for which the choice of a granting instance is kept. */
const choiceTtlMs = 20;

/** Key of the duty to grant permits; instances of all versions must use the same. */
const dutyKey = "quota granter";

/** The front instances of one version of the member list. */
interface Members {
    readonly version: number;
    readonly all: RendezvousTable;
    readonly byRegion: ReadonlyMap<string, number>;
}

interface Choice {
    readonly granter: string | undefined;
    readonly at: number;
}

/** Records to which instance the share of each slot is lent, so that it is never lent to two at a time. */
export class ShareLender {
    private readonly lent = new Array<LentShare | undefined>(quotaSlots).fill(undefined);
    private readonly choices = new Map<string, Choice>();
    private members: Members | undefined;
    /** Monotonic time until which shares may be spent that were lent before the latest member was added. */
    private formerSharesUntil = -Infinity;

    /**
     * @param isEligible Whether a peer may be asked now.
     * @param mayLendAt Time before which no share is lent: a process that ran at this address before may have lent it.
     */
    constructor(
        private readonly localInstance: LocalInstance,
        private readonly duties: Pick<Duties, "firstCoordinator">,
        private readonly peers: Pick<Peers, "version" | "namesInRegion" | "regions" | "isSettled">,
        private readonly isEligible: (name: string) => boolean,
        private readonly mayLendAt: () => number,
    ) {}

    /** Number of front instances that are known, including this one, whether or not they respond. */
    get memberCount(): number {
        return this.currentMembers().all.names.length;
    }

    /** Number of front instances of this region that are known, including this one. */
    get regionMemberCount(): number {
        return this.membersOf(this.localInstance.region);
    }

    /** The instance of this region that grants the permits of a slot; this one if no other can be reached. */
    granterOf(slot: number): string {
        return this.choose(slot, this.localInstance.region) ?? this.localInstance.address();
    }

    /** The instance of another region that grants the permits of a slot. */
    otherGranterOf(slot: number): string | undefined {
        for (const region of this.currentMembers().byRegion.keys()) {
            const granter = region === this.localInstance.region ? undefined : this.choose(slot, region);
            if (granter !== undefined) {
                return granter;
            }
        }
        return undefined;
    }

    /** The instances of this region that grant permits of any slot. */
    granters(): Set<string> {
        return new Set(Array.from({ length: quotaSlots }, (_, slot) => this.granterOf(slot)));
    }

    /** Bit mask of the slots that may be lent to a granting instance now. */
    lendableTo(granter: string, now: number): number {
        if (!this.peers.isSettled || now < this.mayLendAt()) {
            return 0;
        }
        return this.mask(slot => this.granterOf(slot) === granter && mayLend(this.lent[slot], granter, now));
    }

    /** Whether a granting instance holds less than it may be lent. */
    isMissingShares(granter: string, now: number): boolean {
        const held = this.mask(slot => this.lent[slot]?.granter === granter && now < this.lent[slot].until);
        return (this.lendableTo(granter, now) & ~held) !== 0;
    }

    /** Lends what may be lent, for the time of an offer that arrived at `receivedAt`; returns the bit mask of the slots. */
    accept(granter: string, { leaseMs }: ShareOffer, receivedAt: number, now: number): number {
        const slots = this.lendableTo(granter, now);
        for (let slot = 0; slot < quotaSlots; slot++) {
            if ((slots >> slot & 1) === 1) {
                this.lent[slot] = lendShare(this.lent[slot], granter, receivedAt, leaseMs);
            }
        }
        return slots;
    }

    /** Whether a member is counted in all shares that are lent and may still be spent. */
    countsWith(name: string, now: number): boolean {
        return this.currentMembers().all.names.includes(name) && now >= this.formerSharesUntil;
    }

    /** Whether this instance is one of those that may hold a whole permit with a small share. */
    mayHoldWhole(workspace: string, terms: QuotaTerms, share: number, slack: number): boolean {
        const holders = wholePermitHolders(terms, share, slack);
        return this.currentMembers().all.rank(workspace).slice(0, holders).includes(this.localInstance.address());
    }

    private mask(includes: (slot: number) => boolean): number {
        let slots = 0;
        for (let slot = 0; slot < quotaSlots; slot++) {
            slots |= includes(slot) ? 1 << slot : 0;
        }
        return slots;
    }

    private choose(slot: number, region: string): string | undefined {
        const now = performance.now();
        const duty = `${dutyKey} ${slot % Math.max(1, grantersFor(this.membersOf(region)))}`;
        const key = `${region}:${duty}`;
        const known = this.choices.get(key);
        if (known !== undefined && now - known.at < choiceTtlMs) {
            return known.granter;
        }
        const granter = this.duties.firstCoordinator(duty, region, this.isEligible);
        this.choices.set(key, { granter, at: now });
        return granter;
    }

    /** Number of front instances of a region that are known, including this one. */
    private membersOf(region: string): number {
        return this.currentMembers().byRegion.get(region) ?? 0;
    }

    private currentMembers(): Members {
        const { version } = this.peers;
        const { region: localRegion } = this.localInstance;
        const localName = this.localInstance.address();
        if (this.members?.version !== version) {
            const regions = [...new Set([...this.peers.regions(), localRegion])];
            const names = new Map(
                regions.map(
                    region => [region, [
                        ...this.peers.namesInRegion(region),
                        ...(region === localRegion ? [localName] : []),
                    ]],
                ),
            );
            const all = new RendezvousTable([...names.values()].flat());
            this.noteAdded(all.names);
            this.members = {
                version,
                all,
                byRegion: new Map([...names].map(([region, members]) => [region, members.length])),
            };
        }
        return this.members;
    }

    /** Shares that were lent before a member was added are larger than those that are lent from now on. */
    private noteAdded(names: readonly string[]): void {
        const known = new Set(this.members?.all.names);
        if (names.some(name => !known.has(name))) {
            this.formerSharesUntil = Math.max(...this.lent.map(lent => lent?.until ?? -Infinity));
        }
    }
}
