/**
 * Expected slot time of calls by kind, learned from the calls that have ended. Load pattern: long and short calls share the
 * upstreams, so that the same number of calls is a different load.
 */

/** Weight of a new sample once there are enough of them; the first ones are averaged. */
const smoothing = 0.05;

/** Number of calls from which on an estimate is used to refuse others. */
const minSamples = 20;

/** Largest number of kinds that are remembered; the one that was used longest ago is dropped first. */
const maxKinds = 1_000;

interface Kind {
    ratio: number;
    samples: number;
}

/**
 * Estimates the slot time of calls as a multiple of what a model predicts.
 *
 * @example
 * costs.onEnded("chat", 700, 910);
 * costs.expectedMs("chat", 700) === 910;
 */
export class CallCosts {
    private readonly kinds = new Map<string, Kind>();

    /** Returns the expected slot time; the prediction until a call of the kind has ended. */
    expectedMs(kind: string, predictedMs: number): number {
        return predictedMs * (this.kinds.get(kind)?.ratio ?? 1);
    }

    /** Whether enough calls of a kind have ended for their duration to be known. */
    isKnown(kind: string): boolean {
        return (this.kinds.get(kind)?.samples ?? 0) >= minSamples;
    }

    /** Learns from the slot time of a call that has ended. */
    onEnded(kind: string, predictedMs: number, tookMs: number): void {
        const known = this.kinds.get(kind) ?? { ratio: 1, samples: 0 };
        known.samples += 1;
        known.ratio += Math.max(smoothing, 1 / known.samples) * (tookMs / Math.max(1, predictedMs) - known.ratio);
        this.kinds.delete(kind);
        this.kinds.set(kind, known);
        if (this.kinds.size > maxKinds) {
            this.kinds.delete(this.kinds.keys().next().value!);
        }
    }
}
