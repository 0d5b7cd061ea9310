/**
 * Compares what an instance observes at each worker with what is expected there. Load pattern: one worker of many that is slow or
 * fails calls while its health check passes; because it is often idle, it even attracts calls.
 */

/** Time after which an observation has half of its weight. */
const halfLifeMs = 20_000;

/** Number of calls after which the expected service time of a kind follows new calls slowly. */
const expectationCalls = 100;

/** Standard errors by which a worker must differ from the others before the difference counts; 2.5 makes chance findings rare among many workers. */
const confidence = 2.5;

/** Fewest calls, weighted by age, from which the service time is judged. */
const minCalls = 4;

/** Least relative deviation of service times that is assumed, because a few calls may be alike by chance. */
const minDeviation = 0.25;

/** Bounds of the service time relative to the median worker's. */
const minSlowdown = 0.25;
const maxSlowdown = 8;

/** Share of failures beyond that of the service's median worker that is tolerated: tools answer 1 % with 500 by their own logic. */
const toleratedFailureShare = 0.05;

/** How sharply the weight falls with the share of failures: a failed call costs a program more than a slow one. */
const failureExponent = 4;

/** Share of its usual calls that a failing worker still gets, from which it is seen that it has recovered. */
const trickleWeight = 0.05;

/** Largest share of a service's workers that is set back at once: if more fail, the calls are the more likely cause. */
const maxSetBackShare = 0.5;

/** How a call ended at a worker. Calls that were ended by the caller, the deadline or a stop of the instance are not recorded. */
export interface ServedCall {
    readonly worker: string;
    /** Calls of one kind take about as long at workers of the same speed, relative to `predictedMs`. */
    readonly kind: string;
    /** Time that the cost model gives for the call; 1 where there is none. */
    readonly predictedMs: number;
    readonly ms: number;
}

/** Sums that decay with time. */
interface Observations {
    at: number;
    calls: number;
    ratios: number;
    squares: number;
    outcomes: number;
    failures: number;
}

interface Expectation {
    calls: number;
    ratio: number;
}

/**
 * Observed service times and failures by worker.
 *
 * Among the published schemes, ejection of outliers for a fixed time (as in Envoy and Finagle) sends nothing or everything to a worker,
 * and several instances eject and readmit it together. Peak-sensitive averages of the latency (Finagle's Peak EWMA) take each
 * long call for a slow worker. Here the weight follows the observed share, and only differences beyond chance count.
 *
 * @example
 * const health = new UpstreamHealth();
 * health.onServed({ worker: "w7", kind: "search", predictedMs: 1, ms: 40 }, performance.now());
 * const slowdown = health.slowdowns(["w7", "w8"], performance.now()).get("w7") ?? 1;
 */
export class UpstreamHealth {
    private readonly observed = new Map<string, Observations>();
    private readonly expected = new Map<string, Expectation>();

    /** Records the service time of a call that was answered. */
    onServed({ worker, kind, predictedMs, ms }: ServedCall, now: number): void {
        const raw = ms / Math.max(predictedMs, 1e-3);
        const expectation = this.expected.get(kind) ?? { calls: 0, ratio: raw };
        this.expected.set(kind, expectation);
        const ratio = raw / Math.max(expectation.ratio, 1e-6);
        expectation.calls = Math.min(expectation.calls + 1, expectationCalls);
        expectation.ratio += (raw - expectation.ratio) / expectation.calls;
        const sums = this.sumsOf(worker, now);
        sums.calls += 1;
        sums.ratios += ratio;
        sums.squares += ratio * ratio;
    }

    /** Records whether a call failed at the worker: it was answered with a server error, broken off, or garbled. */
    onOutcome(worker: string, failed: boolean, now: number): void {
        const sums = this.sumsOf(worker, now);
        sums.outcomes += 1;
        sums.failures += failed ? 1 : 0;
    }

    /** Expected service time of a kind of call, relative to its prediction; undefined before the first call. */
    expectedRatio(kind: string): number | undefined {
        return this.expected.get(kind)?.ratio;
    }

