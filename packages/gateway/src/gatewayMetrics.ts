/** Counters and latency histograms, served as text. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency histogram's buckets, in milliseconds. */
const latencyBucketsMs = [5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/** Metrics of one instance. */
export class GatewayMetrics {
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

    onCall(route: string, outcome: string, ms: number): void {
        this.calls.inc({ route, outcome });
        this.latency.observe({ route }, ms);
    }

    /** Adds a gauge that is read whenever the metrics are. */
    gauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name: `marigolddrift_${name}`,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }

    /** The metrics in text form. */
    async text(): Promise<string> {
        return await this.registry.metrics();
    }
}
