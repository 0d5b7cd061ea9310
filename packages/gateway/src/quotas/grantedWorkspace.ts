/** The state that a granting instance keeps for one workspace. */
import {
    createPacing,
    createQuotaBucket,
    cutQuota,
    isBusy,
    recordContinued,
    recordPlain,
    recordStart,
    refillQuota,
    requestsPerProgram,
    returnQuota,
    scaleQuota,
    startDelayMs,
    takeQuota,
} from "@marigolddrift/policy";
import type { ProgramPacing, QuotaBucket, QuotaTerms, ScaledQuota } from "@marigolddrift/policy";

import { permitTtlMs } from "./quotaSettings.js";
import type { QuotaSettings } from "./quotaSettings.js";
import { RecentCount } from "./recentCount.js";

/** Time over which the demand is averaged. */
const demandMemoryMs = 500;

/** Time over which the use of the quota is averaged. */
const servedMemoryMs = 5_000;

/** Time of demand that is kept back when another region borrows. */
const reserveMs = 150;

/** Longest time over which the returns of refused callers are spread. */
const maxQueueMs = 5_000;

/** Windows after a refusal in which programs that start are held back. */
const pressureWindows = 2;

/** Grants the permits of one workspace from the shares that are lent to this instance, and from what it borrows. */
export class GrantedWorkspace {
    /** Monotonic time before which no permits are borrowed, because the other region had none to lend. */
    borrowPausedUntil = -Infinity;
    private bucket: QuotaBucket;
    private pacing: ProgramPacing;
    private scaled: ScaledQuota;
    private borrowed: { readonly count: number; readonly until: number; }[] = [];
    private readonly demand = new RecentCount(demandMemoryMs);
    private readonly served = new RecentCount(servedMemoryMs);
    /** Permits borrowed from the other region. */
    private readonly recentlyBorrowed = new RecentCount(servedMemoryMs);
    /** Time at which the last refused caller can be served. */
    private queuedUntil = -Infinity;
    /** Time at which the last program that was held back may start. */
    private startsQueuedUntil = -Infinity;
    /** Time at which a call was last refused, or a program last held back. */
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
        const granted = own.granted + this.takeBorrowed(count - own.granted, now);
        this.served.add(granted, now);
        return granted;
    }

    /** Takes back permits that were not used. */
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

    /** Adds borrowed permits, which may be granted until they expire. */
    addBorrowed(count: number, until: number, now: number): void {
        this.borrowed.push({ count, until });
        this.recentlyBorrowed.add(count, now);
    }

    /** Records requests, whether or not they are granted. */
    recordDemand(count: number, now: number): void {
        this.demand.add(count, now);
    }

    /** Expected number of requests in a time. */
    demandIn(ms: number, now: number): number {
        return this.demand.perSecond(now) * ms / 1_000;
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
        const perSecond = this.pacedRate(now);
        if (!isUnderPressure || !isBusy(this.served.perSecond(now), perSecond)) {
            return 0;
        }
        const { windowMs } = this.settings;
        const delayMs = Math.max(startDelayMs(this.pacing, perSecond, windowMs, now), this.reserveDelayMs(now));
        if (delayMs > 0) {
            // While programs are held back, there may be no other shortage.
            this.shortAt = now;
            return this.queueStart(delayMs, perSecond, now);
        }
        return 0;
    }

    /** Records that a new program was admitted. */
    recordStart(now: number): void {
        this.pacing = recordStart(this.pacing, this.pacedRate(now), this.settings.windowMs, now);
    }

    /** Records requests of programs that have started. */
    recordContinued(asked: number, served: number): void {
        this.pacing = recordContinued(this.pacing, asked, served);
    }

    /** Records requests of no program. */
    recordPlain(served: number): void {
        this.pacing = recordPlain(this.pacing, served, this.scaled.perSecond, this.settings.windowMs);
    }

    /** Time until there is a permit beyond the half of the bucket that is kept for the next requests of programs that have started. */
    private reserveDelayMs(now: number): number {
        const { capacity, perSecond } = this.scaled;
        const missing = 1 + Math.min(capacity / 2, capacity - 1) - refillQuota(this.bucket, this.scaled, now).level;
        return missing <= 0 ? 0 : Math.min(maxQueueMs, missing * 1_000 / perSecond);
    }

    /** Places a program behind those held back before, so that their callers do not return together. */
    private queueStart(delayMs: number, perSecond: number, now: number): number {
        const first = Math.max(now + delayMs, this.startsQueuedUntil);
        const spacingMs = requestsPerProgram(this.pacing) * 1_000 / Math.max(perSecond, 1 / maxQueueMs);
        this.startsQueuedUntil = Math.min(now + maxQueueMs, first + spacingMs);
        return first - now;
    }

    /** Rate of the lent shares and of what is borrowed. */
    private pacedRate(now: number): number {
        return this.scaled.perSecond + this.recentlyBorrowed.perSecond(now);
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
