/** Counters, gauges and latency histograms in the Prometheus text format. */
import type { Metrics } from "@marigolddrift/common";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the buckets of the latency histograms. */
const latencyBucketsMs = [5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/** Metrics of one instance; other components report their counters, durations and gauges by name. */
export class GatewayMetrics implements Metrics {
    private readonly registry = new Registry();
    private readonly calls = new Counter({
        name: "marigolddrift_calls_total",
        help: "Calls of callers by route and outcome: the status, or the code of the error",
        labelNames: ["route", "outcome"],
        registers: [this.registry],
    });
    private readonly latency = new Histogram({
        name: "marigolddrift_call_milliseconds",
        help: "Time from the head of a call to the end of its answer",
        labelNames: ["route"],
        buckets: latencyBucketsMs,
        registers: [this.registry],
    });

    private readonly events = new Counter({
        name: "marigolddrift_events_total",
        help: "Counted events by name",
        labelNames: ["name"],
        registers: [this.registry],
    });
    private readonly durations = new Histogram({
        name: "marigolddrift_duration_milliseconds",
        help: "Durations by name, such as the wait for an upstream",
        labelNames: ["name"],
        buckets: latencyBucketsMs,
        registers: [this.registry],
    });

    private readonly values = new Gauge({
        name: "marigolddrift_value",
        help: "Present values by name",
        labelNames: ["name"],
        registers: [this.registry],
    });

    count(name: string, by = 1): void {
        this.events.inc({ name }, by);
    }

    timing(name: string, ms: number): void {
        this.durations.observe({ name }, ms);
    }

    onCall(route: string, outcome: string, ms: number): void {
        this.calls.inc({ route, outcome });
        this.latency.observe({ route }, ms);
    }

    gauge(name: string, value: number): void {
        this.values.set({ name }, value);
    }

    close(): void {
        this.registry.clear();
    }

    /** Registers a gauge whose value is read at each scrape. */
    addGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name: `marigolddrift_${name}`,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }

    /** Returns all metrics in the Prometheus text format. */
    async text(): Promise<string> {
        return await this.registry.metrics();
    }
}
