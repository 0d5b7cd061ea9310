/** Reserves upstreams for the attempts at a call. */
import { ProblemError } from "@marigolddrift/common";
import type { DispatchLease } from "@marigolddrift/dispatch";

import type { CallAdmission } from "../limits/limitAdmission.js";
import type { UpstreamLimits } from "../limits/upstreamLimits.js";
import type { QueuedCall } from "../placement.js";
import type { TakenPermit } from "../quotas/callPermit.js";
import type { Upstreams } from "../upstreams/upstreams.js";
import type { CallContext } from "./callContext.js";
import type { Tries } from "./tries.js";

/** Pause before a call is sent again to an upstream that has refused or broken it, or before upstreams are looked for again. */
export const retryPauseMs = 50;

/** A reserved upstream, with the permit of the workspace's quota to send a call to it. */
export interface PermittedLease {
    readonly lease: DispatchLease;
    readonly permit: TakenPermit;
}

/** The permit of a call that counts towards no quota. */
const unlimited: TakenPermit = { refund: () => {} };

/** Dependencies of {@link UpstreamLeases}. */
export interface LeaseSources {
    readonly admission: CallAdmission;
    readonly upstreams: Pick<Upstreams, "get">;
    readonly limits: Pick<UpstreamLimits, "permit">;
}

/** Waits for upstreams, and takes the permits of those that limit their requests. */
export class UpstreamLeases {
    constructor(private readonly sources: LeaseSources) {}

    /**
     * Waits for an upstream. A call that may have run can't be answered as refused, so that it waits for its deadline rather than
     * fail because no upstream is left at the moment.
     *
     * @returns undefined if there is no upstream now, but may be one before the deadline.
     */
    async acquire(ctx: CallContext, queued: QueuedCall, tries: Tries): Promise<DispatchLease | undefined> {
        let lease: DispatchLease;
        try {
            lease = await this.sources.admission.acquire(queued, ctx);
        }
        catch (err) {
            if (tries.mayHaveRun && isTemporaryRefusal(err) && ctx.progress.leftMs > retryPauseMs) {
                return undefined;
            }
            throw err;
        }
        if (tries.excluded.has(lease.worker)) {
            try {
                await ctx.progress.sleep(retryPauseMs);
            }
            catch (err) {
                lease.release();
                throw err;
            }
        }
        return lease;
    }

    /**
     * Takes the permits for a send: that of the upstream, if it limits its requests, and that of the workspace's quota. Releases the
     * upstream if there is none now.
     *
     * @returns undefined if the upstream is at its limit.
     * @throws ProblemError `quota_exceeded` if the workspace is over its quota.
     */
    async takePermits(ctx: CallContext, lease: DispatchLease): Promise<TakenPermit | undefined> {
        if (!await this.takeUpstreamPermit(ctx, lease)) {
            return undefined;
        }
        try {
            return await ctx.permit?.take(ctx.progress) ?? unlimited;
        }
        catch (err) {
            lease.release();
            throw err;
        }
    }

    private async takeUpstreamPermit(ctx: CallContext, lease: DispatchLease): Promise<boolean> {
        const upstream = this.sources.upstreams.get(lease.worker);
        let permitted = false;
        try {
            permitted = upstream === undefined || await this.sources.limits.permit(upstream, ctx.progress);
        }
        finally {
            if (!permitted) {
                ctx.trace.permitsRefused = (ctx.trace.permitsRefused ?? 0) + 1;
                lease.release();
            }
        }
        return permitted;
    }
}

/** Whether an upstream may be found for the call a little later. */
const isTemporaryRefusal = (err: unknown): boolean =>
    err instanceof ProblemError && (err.code === "no_upstream" || err.code === "overloaded");
