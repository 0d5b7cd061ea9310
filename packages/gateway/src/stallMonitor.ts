/** Detects stalls of the process: its timers fire late when it gets too little processor time or runs a long task. */
import type { Logger } from "@marigolddrift/common";

/** Interval at which the lateness of a timer is measured. */
const checkIntervalMs = 500;

/** Lateness from which a stall is logged: callers and peers notice it. */
const loggedStallMs = 250;

/**
 * Measures how late the timers of this process fire.
 *
 * @example
 * const monitor = new StallMonitor(log);
 * metrics.addGauge("stall_milliseconds", "Latest lateness of a timer", () => monitor.lastStallMs);
 */
export class StallMonitor {
    /** Lateness of the last timer, in milliseconds. */
    lastStallMs = 0;
    private checkedAt = performance.now();
    private readonly timer = setInterval(() => this.check(), checkIntervalMs).unref();

    constructor(private readonly log: Logger) {}

    close(): void {
        clearInterval(this.timer);
    }

    private check(): void {
        const now = performance.now();
        this.lastStallMs = Math.max(0, now - this.checkedAt - checkIntervalMs);
        this.checkedAt = now;
        if (this.lastStallMs >= loggedStallMs) {
            this.log.warn("process stalled", { ms: Math.round(this.lastStallMs) });
        }
    }
}
