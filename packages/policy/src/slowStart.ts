/**
 * Brings new and returned workers in by degrees. Load pattern: a worker that starts or returns has no calls in flight, so that all
 * instances place their next calls there before its caches and code are warm.
 */

/** Time in which the share of calls rises to the full one. */
const rampMs = 5_000;

/** Share of calls at the beginning. */
const initialWeight = 0.1;

/** Longest time for which a worker's own report that it is still slow is used. */
const maxColdMs = 60_000;

/**
 * Share of its usual calls that a worker gets.
 *
 * @param sinceMs Time since it became available.
 * @param coldLeftMs Time for which it was said to stay slow at that moment.
 * @example
 * slowStartWeight(2_500, 0); // 0.55
 */
export const slowStartWeight = (sinceMs: number, coldLeftMs: number): number => {
    const warmMs = sinceMs - Math.min(Math.max(0, coldLeftMs), maxColdMs);
    return initialWeight + (1 - initialWeight) * Math.min(1, Math.max(0, warmMs / rampMs));
};

/** A worker with the share of its usual calls that it gets. */
export interface Weighted {
    readonly weight: number;
}

/**
 * Chooses the workers that are considered for one call, each with its weight as the probability, relative to the largest: if all
 * workers are new, none is.
 *
 * @param random Returns numbers in [0, 1).
 * @returns At least one worker unless there is none.
 * @example
 * const considered = sampleByWeight([{ id: "w1", weight: 1 }, { id: "w2", weight: 0.1 }], Math.random);
 */
export const sampleByWeight = <T extends Weighted>(workers: readonly T[], random: () => number): readonly T[] => {
    const largest = Math.max(...workers.map(({ weight }) => weight));
    return workers.every(({ weight }) => weight === largest) ?
        workers :
        workers.filter(({ weight }) => weight === largest || random() * largest < weight);
};
