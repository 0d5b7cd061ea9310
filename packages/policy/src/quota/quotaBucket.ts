/**
 * Token buckets for the requests of a workspace, scaled by the shares of the quota that an instance holds.
 * Load pattern: a few requests a second of one workspace from dozens of instances, in bursts, under a limit for all of them.
 */

/** Requests that a workspace may make through all instances together. */
export interface QuotaTerms {
    readonly perSecond: number;
    /** Requests that may be made at once after a pause, beyond the rate. */
    readonly burst: number;
}

/** The part of a quota that one instance may grant. */
export interface ScaledQuota {
    readonly perSecond: number;
    readonly capacity: number;
    /** Time for which a granted permit may be used. */
    readonly permitTtlMs: number;
}

/** Permits that can be granted at once, as of a moment, and those granted lately. */
export interface QuotaBucket {
    readonly level: number;
    readonly at: number;
    /** Permits granted lately, by slice of time, the latest slice first. */
    readonly recent: readonly number[];
    readonly slice: number;
}

/** Slices of the time for which a permit may be used; more than one such time is kept, since a lent permit is granted twice. */
const slicesPerTtl = 5;
const slices = 8;

/** Share of the quota from which an instance holds whole permits, whatever the burst; at most five instances have that much. */
const mainShare = 0.2;

/** Part of the window's slack that the whole permits of all instances with smaller shares may take together. */
const slackShareOfSmall = 0.5;

const noGrants: readonly number[] = new Array<number>(slices).fill(0);

/** A new bucket is empty: whoever granted permits of the same shares before may have emptied its own just now. */
export const createQuotaBucket = (now: number): QuotaBucket => ({ level: 0, at: now, recent: noGrants, slice: 0 });

/**
 * Number of instances with a small share that may hold a whole permit although their part of the burst is less than one, so that
 * all of these together stay within half of the window's slack.
 *
 * @example
 * wholePermitHolders({ perSecond: 2, burst: 4 }, 1 / 53, 20) === 10;
 */
export const wholePermitHolders = ({ burst }: QuotaTerms, share: number, slack: number): number => {
    const excess = 1 - burst * share;
    return excess <= 0 ? Infinity : Math.floor(slack * slackShareOfSmall / excess);
};

/**
 * Returns the part of a quota that an instance may grant with a share of it.
 *
 * @param mayHoldWhole Whether it is one of the {@link wholePermitHolders}.
 */
export const scaleQuota = (
    { perSecond, burst }: QuotaTerms,
    share: number,
    mayHoldWhole: boolean,
    permitTtlMs: number,
): ScaledQuota => {
    const least = share > 0 && (share >= mainShare || mayHoldWhole) ? 1 : 0;
    return { perSecond: perSecond * share, capacity: Math.max(least, burst * share), permitTtlMs };
};

/**
 * Brings a bucket up to date. Level and recent grants together are bounded, too: otherwise permits that are returned unused
 * again and again would add up, as the bucket refills while they are away.
 */
export const refillQuota = (bucket: QuotaBucket, quota: ScaledQuota, now: number): QuotaBucket => {
    const sliceMs = quota.permitTtlMs / slicesPerTtl;
    const slice = Math.floor(now / sliceMs);
    const passed = Math.max(0, slice - bucket.slice);
    const recent = passed === 0 ? bucket.recent : [...noGrants.slice(0, passed), ...bucket.recent].slice(0, slices);
    const elapsedMs = Math.max(0, now - bucket.at);
    const outstanding = recent.reduce((sum, count) => sum + count, 0);
    const room = quota.capacity + quota.perSecond * slices * sliceMs / 1_000 - outstanding;
    const level = Math.min(quota.capacity, bucket.level + elapsedMs * quota.perSecond / 1_000, room);
    return { level: Math.max(0, level), at: Math.max(now, bucket.at), recent, slice: Math.max(slice, bucket.slice) };
};

/** Permits granted, and the time after which the next one is available. */
export interface QuotaGrant {
    readonly bucket: QuotaBucket;
    readonly granted: number;
    readonly retryInMs: number;
}

/** Longest time for which a caller is told to wait, for example while an instance has no share. */
const maxRetryMs = 5_000;

/**
 * Grants up to `count` permits.
 *
 * @param reserve Permits that must be left.
 *
 * @example
 * const { bucket: next, granted } = takeQuota(bucket, scaleQuota(terms, 0.5, true, 250), 3, 0, performance.now());
 */
export const takeQuota = (
    bucket: QuotaBucket,
    quota: ScaledQuota,
    count: number,
    reserve: number,
    now: number,
): QuotaGrant => {
    const filled = refillQuota(bucket, quota, now);
    // Sums of fractions may be a little less than the whole permit that they amount to.
    const granted = Math.max(0, Math.min(count, Math.floor(filled.level - reserve + 1e-9)));
    const [latest, ...older] = filled.recent;
    const level = Math.max(0, filled.level - granted);
    const retryInMs = level >= 1 ? 0 : (1 - level) * 1_000 / quota.perSecond;
    return {
        bucket: { ...filled, level, recent: [latest! + granted, ...older] },
        granted,
        retryInMs: Math.min(maxRetryMs, quota.capacity < 1 ? maxRetryMs : retryInMs),
    };
};

/**
 * Takes back permits that were not used. They still count among the recent grants, so that one that is returned early raises the
 * level only as far as the bounds of {@link refillQuota} allow.
 */
export const returnQuota = (bucket: QuotaBucket, quota: ScaledQuota, count: number, now: number): QuotaBucket => {
    const filled = refillQuota(bucket, quota, now);
    return refillQuota({ ...filled, level: filled.level + count }, quota, now);
};

/** Time after which a permit is best returned: it no longer counts among the recent grants. */
export const returnDelayMs = (permitTtlMs: number): number => permitTtlMs * slices / slicesPerTtl;

/**
 * Cuts a level when shares leave: what their part of the bucket held is lost, as they start empty wherever they go.
 *
 * @example
 * const bucket = cutQuota(refillQuota(full, quota, now), 0.5, 0.25); // half of the permits remain
 */
export const cutQuota = (bucket: QuotaBucket, shareBefore: number, shareAfter: number): QuotaBucket =>
    shareAfter >= shareBefore ? bucket : { ...bucket, level: bucket.level * shareAfter / shareBefore };