    /**
     * Service times at the workers of a service relative to that of the median worker, by worker. Workers that are not in the result
     * are as fast as the others, as far as a difference is not chance.
     */
    slowdowns(workers: readonly string[], now: number): Map<string, number> {
        const means = workers.flatMap(worker => this.meanRatio(worker, now) ?? []).sort((a, b) => a.mean - b.mean);
        const median = means[Math.floor((means.length - 1) / 2)]?.mean;
        const slowdowns = new Map<string, number>();
        for (const { worker, mean, margin } of means) {
            const relative = mean / median!;
            const relativeMargin = margin / median!;
            const slowdown = relative > 1 ?
                Math.max(1, relative - relativeMargin) :
                Math.min(1, relative + relativeMargin);
            if (slowdown !== 1) {
                slowdowns.set(worker, Math.min(maxSlowdown, Math.max(minSlowdown, slowdown)));
            }
        }
        return slowdowns;
    }

    /**
     * Shares of their usual calls that the workers of a service get, by worker, from {@link trickleWeight} to 1. Workers that are not
     * in the result get all.
     */
    weights(workers: readonly string[], now: number): Map<string, number> {
        const failing = workers.flatMap(worker => this.failureShare(worker, now) ?? []);
        if (failing.length === 0) {
            return new Map();
        }
        const median = this.medianShare(workers, now);
        const outliers = failing.filter(({ least }) => least > median + toleratedFailureShare)
            .sort((a, b) => b.least - a.least)
            .slice(0, Math.floor(workers.length * maxSetBackShare));
        return new Map(outliers.map(({ worker, share }) => [worker, failureWeight(share - median)]));
    }

    remove(worker: string): void {
        this.observed.delete(worker);
    }

    /** Mean service time of a worker relative to the expected one, and how far it may be off by chance. */
    private meanRatio(worker: string, now: number): { worker: string; mean: number; margin: number; } | undefined {
        const sums = this.observed.get(worker);
        const calls = sums === undefined ? 0 : sums.calls * decay(now - sums.at);
        if (sums === undefined || calls < minCalls) {
            return undefined;
        }
        const mean = sums.ratios / sums.calls;
        const variance = Math.max(sums.squares / sums.calls - mean * mean, (minDeviation * mean) ** 2);
        return { worker, mean, margin: confidence * Math.sqrt(variance / calls) };
    }

    /** Observed share of failures of a worker, and the share that it has at least, since a few failures of a few calls may be chance. */
    private failureShare(worker: string, now: number): { worker: string; share: number; least: number; } | undefined {
        const sums = this.observed.get(worker);
        if (sums === undefined || sums.failures === 0) {
            return undefined;
        }
        const factor = decay(now - sums.at);
        const least = lowerBound(sums.failures * factor, sums.outcomes * factor);
        return { worker, share: sums.failures / sums.outcomes, least };
    }

    /** Observed share of failures of the median worker; of an even number, of the better one of the two in the middle. */
    private medianShare(workers: readonly string[], now: number): number {
        const shares = workers.map(worker => {
            const sums = this.observed.get(worker);
            const isRecent = sums !== undefined && sums.outcomes * decay(now - sums.at) >= 1;
            return isRecent ? sums.failures / sums.outcomes : 0;
        }).sort((a, b) => a - b);
        return shares[Math.floor((shares.length - 1) / 2)] ?? 0;
    }

    private sumsOf(worker: string, now: number): Observations {
        let sums = this.observed.get(worker);
        if (sums === undefined) {
            sums = { at: now, calls: 0, ratios: 0, squares: 0, outcomes: 0, failures: 0 };
            this.observed.set(worker, sums);
            return sums;
        }
        const factor = decay(now - sums.at);
        sums.at = now;
        sums.calls *= factor;
        sums.ratios *= factor;
        sums.squares *= factor;
        sums.outcomes *= factor;
        sums.failures *= factor;
        return sums;
    }
}

const decay = (ageMs: number): number => 0.5 ** (Math.max(0, ageMs) / halfLifeMs);

/** Lower end of the Wilson score interval. */
const lowerBound = (failures: number, outcomes: number): number => {
    const square = confidence * confidence;
    const share = failures / outcomes;
    const center = share + square / (2 * outcomes);
    const margin = confidence * Math.sqrt((share * (1 - share) + square / (4 * outcomes)) / outcomes);
    return Math.max(0, (center - margin) / (1 + square / outcomes));
};

const failureWeight = (excess: number): number => Math.max(trickleWeight, (1 - excess) ** failureExponent);
