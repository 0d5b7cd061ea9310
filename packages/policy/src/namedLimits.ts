/**
 * Limits that upstreams name in their answers: what is known of a limit, and the permits that are granted under it.
 * Load pattern: an upstream in need takes a few requests a second from dozens of instances together.
 */

/** What is known of an upstream's limit. */
export interface NamedLimit {
    /** Requests a second from all instances together; undefined once the upstream no longer names a limit. */
    readonly perSecond: number | undefined;
    /** The limit that was in force before it ended. */
    readonly previous: number | undefined;
    /** Monotonic time in milliseconds of the answer from which this is known. */
    readonly at: number;
}

/** Rate at which an upstream that wants no requests is still asked, so that the end of its limit is noticed. */
const minPerSecond = 0.25;

/** Time in which the rate doubles after a limit has ended. */
const rampDoublingMs = 1_000;

/** Time after which an ended limit no longer restricts calls. */
const rampMs = 5_000;

/** Requests that may follow at once after a pause, in seconds of the rate; at least one request. */
const burstSeconds = 0.25;

/** Longest time for which an instance is told not to ask again. */
const maxRetryMs = 1_000;

/**
 * Returns what an answer tells of the limit, or undefined if it tells nothing new. An answer without a limit ends it only
 * if its call was sent after the latest answer that named one: answers overtake each other.
 *
 * @param perSecond The limit in the answer; undefined if it names none.
 */
export const limitFromAnswer = (
    known: NamedLimit | undefined,
    perSecond: number | undefined,
    sentAt: number,
    now: number,
): NamedLimit | undefined => {
    if (perSecond !== undefined) {
        return { perSecond, previous: undefined, at: now };
    }
    const ends = known?.perSecond !== undefined && sentAt > known.at;
    return ends ? { perSecond: undefined, previous: known.perSecond, at: now } : undefined;
};

/**
 * Returns the later of two limits. At the same moment, the lower one is taken, so that instances agree in whichever order
 * they learn of both.
 */
export const newerLimit = (known: NamedLimit | undefined, received: NamedLimit): NamedLimit => {
    if (known === undefined || received.at !== known.at) {
        return known === undefined || received.at > known.at ? received : known;
    }
    return (received.perSecond ?? Infinity) < (known.perSecond ?? Infinity) ? received : known;
};

/**
 * Requests a second that all instances together may send now; undefined if they are not limited. After the end of a limit
 * the rate doubles each second, so that the load does not come back at once.
 */
export const effectiveRate = (limit: NamedLimit | undefined, now: number): number | undefined => {
    if (limit === undefined || limit.perSecond !== undefined) {
        return limit?.perSecond === undefined ? undefined : Math.max(minPerSecond, limit.perSecond);
    }
    const elapsedMs = now - limit.at;
    return elapsedMs >= rampMs || limit.previous === undefined ?
        undefined :
        Math.max(minPerSecond, limit.previous) * 2 ** (elapsedMs / rampDoublingMs);
};

/** Permits that can be granted at once, as of a moment. */
export interface PermitBucket {
    readonly level: number;
    readonly at: number;
}

/** Permits granted for a request, and the time after which the next one is available. */
export interface Grant {
    readonly bucket: PermitBucket;
    readonly granted: number;
    readonly retryInMs: number;
}

/**
 * Grants up to `count` permits. A new bucket is empty: whoever granted permits before may have emptied its own just now.
 *
 * @example
 * const { granted, bucket: next } = takePermits(bucket, 8, 1, performance.now());
 */
export const takePermits = (
    bucket: PermitBucket | undefined,
    perSecond: number,
    count: number,
    now: number,
): Grant => {
    const elapsedMs = bucket === undefined ? 0 : Math.max(0, now - bucket.at);
    const most = Math.max(1, perSecond * burstSeconds);
    const level = Math.min(most, (bucket?.level ?? 0) + elapsedMs * perSecond / 1_000);
    const granted = Math.min(count, Math.floor(level));
    const left = level - granted;
    const retryInMs = left >= 1 ? 0 : (1 - left) * 1_000 / perSecond;
    return { bucket: { level: left, at: now }, granted, retryInMs };
};

/**
 * Time after which an instance that was refused asks again: one of those that share the limit for each permit, at random,
 * so that they do not all return at once.
 *
 * @param sharers Number of instances that asked lately.
 * @param random In [0, 1).
 */
export const retryDelayMs = (retryInMs: number, perSecond: number, sharers: number, random: number): number =>
    Math.min(maxRetryMs, retryInMs + random * (Math.max(1, sharers) - 1) * 1_000 / perSecond);

/**
 * Share of a limit that is granted by an instance which may not be alone: one that stands in for the first choice, which may
 * grant permits to others at the same time, or one that not all instances may know yet.
 */
const sharedShare = 0.4;

/** Share of the limit that all instances together use while they reach no instance that grants permits. */
const unreachableShare = 0.4;

/**
 * The rate at which an instance grants permits.
 *
 * @param isFirst Whether it is the first choice among all known instances, and all of them have had the time to learn of it.
 */
export const grantingRate = (perSecond: number, isFirst: boolean): number =>
    isFirst ? perSecond : perSecond * sharedShare;

/** The rate of an instance that reaches no other one that grants permits. */
export const unreachableRate = (perSecond: number, instances: number): number =>
    perSecond * unreachableShare / Math.max(1, instances);
