/** The shares that are lent to this instance, by lender. */
import { leaseOf, quotaSlots, shareOfSlot } from "@marigolddrift/policy";
import type { ShareLease, ShareOffer } from "@marigolddrift/policy";

/** Called for each slot whose sum of shares changes, with the time of the change. */
export type ShareListener = (slot: number, share: number, at: number) => void;

/** Keeps the leases of all lenders and the sum of the shares by slot. */
export class LentShares {
    private readonly leases = new Map<string, ShareLease>();
    private readonly shares = new Array<number>(quotaSlots).fill(0);
    private nextExpiry = Infinity;

    /** @param issuer Identifies this process in its offers. */
    constructor(readonly issuer: number, private readonly onChange: ShareListener) {}

    /** Part of the quotas of a slot that may be granted here, as of the last {@link expire}. */
    shareOf(slot: number): number {
        return this.shares[slot]!;
    }

    /** Number of instances that lend their share. */
    get lenders(): number {
        return this.leases.size;
    }

    /** Ends the leases that have expired, each as of its own end. */
    expire(now: number): void {
        if (now < this.nextExpiry) {
            return;
        }
        const expired = [...this.leases].filter(([, { until }]) => until <= now).sort(([, a], [, b]) =>
            a.until - b.until
        );
        for (const [lender, { until }] of expired) {
            this.leases.delete(lender);
            this.sumUp(until);
        }
        this.nextExpiry = Math.min(Infinity, ...[...this.leases.values()].map(({ until }) => until));
    }

    /** Records the lease of a lender that accepts an offer. */
    accept(lender: string, offer: ShareOffer, members: number, slots: number, now: number): void {
        const lease = leaseOf(offer, this.issuer, members, slots, now);
        const known = this.leases.get(lender);
        if (lease === undefined || (known !== undefined && known.until > lease.until)) {
            return;
        }
        this.leases.set(lender, lease);
        this.nextExpiry = Math.min(this.nextExpiry, lease.until);
        if (known?.slots !== slots || known.share !== lease.share) {
            this.sumUp(now);
        }
    }

    private sumUp(at: number): void {
        for (let slot = 0; slot < quotaSlots; slot++) {
            const share = shareOfSlot(this.leases.values(), slot);
            if (share !== this.shares[slot]) {
                this.shares[slot] = share;
                this.onChange(slot, share, at);
            }
        }
    }
}
