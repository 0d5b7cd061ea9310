/**
 * Shares of all quotas that instances lend to the instances that grant permits. Load pattern: granting instances change, restart
 * and lose contact while dozens of instances ask them, and no share may be spent by two of them.
 */

/** A granting instance's offer to borrow a share. */
export interface ShareOffer {
    /** Identifies the process: the time of a process that ran at its address before has another origin. */
    readonly issuer: number;
    /** Time on the clock of the granting instance until which it may spend an accepted share. */
    readonly until: number;
    readonly leaseMs: number;
}

/** A share that is lent to this instance. */
export interface ShareLease {
    readonly until: number;
    readonly share: number;
    /** Bit mask of the slots whose share is lent. */
    readonly slots: number;
}

/** Where the share of a slot is, as its owner knows. */
export interface LentShare {
    readonly granter: string;
    /** Time on the owner's clock until which the granting instance may spend the share. */
    readonly until: number;
}

/** Number of parts of the workspaces; the share of each part is lent as a whole. */
export const quotaSlots = 16;

/** Shortest time of a lease. */
const minLeaseMs = 400;

/** Renewals in the time of a lease; the offer that a renewal accepts is one renewal old, so that one renewal may be late. */
export const shareRenewalsPerLease = 3;

/** Renewals a second that one granting instance handles, by which its control traffic stays under 9 KB/s. */
const maxRenewalsPerSecond = 50;

/** Members of a region for each granting instance, and the most granting instances of a region. */
const membersPerGranter = 16;
const maxGranters = 16;

/** Time between renewals of a lease, in milliseconds, in a region with a number of members. */
export const renewalMsFor = (members: number): number =>
    Math.max(minLeaseMs / shareRenewalsPerLease, members * 1_000 / maxRenewalsPerSecond);

/**
 * Time of a lease, in milliseconds, in a region with a number of members.
 *
 * @example
 * leaseMsFor(10) === 600;
 */
export const leaseMsFor = (members: number): number => Math.round(renewalMsFor(members) * shareRenewalsPerLease);

/**
 * Number of instances of a region that grant permits at a time.
 *
 * @example
 * grantersFor(53) === 4;
 */
export const grantersFor = (members: number): number => Math.min(maxGranters, Math.ceil(members / membersPerGranter));

/** Offers to borrow a share; the time of the lease starts now, before the owner has received the offer. */
export const offerShare = (issuer: number, leaseMs: number, now: number): ShareOffer => ({
    issuer,
    until: Math.floor(now + leaseMs),
    leaseMs,
});

/**
 * Returns the lease that an accepted offer stands for; undefined if it has expired or another process offered it.
 *
 * @param members Number of front instances that the owner knows, including itself.
 */
export const leaseOf = (
    offer: ShareOffer,
    issuer: number,
    members: number,
    slots: number,
    now: number,
): ShareLease | undefined =>
    offer.issuer !== issuer || offer.until <= now || offer.until > now + offer.leaseMs ?
        undefined :
        { until: offer.until, share: 1 / Math.max(1, members), slots };

/** Whether a lease includes a slot. */
export const includesSlot = ({ slots }: Pick<ShareLease, "slots">, slot: number): boolean => (slots >> slot & 1) === 1;

/** Whether the owner of a share may lend it to a granting instance: nobody else may still spend it. */
export const mayLend = (lent: LentShare | undefined, granter: string, now: number): boolean =>
    lent === undefined || lent.granter === granter || now >= lent.until;

/**
 * Records that an offer is accepted. The time counts from its receipt, which is later than the granting instance counts from.
 *
 * @example
 * if (mayLend(lent, name, now)) { lent = lendShare(lent, name, receivedAt, offer.leaseMs); }
 */
export const lendShare = (
    lent: LentShare | undefined,
    granter: string,
    receivedAt: number,
    leaseMs: number,
): LentShare => ({
    granter,
    until: Math.max(receivedAt + leaseMs, lent?.granter === granter ? lent.until : -Infinity),
});

/**
 * Part of all quotas that the leases of a slot amount to. Owners that know of different numbers of members are counted by the
 * largest of these, so that the shares of a fleet that grows do not add up to more than one.
 */
export const shareOfSlot = (leases: Iterable<ShareLease>, slot: number): number => {
    let count = 0;
    let share = 1;
    for (const lease of leases) {
        if (includesSlot(lease, slot)) {
            count += 1;
            share = Math.min(share, lease.share);
        }
    }
    return Math.min(1, count * share);
};
