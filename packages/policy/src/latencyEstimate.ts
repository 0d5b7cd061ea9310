/** Estimates how long responses take, so that only a response that is later than usual counts as late. */

/** Weight of a new response in the mean, and in the mean deviation, as in the retransmission timer of TCP (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;

/** Deviations above the mean within which nearly all responses arrive. */
const deviationCount = 4;

/**
 * Mean and mean deviation of response times. Load pattern: a link that a burst fills. All responses become slow together,
 * and requests that are repeated then would keep the link full after the burst.
 *
 * @example
 * const estimate = new LatencyEstimate();
 * estimate.record(40);
 * const hedgeMs = estimate.hedgeDelayMs(90);
 */
export class LatencyEstimate {
    private mean: number | undefined;
    private deviation = 0;

    record(ms: number): void {
        if (this.mean === undefined) {
            this.mean = ms;
            this.deviation = ms / 2;
            return;
        }
        this.deviation += deviationWeight * (Math.abs(ms - this.mean) - this.deviation);
        this.mean += meanWeight * (ms - this.mean);
    }

    /** Time after which a response is late; at least `minMs`. */
    hedgeDelayMs(minMs: number): number {
        return this.mean === undefined ? minMs : Math.max(minMs, this.mean + deviationCount * this.deviation);
    }
}
