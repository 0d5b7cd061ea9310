/** Grants permits for upstreams whose limit all instances share. */
import { grantingRate, retryDelayMs, takePermits } from "@marigolddrift/policy";
import type { PermitBucket } from "@marigolddrift/policy";

import type { PermitResponse } from "../peers/peerMessages.js";

/** Time for which an instance that asked for permits counts among those that share the limit. */
const sharerTtlMs = 2_000;

/** Interval at which state that is no longer needed is dropped. */
const cleanupIntervalMs = 5_000;

/** Time after which the state of an upstream that is not asked for is dropped. */
const idleTtlMs = 60_000;

interface GrantedUpstream {
    bucket: PermitBucket | undefined;
    /** Monotonic time at which each instance asked last. */
    readonly askedAt: Map<string, number>;
}

/** One instance's side of the limits that it grants permits for. */
export class PermitGranter {
    private readonly upstreams = new Map<string, GrantedUpstream>();
    private readonly timer = setInterval(() => this.dropIdle(performance.now()), cleanupIntervalMs).unref();

    /** @param isSettled Whether the other instances count with this one, so that no other takes itself for the first choice. */
    constructor(private readonly random: () => number, private readonly isSettled: () => boolean) {}

    /**
     * Grants up to `count` permits to an instance.
     *
     * @param isFirst Whether this instance is the first choice for the upstream among all known instances.
     */
    grant(upstream: string, perSecond: number, count: number, instance: string, isFirst: boolean): PermitResponse {
        const now = performance.now();
        const state = this.upstreams.get(upstream) ?? { bucket: undefined, askedAt: new Map<string, number>() };
        this.upstreams.set(upstream, state);
        state.askedAt.set(instance, now);
        const rate = grantingRate(perSecond, isFirst && this.isSettled());
        const { bucket, granted, retryInMs } = takePermits(state.bucket, rate, count, now);
        state.bucket = bucket;
        const sharers = [...state.askedAt.values()].filter(at => now - at < sharerTtlMs).length;
        return { granted, retryInMs: retryDelayMs(retryInMs, rate, sharers, this.random()), sharers };
    }

    close(): void {
        clearInterval(this.timer);
    }

    private dropIdle(now: number): void {
        for (const [upstream, { askedAt }] of this.upstreams) {
            for (const [instance, at] of askedAt) {
                if (now - at >= sharerTtlMs) {
                    askedAt.delete(instance);
                }
            }
            if (askedAt.size === 0 && now - (this.upstreams.get(upstream)?.bucket?.at ?? now) >= idleTtlMs) {
                this.upstreams.delete(upstream);
            }
        }
    }
}
