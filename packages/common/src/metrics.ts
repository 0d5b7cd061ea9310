/** StatsD metrics, sent by hot-shots. */
import { StatsD } from "hot-shots";

/** Sink for the counters, timings and gauges of a process. */
export interface Metrics {
    count(name: string, by?: number): void;
    timing(name: string, ms: number): void;
    gauge(name: string, value: number): void;
    close(): void;
}

/** Address of the StatsD server; an empty host disables metrics. */
export interface MetricsTarget {
    readonly host: string;
    readonly port: number;
}

/** Creates a StatsD client whose metric names have the prefix `marigolddrift.`. */
export const createMetrics = (target: MetricsTarget, tags: Readonly<Record<string, string>>): Metrics => {
    const client = new StatsD({
        host: target.host || "127.0.0.1",
        port: target.port,
        mock: target.host === "",
        prefix: "marigolddrift.",
        globalTags: { ...tags },
        maxBufferSize: target.host === "" ? 0 : 1400,
        errorHandler: () => {},
    });
    if (target.host === "") {
        client.mockBuffer = [];
    }
    // When metrics are disabled, hot-shots collects them in its mock buffer, which would grow without bound.
    const discardMockBuffer = (): void => {
        client.mockBuffer?.splice(0);
    };
    return {
        count: (name, by = 1) => (client.increment(name, by), discardMockBuffer()),
        timing: (name, ms) => (client.timing(name, ms), discardMockBuffer()),
        gauge: (name, value) => (client.gauge(name, value), discardMockBuffer()),
        close: () => client.close(() => {}),
    };
};
