/** Decides for calls of repeatable routes when a second copy is sent, and reserves an upstream for it. */
import type { Metrics, Progress } from "@marigolddrift/common";
import type { Dispatcher, DispatchLease } from "@marigolddrift/dispatch";
import { hasRoomForHedge, HedgeBudget, HedgeDelays } from "@marigolddrift/policy";

import type { QueuedCall, UpstreamPool } from "../placement.js";
import type { TakenPermit } from "../quotas/callPermit.js";
import type { CallContext } from "./callContext.js";
import type { PermittedLease } from "./upstreamLeases.js";

/** Longest wait for an upstream: a copy that can't be sent at once is not sent. */
const acquireTimeoutMs = 20;

/** Settings and dependencies of a {@link Hedger}. */
export interface HedgerOptions {
    /** Copies as a share of the calls of repeatable routes. */
    readonly share: number;
    readonly dispatcher: Pick<Dispatcher<QueuedCall>, "acquire" | "waitingCalls">;
    readonly pool: Pick<UpstreamPool, "hasFreeUpstream">;
    readonly metrics: Pick<Metrics, "count">;
}

/** Times, budget and counters of the copies of one instance. */
export class Hedger {
    private readonly delays: HedgeDelays;
    private readonly budget: HedgeBudget;

    constructor(private readonly options: HedgerOptions) {
        this.delays = new HedgeDelays(options.share);
        this.budget = new HedgeBudget(options.share);
    }

    /** Whether a copy of the call may be sent beside its next attempt; `runs` is the number of attempts that may have run. */
    mayHedge({ route }: CallContext, runs: number): boolean {
        return route.idempotent && runs + 2 <= route.maxUpstreams;
    }

    /** Counts a call towards the share, and returns the time after which it is late; undefined until that is known. */
    onCall(kind: string, isFirstAttempt: boolean): number | undefined {
        if (isFirstAttempt) {
            this.budget.onCall();
        }
        return this.delays.delayMs(kind);
    }

    /** Records the time to the first byte of a first attempt, or the time after which its copy won. */
    recordFirstByte(kind: string, ms: number): void {
        this.delays.record(kind, ms);
    }

    /**
     * Reserves an upstream that has not got the call yet; undefined if no copy is to be sent.
     *
     * @param takePermits The check that each send passes; releases the upstream if it is not passed.
     */
    async reserve(
        queued: QueuedCall,
        progress: Progress,
        takePermits: (lease: DispatchLease) => Promise<TakenPermit | undefined>,
    ): Promise<PermittedLease | undefined> {
        const { metrics } = this.options;
        if (!this.budget.tryAcquire()) {
            metrics.count("hedges.suppressed");
            return undefined;
        }
        const lease = await this.acquire({ ...queued, affinityKey: undefined }, progress);
        // The first attempt goes on if the workspace's quota has no room for a copy.
        const permit = lease && await takePermits(lease).catch(() => undefined);
        if (lease === undefined || permit === undefined) {
            this.budget.giveBack();
            metrics.count("hedges.suppressed");
            return undefined;
        }
        metrics.count("hedges.sent");
        return { lease, permit };
    }

    onWon(): void {
        this.options.metrics.count("hedges.won");
    }

    private async acquire(queued: QueuedCall, parent: Progress): Promise<DispatchLease | undefined> {
        const { dispatcher, pool } = this.options;
        const room = { waiting: dispatcher.waitingCalls, hasFreeWorker: pool.hasFreeUpstream(queued) };
        if (!hasRoomForHedge(room)) {
            return undefined;
        }
        const progress = parent.child(acquireTimeoutMs);
        try {
            const lease = await dispatcher.acquire(queued, progress);
            if (queued.excluded.has(lease.worker)) {
                lease.release();
                return undefined;
            }
            return lease;
        }
        catch {
            return undefined; // There is no upstream for it now; the first attempt goes on.
        }
        finally {
            progress.dispose();
        }
    }
}
