/** What the direct calls of this instance to the store tell about it: whether it responds, and how soon. */
import type { Logger } from "@marigolddrift/common";
import { LatencyEstimate } from "@marigolddrift/policy";

/** Minimum delay without a response before another attempt is started. */
const minHedgeMs = 180;

/** Maximum delay of that kind, although responses are usually later. */
const maxHedgeMs = 500;

/** Rate at which a write is expected to cross a busy link between regions; a long write is not late before it has arrived. */
const minUploadBytesPerMs = 250;

/** Time after a failed direct call for which peers are tried first; then one direct call at a time probes the store. */
const directSuspicionMs = 1_000;

/** Number of direct calls of which the fastest counts. */
const recentCalls = 16;

/** Observes the direct calls to the store. */
export class DirectStoreHealth {
    /** Monotonic time of the last failure of a direct call; undefined since a direct call succeeded. */
    private failedAt: number | undefined;
    private nextProbeAt = -Infinity;
    private readonly latency = new LatencyEstimate();
    private readonly recentMs: number[] = [];

    constructor(private readonly log: Logger) {}

    /** Time of the fastest recent call, which tells how far the store is; undefined before the first one. */
    get fastestMs(): number | undefined {
        return this.recentMs.length === 0 ? undefined : Math.min(...this.recentMs);
    }

    /** Time after which a response to a call with a body of this size is later than usual. */
    hedgeDelayMs(bytes: number): number {
        return Math.min(maxHedgeMs, this.latency.hedgeDelayMs(minHedgeMs)) + bytes / minUploadBytesPerMs;
    }

    /** Records the time that a response takes. */
    async measure<T>(response: Promise<T>): Promise<T> {
        const startedAt = performance.now();
        const value = await response;
        const ms = performance.now() - startedAt;
        this.latency.record(ms);
        this.recentMs.push(ms);
        this.recentMs.splice(0, this.recentMs.length - recentCalls);
        return value;
    }

    /** Whether to try peers first. After the suspicion time, one call at a time probes whether the store responds again. */
    isSuspect(hedgeAfterMs: number): boolean {
        const now = performance.now();
        if (this.failedAt === undefined) {
            return false;
        }
        if (now - this.failedAt < directSuspicionMs || now < this.nextProbeAt) {
            return true;
        }
        this.nextProbeAt = now + Math.min(hedgeAfterMs, maxHedgeMs);
        return false;
    }

    onSucceeded(): void {
        this.failedAt = undefined;
    }

    onFailed(err: unknown): void {
        if (this.failedAt === undefined) {
            this.log.info("store call relayed", {
                error: String(err),
                reason: "direct store call failed",
            });
        }
        this.failedAt = performance.now();
    }
}
