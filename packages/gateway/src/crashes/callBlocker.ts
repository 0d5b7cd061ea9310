/** Keeps calls from upstreams that are known to end the upstreams that run them. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Metrics } from "@marigolddrift/common";
import { addCrash, clearCrashes, findBlocked, isForgotten, isNews, mergeCrashRecords } from "@marigolddrift/policy";
import type { CrashRecord } from "@marigolddrift/policy";
import { z } from "zod";

import { FactTable } from "../facts/factTable.js";
import type { FactClock, FactSource } from "../facts/factTable.js";
import { validFacts } from "../facts/validFacts.js";
import type { CallContext } from "../filters/callContext.js";
import { compareFingerprints } from "./fingerprint.js";
import type { Fingerprints } from "./fingerprint.js";

/** Number of fingerprints that are remembered. A crash adds those of all calls that waited for an answer. */
const maxRecords = 10_000;

/** Interval at which records that are no longer needed are dropped, and blocked calls are let through again. */
const cleanupIntervalMs = 15_000;

/** Number of beginnings of answered calls that are remembered. */
const maxAnswered = 10_000;

/** Time for which an answered call shows that its beginning alone does not end upstreams. */
const answeredMs = 600_000;

const crashFactSchema = z.object({
    fingerprint: z.string(),
    crashes: z.array(z.object({ upstream: z.string(), ageMs: z.number().nonnegative() })),
    /** Missing if the call was never cleared. */
    clearedAgeMs: z.number().nonnegative().optional(),
});

type CrashFact = z.infer<typeof crashFactSchema>;

/** Calls that upstreams have ended with, by fingerprint of the whole call and of its beginnings. */
export class CallBlocker implements FactSource {
    private readonly records: FactTable<CrashRecord>;
    /** Monotonic time at which a call with a beginning was answered here, the longest unused first. */
    private readonly answered = new Map<string, number>();
    private blockedCalls: ReadonlySet<string> = new Set();
    private readonly timer = setInterval(() => this.dropForgotten(), cleanupIntervalMs).unref();

    constructor(clock: FactClock, private readonly metrics: Metrics, private readonly log: Logger) {
        this.records = new FactTable(clock, maxRecords, ({ crashes }) => crashes.length <= 1);
    }

    /** Number of fingerprints that are blocked now. */
    get blocked(): number {
        return this.blockedCalls.size;
    }

    /**
     * Refuses a call that is known to end its upstream. The answer names no time to come back, and no fault of the caller.
     *
     * @param mayHaveRun Whether an upstream may have begun to run it in this attempt of the caller.
     * @throws ProblemError `call_blocked`.
     */
    check(ctx: CallContext, mayHaveRun: boolean): void {
        if (this.blockedCalls.size === 0) {
            return;
        }
        const { whole, beginnings } = ctx.fingerprints();
        const fingerprint = [whole, ...beginnings].find(key => this.blockedCalls.has(key));
        if (fingerprint === undefined) {
            return;
        }
        this.metrics.count("calls.blocked");
        const crashes = this.records.get(fingerprint)?.crashes.length ?? 0;
        throw new ProblemError(
            "call_blocked",
            mayHaveRun ? "mayHaveRun" : "notRun",
            `${crashes} upstreams ended when they began to run this call, so it is not sent to another one (${fingerprint}).`,
        );
    }

    /** Records the calls that an upstream had not answered at all when it ended. */
    onCrash(upstream: string, calls: readonly Fingerprints[]): void {
        const at = performance.now();
        for (const { whole, beginnings } of calls) {
            const suspected = beginnings.filter(beginning => !this.isAnswered(beginning, at));
            for (const fingerprint of [whole, ...suspected]) {
                this.update(fingerprint, addCrash(this.records.get(fingerprint), { upstream, at }));
            }
        }
        this.findBlocked("seen here");
    }

    /** Clears a call that an upstream has answered. */
    onAnswered(ctx: CallContext): void {
        const now = performance.now();
        const { whole, beginnings } = ctx.fingerprints();
        beginnings.forEach(beginning => this.rememberAnswered(beginning, now));
        for (const fingerprint of [whole, ...beginnings]) {
            const record = this.records.get(fingerprint);
            if (record !== undefined && record.crashes.length > 0) {
                this.update(fingerprint, clearCrashes(record, now));
                this.findBlocked("answered");
            }
        }
    }

    close(): void {
        clearInterval(this.timer);
    }

    changedSince(sequence: number): CrashFact[] {
        const now = performance.now();
        return this.records.changedSince(sequence).map(([fingerprint, { crashes, clearedAt }]) => ({
            fingerprint,
            crashes: crashes.map(({ upstream, at }) => ({ upstream, ageMs: now - at })),
            ...(clearedAt === -Infinity ? {} : { clearedAgeMs: now - clearedAt }),
        }));
    }

    merge(facts: readonly unknown[]): void {
        const now = performance.now();
        const onInvalid = (): void => this.log.warn("crash record of a peer ignored", { reason: "it is not valid" });
        for (const { fingerprint, crashes, clearedAgeMs } of validFacts(crashFactSchema, facts, onInvalid)) {
            this.mergeRecord(fingerprint, {
                crashes: crashes.map(({ upstream, ageMs }) => ({ upstream, at: now - ageMs })),
                clearedAt: clearedAgeMs === undefined ? -Infinity : now - clearedAgeMs,
            });
        }
        this.findBlocked("peer");
    }

    /** A beginning that is suspected elsewhere but was answered here is cleared everywhere. */
    private mergeRecord(fingerprint: string, received: CrashRecord): void {
        const merged = mergeCrashRecords(this.records.get(fingerprint), received);
        const now = performance.now();
        const isCleared = merged.crashes.length > 0 && this.isAnswered(fingerprint, now);
        this.update(fingerprint, isCleared ? clearCrashes(merged, now) : merged);
    }

    private update(fingerprint: string, record: CrashRecord): void {
        if (isNews(this.records.get(fingerprint), record)) {
            this.records.put(fingerprint, record);
        }
    }

    private isAnswered(beginning: string, now: number): boolean {
        return now - (this.answered.get(beginning) ?? -Infinity) < answeredMs;
    }

    private rememberAnswered(beginning: string, now: number): void {
        this.answered.delete(beginning);
        this.answered.set(beginning, now);
        if (this.answered.size > maxAnswered) {
            this.answered.delete(this.answered.keys().next().value!);
        }
    }

    private findBlocked(source: "seen here" | "answered" | "peer" | "time"): void {
        const before = this.blockedCalls;
        this.blockedCalls = findBlocked(this.records.all(), performance.now(), compareFingerprints);
        for (const fingerprint of this.blockedCalls) {
            if (!before.has(fingerprint)) {
                const upstreams = this.records.get(fingerprint)?.crashes.map(({ upstream }) => upstream);
                this.log.warn("call blocked", { call: fingerprint, upstreams, source });
            }
        }
        for (const fingerprint of before) {
            if (!this.blockedCalls.has(fingerprint)) {
                this.log.warn("call no longer blocked", { call: fingerprint, source });
            }
        }
    }

    private dropForgotten(): void {
        const now = performance.now();
        for (const [fingerprint, record] of this.records.all()) {
            if (isForgotten(record, now)) {
                this.records.delete(fingerprint);
            }
        }
        this.findBlocked("time");
    }
}
