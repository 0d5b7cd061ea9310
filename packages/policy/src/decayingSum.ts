/** Sums in which older values count less, for rates and shares of the recent past with constant state. */

/**
 * A sum whose values lose their weight exponentially with age.
 *
 * @example
 * const sent = new DecayingSum(2_000);
 * sent.add(1, performance.now());
 */
export class DecayingSum {
    private value = 0;
    private updatedAt = -Infinity;

    /** @param tauMs Age at which a value counts 1/e. */
    constructor(private readonly tauMs: number) {}

    add(value: number, now: number): void {
        this.value = this.at(now) + value;
        this.updatedAt = Math.max(now, this.updatedAt);
    }

    /** Returns the sum at a monotonic time in milliseconds. */
    at(now: number): number {
        return this.value === 0 ? 0 : this.value * Math.exp(-Math.max(0, now - this.updatedAt) / this.tauMs);
    }
}
