/** What a granting instance keeps of one workspace. */
import {
    createPacing,
    createQuotaBucket,
    cutQuota,
    recordRequests,
    recordStarts,
    refillQuota,
    returnQuota,
    scaleQuota,
    startDelayMs,
    takeQuota,
} from "@marigolddrift/policy";
import type { ProgramPacing, QuotaBucket, QuotaTerms, ScaledQuota } from "@marigolddrift/policy";

import { permitTtlMs } from "./quotaSettings.js";
import type { QuotaSettings } from "./quotaSettings.js";

/** Time over which the demand is averaged. */
const demandMemoryMs = 500;

/** Time of demand that is kept back when another region borrows. */
const reserveMs = 150;

/** Longest time ahead of which refused callers are spread. */
const maxQueueMs = 5_000;

/** Windows after a refusal in which programs that start are held back. */
const pressureWindows = 2;

/** Grants the permits of one workspace from the shares that are lent to this instance, and from what it borrows. */
export class GrantedWorkspace {
    /** Until this time the other region has nothing to lend. */
    dryUntil = -Infinity;
    private bucket: QuotaBucket;
    private pacing: ProgramPacing;
    private scaled: ScaledQuota;
    private borrowed: { readonly count: number; readonly until: number; }[] = [];
    /** Requests in the last half second, weighted by age, and the time of that sum. */
    private demand = { count: 0, at: 0 };
    /** Time at which the last refused caller can be served. */
    private queuedUntil = -Infinity;
    private shortAt = -Infinity;

    /** @param mayHoldWhole Whether this instance may hold a whole permit with a small share. */
    constructor(
        readonly name: string,
        readonly slot: number,
        private currentTerms: QuotaTerms,
        private share: number,
        private readonly settings: QuotaSettings,
        private readonly mayHoldWhole: (name: string, terms: QuotaTerms, share: number) => boolean,
        now: number,
    ) {
        this.bucket = createQuotaBucket(now);
        this.pacing = createPacing(now);
        this.scaled = this.scale();
    }

    get terms(): QuotaTerms {
        return this.currentTerms;
    }

    /** Applies another quota or another sum of lent shares, as of a time. */
    change(terms: QuotaTerms, share: number, at: number): void {
        this.bucket = cutQuota(refillQuota(this.bucket, this.scaled, at), this.share, share);
        this.currentTerms = terms;
        this.share = share;
        this.scaled = this.scale();
        this.bucket = refillQuota(this.bucket, this.scaled, at);
    }

    /** Whether no share is lent to this instance yet. */
    get hasNoShare(): boolean {
        return this.share === 0;
    }

    /** Grants up to `count` permits, first from the lent shares. */
    take(count: number, now: number): number {
        const own = takeQuota(this.bucket, this.scaled, count, 0, now);
        this.bucket = own.bucket;
        return own.granted + this.takeBorrowed(count - own.granted, now);
    }

    giveBack(count: number, now: number): void {
        this.bucket = returnQuota(this.bucket, this.scaled, count, now);
    }

    /** Lends what is idle to the granting instance of another region. */
    lend(count: number, now: number): { granted: number; retryInMs: number; } {
        const { bucket, granted, retryInMs } = takeQuota(
            this.bucket,
            this.scaled,
            count,
            this.demandIn(reserveMs, now),
            now,
        );
        this.bucket = bucket;
        return { granted, retryInMs };
    }

    /** Adds permits that were borrowed, which may be granted until a time. */
    addBorrowed(count: number, until: number): void {
        this.borrowed.push({ count, until });
    }

    /** Records requests, whether or not they are granted. */
    recordDemand(count: number, now: number): void {
        this.demand = { count: this.demandIn(demandMemoryMs, now) + count, at: now };
    }

    /** Expected number of requests in a time. */
    demandIn(ms: number, now: number): number {
        const weight = Math.exp(-Math.max(0, now - this.demand.at) / demandMemoryMs);
        return this.demand.count * weight * ms / demandMemoryMs;
    }

    /**
     * Places refused calls behind those refused before.
     *
     * @returns The time after which the first of them may be served, and the further time for each one after it.
     */
    queue(count: number, now: number): { retryInMs: number; spacingMs: number; } {
        const { retryInMs } = takeQuota(this.bucket, this.scaled, 0, 0, now);
        const perSecond = this.scaled.perSecond;
        const spacingMs = perSecond > 0 ? Math.min(maxQueueMs, 1_000 / perSecond) : maxQueueMs;
        const first = Math.max(now + retryInMs, this.queuedUntil);
        this.queuedUntil = Math.min(now + maxQueueMs, first + count * spacingMs);
        return { retryInMs: Math.min(maxQueueMs, first - now), spacingMs };
    }

    /** Records that calls were refused, so that programs that have started take precedence. */
    recordShortage(now: number): void {
        this.shortAt = now;
    }

    /** Time for which a new program is held back; 0 if it may start. Below the limit, it always may. */
    startDelayMs(now: number): number {
        const isUnderPressure = now - this.shortAt < pressureWindows * this.settings.windowMs;
        return isUnderPressure ? startDelayMs(this.pacing, this.scaled.perSecond, this.settings.windowMs, now) : 0;
    }

    recordStarts(count: number, now: number): void {
        this.pacing = recordStarts(this.pacing, count, this.scaled.perSecond, this.settings.windowMs, now);
    }

    recordRequests(count: number): void {
        this.pacing = recordRequests(this.pacing, count);
    }

    private takeBorrowed(count: number, now: number): number {
        let taken = 0;
        const left: { readonly count: number; readonly until: number; }[] = [];
        for (const { count: available, until } of this.borrowed) {
            const used = now < until ? Math.min(available, count - taken) : available;
            taken += now < until ? used : 0;
            if (available > used) {
                left.push({ count: available - used, until });
            }
        }
        this.borrowed = left;
        return taken;
    }

    private scale(): ScaledQuota {
        const mayHoldWhole = this.currentTerms.burst * this.share < 1 && this.share > 0 &&
            this.mayHoldWhole(this.name, this.currentTerms, this.share);
        return scaleQuota(this.currentTerms, this.share, mayHoldWhole, permitTtlMs(this.settings));
    }
}
