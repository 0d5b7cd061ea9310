/** Measures of a run: latencies by histogram, and counts. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

const precision = {
    lowestDiscernibleValue: 1,
    highestTrackableValue: 36_000_000,
    numberOfSignificantValueDigits: 3 as const,
};

/** Percentiles of a latency, in milliseconds. */
export interface Latency {
    readonly count: number;
    readonly mean: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

/** Collects latencies in milliseconds. */
export class LatencyRecorder {
    private readonly histogram: Histogram = build(precision);

    record(ms: number): void {
        this.histogram.recordValue(Math.max(1, Math.round(ms)));
    }

    summary(): Latency {
        const at = (percentile: number): number => this.histogram.getValueAtPercentile(percentile);
        return {
            count: this.histogram.totalCount,
            mean: Math.round(this.histogram.mean * 10) / 10,
            p50: at(50),
            p95: at(95),
            p99: at(99),
            max: this.histogram.maxValue,
        };
    }
}

/** What a run measured. */
export interface RunReport {
    /** From a program's first call to its last answer, by agent. */
    readonly programs: Readonly<Record<string, Latency>>;
    readonly allPrograms: Latency;
    readonly firstToken: Latency;
    readonly betweenTokens: Latency;
    readonly finished: number;
    readonly withinDeadline: number;
    readonly failed: number;
    readonly refused: number;
    /** Share of the prompt tokens that engines had cached. */
    readonly cachedShare: number;
}

/** Collects the measures of a run. */
export class RunRecorder {
    finished = 0;
    withinDeadline = 0;
    failed = 0;
    refused = 0;
    promptTokens = 0;
    cachedTokens = 0;
    readonly firstToken = new LatencyRecorder();
    readonly betweenTokens = new LatencyRecorder();
    private readonly all = new LatencyRecorder();
    private readonly byAgent = new Map<string, LatencyRecorder>();

    /** Notes a program that got its final answer. */
    onFinished(agent: string, ms: number, deadlineMs: number): void {
        const recorder = this.byAgent.get(agent) ?? new LatencyRecorder();
        this.byAgent.set(agent, recorder);
        recorder.record(ms);
        this.all.record(ms);
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
            allPrograms: this.all.summary(),
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
