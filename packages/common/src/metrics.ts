/** Metrics in StatsD form by hot-shots. */
import { StatsD } from "hot-shots";

/** Counts and times what a process does. */
export interface Metrics {
    count(name: string, by?: number): void;
    timing(name: string, ms: number): void;
    gauge(name: string, value: number): void;
    close(): void;
}

/** Where StatsD packets go; an empty host turns metrics off. */
export interface MetricsTarget {
    readonly host: string;
    readonly port: number;
}

/** Creates metrics with the prefix `marigolddrift.`. */
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
    const drop = (): void => {
        client.mockBuffer?.splice(0);
    };
    return {
        count: (name, by = 1) => (client.increment(name, by), drop()),
        timing: (name, ms) => (client.timing(name, ms), drop()),
        gauge: (name, value) => (client.gauge(name, value), drop()),
        close: () => client.close(() => {}),
    };
};
