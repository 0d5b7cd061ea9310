/** Logs refused input, at most one line per second for each reason. */
import type { Logger } from "@marigolddrift/common";

import type { GatewayMetrics } from "../gatewayMetrics.js";

/** Shortest time between two log lines with the same reason. */
const intervalMs = 1_000;

/** Why input is refused. */
export type RefusalReason = "memory" | "small chunks" | "requests" | "connections" | "head late" | "head too large";

interface Recent {
    readonly loggedAt: number;
    /** Refusals that have not been logged. */
    unlogged: number;
}

/** Counts refusals, and bounds their log lines: many refusals at once must not fill the log. */
export class RefusalLog {
    private readonly recent = new Map<RefusalReason, Recent>();

    constructor(private readonly metrics: GatewayMetrics, private readonly log: Logger) {}

    /**
     * Counts a refusal, and logs it unless one with the same reason was logged within the last second.
     *
     * @example
     * refusals.add("memory", { kind: "request", bytes: 4_194_304, heldMs: 1_250 });
     */
    add(reason: RefusalReason, fields: Readonly<Record<string, unknown>> = {}): void {
        this.metrics.count(`input.refused.${reason.replaceAll(" ", "_")}`);
        const last = this.recent.get(reason);
        const now = performance.now();
        if (last !== undefined && now - last.loggedAt < intervalMs) {
            last.unlogged += 1;
            return;
        }
        this.log.warn("input refused", { reason, ...fields, unlogged: last?.unlogged ?? 0 });
        this.recent.set(reason, { loggedAt: now, unlogged: 0 });
    }
}
