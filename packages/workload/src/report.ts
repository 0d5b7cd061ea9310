/** Metrics of a workload run: latency histograms and counters. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

const histogramOptions = {
    lowestDiscernibleValue: 1,
    highestTrackableValue: 36_000_000,
    numberOfSignificantValueDigits: 3 as const,
};

/** Latency distribution, in milliseconds. */
export interface Latency {
    readonly count: number;
    readonly mean: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

/** Records latencies in a histogram. */
export class LatencyRecorder {
    private readonly histogram: Histogram = build(histogramOptions);

    record(ms: number): void {
        this.histogram.recordValue(Math.max(1, Math.round(ms)));
    }

    summary(): Latency {
        const valueAt = (percentile: number): number => this.histogram.getValueAtPercentile(percentile);
        return {
            count: this.histogram.totalCount,
            mean: Math.round(this.histogram.mean * 10) / 10,
            p50: valueAt(50),
            p95: valueAt(95),
            p99: valueAt(99),
            max: this.histogram.maxValue,
        };
    }
}

/** Results of a workload run. */
export interface RunReport {
    /** Time from a program's first call to its last answer, by agent. */
    readonly programs: Readonly<Record<string, Latency>>;
    readonly allPrograms: Latency;
    readonly firstToken: Latency;
    readonly betweenTokens: Latency;
    readonly finished: number;
    readonly withinDeadline: number;
    readonly failed: number;
    readonly refused: number;
    /** Fraction of the prompt tokens that engines had cached. */
    readonly cachedShare: number;
}

/** Collects the metrics of a run. */
export class RunRecorder {
    finished = 0;
    withinDeadline = 0;
    failed = 0;
    refused = 0;
    promptTokens = 0;
    cachedTokens = 0;
    readonly firstToken = new LatencyRecorder();
    readonly betweenTokens = new LatencyRecorder();
    private readonly programLatency = new LatencyRecorder();
    private readonly byAgent = new Map<string, LatencyRecorder>();

    /** Records a program that received its final answer. */
    onFinished(agent: string, ms: number, deadlineMs: number): void {
        const recorder = this.byAgent.get(agent) ?? new LatencyRecorder();
        this.byAgent.set(agent, recorder);
        recorder.record(ms);
        this.programLatency.record(ms);
        this.finished += 1;
        this.withinDeadline += ms <= deadlineMs ? 1 : 0;
    }

    onUsage(promptTokens: number, cachedTokens: number): void {
        this.promptTokens += promptTokens;
        this.cachedTokens += cachedTokens;
    }

    report(): RunReport {
        return {
            programs: Object.fromEntries([...this.byAgent].map(([agent, recorder]) => [agent, recorder.summary()])),
            allPrograms: this.programLatency.summary(),
            firstToken: this.firstToken.summary(),
            betweenTokens: this.betweenTokens.summary(),
            finished: this.finished,
            withinDeadline: this.withinDeadline,
            failed: this.failed,
            refused: this.refused,
            cachedShare: this.cachedTokens / Math.max(1, this.promptTokens),
        };
    }
}
