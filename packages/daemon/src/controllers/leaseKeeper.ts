/** Keeps this instance's lease in the store; a lease proves that nobody else has taken its slots. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { performance } from "node:perf_hooks";

import type { Store } from "@marigolddrift/store";

/** Key that exists while the lease of an instance does. */
export const instanceKey = (instance: string): string => `/marigolddrift/instances/${instance}`;

/** The lease counts as lapsed this much earlier here than in the store, in milliseconds. */
const safetyMarginMs = 500;
const renewalsPerLease = 3;
const callTimeoutMs = 1_500;

/** Whether this instance provably holds its lease. */
export type LeaseState = "proven" | "storeAway";

/** Grants and renews the lease. */
export class LeaseKeeper {
    private lease: string | undefined;
    private provenUntil = 0;
    private awayUntil = 0;
    private renewing: Promise<LeaseState> | undefined;
    private timer: NodeJS.Timeout | undefined;
    private stopped = false;

    /** @param onRegained Verifies what the instance owned before its lease lapsed. */
    constructor(
        private readonly store: Store,
        private readonly instance: string,
        private readonly ttlSeconds: number,
        private readonly onRegained: (progress: Progress) => Promise<void>,
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
            const progress = new Progress(callTimeoutMs);
            await this.store.revokeLease(this.lease, progress).catch(() => {});
            progress.dispose();
        }
    }

    /** Whether the lease has certainly not lapsed; measured on the monotonic clock, so that a pause shows. */
    isProven(): boolean {
        return performance.now() < this.provenUntil;
    }

    /** Proves the lease, by a renewal if needed; after a failed one, calls do not wait for the store again at once. */
    async prove(): Promise<LeaseState> {
        if (this.isProven()) {
            return "proven";
        }
        return performance.now() < this.awayUntil ? "storeAway" : await this.renew();
    }

    private renew(): Promise<LeaseState> {
        this.renewing ??= this.renewOnce().finally(() => this.renewing = undefined);
        return this.renewing;
    }

    private async renewOnce(): Promise<LeaseState> {
        const progress = new Progress(callTimeoutMs);
        const sentAt = performance.now();
        try {
            if (this.lease === undefined || !await this.store.keepAlive(this.lease, progress)) {
                await this.regain(progress);
            }
            if (!this.stopped) {
                this.provenUntil = sentAt + this.ttlSeconds * 1000 - safetyMarginMs;
            }
            return "proven";
        }
        catch (err) {
            this.awayUntil = performance.now() + this.ttlSeconds * 1000 / renewalsPerLease;
            this.log.warn("lease not renewed", { error: asError(err).message });
            return "storeAway";
        }
        finally {
            progress.dispose();
        }
    }

    /** Takes a new lease, and then checks every slot: another instance may have taken it in between. */
    private async regain(progress: Progress): Promise<void> {
        const lapsed = this.lease !== undefined;
        this.lease = undefined;
        const lease = await this.store.grantLease(this.ttlSeconds, progress);
        await this.store.txn([], [{ key: instanceKey(this.instance), value: Buffer.from("1"), lease }], progress);
        if (lapsed) {
            this.log.warn("lease lapsed; verifying slots", { instance: this.instance });
        }
        await this.onRegained(progress);
        this.lease = lease;
    }
}
