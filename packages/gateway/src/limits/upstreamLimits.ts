/** What this instance knows of the limits that upstreams name, and whether a call may be sent under them. */
import type { Logger, Progress } from "@marigolddrift/common";
import { effectiveRate, limitFromAnswer, newerLimit } from "@marigolddrift/policy";
import type { NamedLimit } from "@marigolddrift/policy";
import { z } from "zod";

import { FactTable } from "../facts/factTable.js";
import type { FactClock, FactSource } from "../facts/factTable.js";
import { validFacts } from "../facts/validFacts.js";
import type { Upstream } from "../upstreams/upstreams.js";
import type { Permits } from "./permits.js";

/** Number of limits that are remembered: more than a deployment has upstreams. */
const maxLimits = 4_096;

const limitFactSchema = z.object({
    /** Key of the upstream's process. */
    upstream: z.string(),
    perSecond: z.number().nonnegative().optional(),
    previous: z.number().nonnegative().optional(),
    ageMs: z.number().nonnegative(),
});

type LimitFact = z.infer<typeof limitFactSchema>;

/** Limits by upstream. */
export class UpstreamLimits implements FactSource {
    private readonly limits: FactTable<NamedLimit>;

    constructor(
        clock: FactClock,
        private readonly permits: Permits,
        private readonly regionOf: (zone: string) => string,
        private readonly log: Logger,
    ) {
        this.limits = new FactTable(clock, maxLimits);
    }

    /** Handles an answer to a call that was sent at the monotonic time `sentAt`. */
    onAnswer(upstream: Upstream, perSecond: number | undefined, sentAt: number): void {
        const { key } = upstream;
        const known = this.limits.get(key);
        const limit = limitFromAnswer(known, perSecond, sentAt, performance.now());
        if (limit === undefined) {
            return;
        }
        if (known !== undefined && known.perSecond === limit.perSecond) {
            this.limits.refresh(key, limit);
            return;
        }
        this.log.info("upstream limit", {
            upstream: upstream.entry.id,
            requestsPerSecond: perSecond,
            source: "answer",
        });
        this.limits.put(key, limit);
    }

    /** Requests a second that all instances together may send to the upstream now; undefined if it is not limited. */
    rateOf(upstream: Upstream): number | undefined {
        return effectiveRate(this.limits.get(upstream.key), performance.now());
    }

    /** This instance's part of the rate, if the limit is shared equally; undefined if the upstream is not limited. */
    shareOf(upstream: Upstream): number | undefined {
        const rate = this.rateOf(upstream);
        return rate === undefined ? undefined : rate / this.permits.sharers(upstream.key);
    }

    /** Whether the upstream takes no call of this instance now because of its limit. */
    isClosed(upstream: Upstream): boolean {
        return this.rateOf(upstream) !== undefined && this.permits.isClosed(upstream.key, performance.now());
    }

    /** Takes the permit for a call that is sent at once; resolves to false if the limit allows none now. */
    async permit(upstream: Upstream, progress: Progress): Promise<boolean> {
        const perSecond = this.rateOf(upstream);
        if (perSecond === undefined) {
            return true;
        }
        const region = this.regionOf(upstream.entry.zone);
        return await this.permits.take({ key: upstream.key, region, perSecond }, progress);
    }

    forget(upstream: Upstream): void {
        this.limits.delete(upstream.key);
        this.permits.forget(upstream.key);
    }

    changedSince(sequence: number): LimitFact[] {
        const now = performance.now();
        return this.limits.changedSince(sequence).map(([upstream, { perSecond, previous, at }]) => ({
            upstream,
            ...(perSecond === undefined ? {} : { perSecond }),
            ...(previous === undefined ? {} : { previous }),
            ageMs: now - at,
        }));
    }

    merge(facts: readonly unknown[]): void {
        const now = performance.now();
        const onInvalid = (): void => this.log.warn("limit of a peer ignored", { reason: "it is not valid" });
        for (const { upstream, perSecond, previous, ageMs } of validFacts(limitFactSchema, facts, onInvalid)) {
            this.mergeLimit(upstream, { perSecond, previous, at: now - ageMs });
        }
    }

    private mergeLimit(key: string, received: NamedLimit): void {
        const known = this.limits.get(key);
        const limit = newerLimit(known, received);
        if (limit === known) {
            return;
        }
        if (known?.perSecond === limit.perSecond && known !== undefined) {
            this.limits.refresh(key, limit);
            return;
        }
        this.log.info("upstream limit", { upstream: key, requestsPerSecond: limit.perSecond, source: "peer" });
        this.limits.put(key, limit);
    }
}
