/** Random numbers from a seeded generator. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers in [0, 1). */
export type Random = () => number;

/** Creates a source that yields the same sequence for the same seed. */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    // Adjacent seeds give similar first outputs, so these are skipped.
    for (let skipped = 0; skipped < 8; skipped++) {
        uniformFloat64(generator);
    }
    return () => uniformFloat64(generator);
};

/** Returns an exponentially distributed number. */
export const exponential = (random: Random, mean: number): number => -Math.log(1 - random()) * mean;

/** Returns a log-normal number with the given median; `spread` is the standard deviation of its logarithm. */
export const logNormal = (random: Random, median: number, spread: number): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return median * Math.exp(spread * normal);
};

/** Returns a uniformly distributed integer from `min` to `max`, both inclusive. */
export const uniformInteger = (random: Random, min: number, max: number): number =>
    min + Math.floor(random() * (max - min + 1));
