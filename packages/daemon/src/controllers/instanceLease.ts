/** The lease of this instance in the store; while it is valid, no other instance can take over this one's slots. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { performance } from "node:perf_hooks";

import type { Store } from "@marigolddrift/store";

/** Key that is bound to an instance's lease and is removed when the lease ends. */
export const instanceKey = (instance: string): string => `/marigolddrift/instances/${instance}`;

/** The lease counts as lapsed here this much earlier than in the store. */
const safetyMarginMs = 500;
const renewalsPerLease = 3;
const storeTimeoutMs = 1_500;

/** Whether this instance provably holds its lease, or cannot tell because the store is unavailable. */
export type LeaseState = "proven" | "storeAway";

/** Acquires and renews the lease. */
export class InstanceLease {
    private lease: string | undefined;
    private validUntil = 0;
    private unavailableUntil = 0;
    private renewing: Promise<LeaseState> | undefined;
    private timer: NodeJS.Timeout | undefined;
    private stopped = false;

    /** @param onReacquired Verifies the slots that the instance owned before its lease lapsed. */
    constructor(
        private readonly store: Store,
        private readonly instance: string,
        private readonly ttlSeconds: number,
        private readonly onReacquired: (progress: Progress) => Promise<void>,
        private readonly log: Logger,
    ) {}

    async start(): Promise<void> {
        await this.renew();
        this.timer = setInterval(() => void this.renew(), this.ttlSeconds * 1000 / renewalsPerLease);
    }

    async stop(): Promise<void> {
        this.stopped = true;
        clearInterval(this.timer);
        if (this.lease !== undefined) {
            const progress = new Progress(storeTimeoutMs);
            await this.store.revokeLease(this.lease, progress).catch(() => {});
            progress.dispose();
        }
    }

    /** Whether the lease has certainly not lapsed; uses the monotonic clock, so that a pause of the process counts. */
    isValid(): boolean {
        return performance.now() < this.validUntil;
    }

    /** Renews the lease if needed; after a failed renewal, returns without calling the store until the backoff ends. */
    async ensureValid(): Promise<LeaseState> {
        if (this.isValid()) {
            return "proven";
        }
        return performance.now() < this.unavailableUntil ? "storeAway" : await this.renew();
    }

    private renew(): Promise<LeaseState> {
        this.renewing ??= this.renewOnce().finally(() => this.renewing = undefined);
        return this.renewing;
    }

    private async renewOnce(): Promise<LeaseState> {
        const progress = new Progress(storeTimeoutMs);
        const sentAt = performance.now();
        try {
            if (this.lease === undefined || !await this.store.keepAlive(this.lease, progress)) {
                await this.reacquire(progress);
            }
            if (!this.stopped) {
                this.validUntil = sentAt + this.ttlSeconds * 1000 - safetyMarginMs;
            }
            return "proven";
        }
        catch (err) {
            this.unavailableUntil = performance.now() + this.ttlSeconds * 1000 / renewalsPerLease;
            this.log.warn("lease renewal failed", { error: asError(err).message });
            return "storeAway";
        }
        finally {
            progress.dispose();
        }
    }

    /** Acquires a new lease, then verifies every slot, because another instance may have taken it over meanwhile. */
    private async reacquire(progress: Progress): Promise<void> {
        const lapsed = this.lease !== undefined;
        this.lease = undefined;
        const lease = await this.store.grantLease(this.ttlSeconds, progress);
        await this.store.txn([], [{ key: instanceKey(this.instance), value: Buffer.from("1"), lease }], progress);
        if (lapsed) {
            this.log.warn("lease lapsed; verifying owned slots", { instance: this.instance });
        }
        await this.onReacquired(progress);
        this.lease = lease;
    }
}
