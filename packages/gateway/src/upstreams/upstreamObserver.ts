/** Observes how upstreams serve the calls of this instance. */
import type { Logger } from "@marigolddrift/common";
import { FirstByteWait, UpstreamHealth } from "@marigolddrift/policy";
import type { CallShape, WorkerScore } from "@marigolddrift/policy";

import type { AttemptResult } from "./attempt.js";
import type { Upstream } from "./upstreams.js";

/** Assumed duration of a call to a plain service until one has been measured. */
export const defaultCallMs = 30;

/** Shortest time between two log lines about an upstream that is set back. */
const setBackLogIntervalMs = 10_000;

/** What is known of a call when it is sent. */
export interface ObservedCall {
    /** Calls of one kind take about as long at upstreams of the same speed. */
    readonly kind: string;
    readonly shape: CallShape;
    /** Expected times at the chosen upstream. */
    readonly score: WorkerScore;
}

/** What is known of a call when it has ended. */
export interface ObservedEnd {
    readonly result: AttemptResult;
    readonly status: number | undefined;
    /** Generated tokens of a stream. */
    readonly tokens: number | undefined;
}

/** A call that is being observed. */
export interface Observation {
    readonly onFirstByte: () => void;
    readonly onEnd: (end: ObservedEnd) => void;
}

/** Whether a call has failed at the upstream; undefined if its end tells nothing of the upstream. */
const hasFailed = ({ result, status }: ObservedEnd): boolean | undefined => {
    switch (result.kind) {
        case "complete":
            return status !== undefined && status >= 500;
        case "broken":
            return result.endedBy === "upstream" ? true : undefined;
        case "notRun":
            return undefined;
    }
};

/** Service times, failures and waits by upstream, and the tokens of the calls in flight there. */
export class UpstreamObserver {
    readonly health = new UpstreamHealth();
    private readonly waits = new Map<string, FirstByteWait>();
    /** Upstreams that get fewer calls because they fail some, with the time at which that was last logged. */
    private readonly setBack = new Map<string, number>();

    constructor(private readonly log: Logger) {}

    /** Shares of their usual calls that upstreams of a service get, by key, for those that fail calls. */
    failureWeights(upstreams: readonly Upstream[], now: number): ReadonlyMap<string, number> {
        const weights = this.health.weights(upstreams.map(({ key }) => key), now);
        for (const { key, entry } of upstreams) {
            const weight = weights.get(key);
            const loggedAt = this.setBack.get(key);
            if (weight !== undefined && now - (loggedAt ?? -Infinity) > setBackLogIntervalMs) {
                this.setBack.set(key, now);
                this.log.info("upstream set back", { upstream: entry.id, weight, reason: "it fails calls" });
            }
            if (weight === undefined && loggedAt !== undefined && now - loggedAt > setBackLogIntervalMs) {
                this.setBack.delete(key);
                this.log.info("upstream no longer set back", { upstream: entry.id });
            }
        }
        return weights;
    }

    /** Begins to observe a call that is sent now. */
    begin(upstream: Upstream, call: ObservedCall): Observation {
        const { shape, kind, score } = call;
        const sentAt = performance.now();
        const heldTokens = shape.promptTokens > 0 ? shape.promptTokens + shape.expectedTokens : 0;
        upstream.heldTokens += heldTokens;
        const waits = this.waitsOf(upstream.key);
        const ticket = waits.begin(this.expectedFirstMs(call), sentAt);
        let firstByteAt: number | undefined;
        return {
            onFirstByte: () => {
                firstByteAt ??= performance.now();
                waits.onFirstByte(ticket, firstByteAt);
            },
            onEnd: end => {
                const now = performance.now();
                waits.end(ticket);
                upstream.heldTokens -= heldTokens;
                const failed = hasFailed(end);
                if (end.result.kind === "broken") {
                    upstream.brokenAt = now;
                }
                if (failed !== undefined) {
                    this.health.onOutcome(upstream.key, failed, now);
                }
                if (end.result.kind !== "complete" || failed === true) {
                    return;
                }
                upstream.recordDuration(now - sentAt);
                const isSuccess = end.status !== undefined && end.status < 400;
                const served = { worker: upstream.key, kind };
                if (isSuccess && shape.promptTokens === 0) {
                    this.health.onServed({ ...served, predictedMs: 1, ms: now - sentAt }, now);
                }
                else if (isSuccess && firstByteAt !== undefined && (end.tokens ?? 0) > 1) {
                    const tokenMs = score.decodeMs / score.slowdown / Math.max(1, shape.expectedTokens);
                    this.health.onServed(
                        { ...served, predictedMs: end.tokens! * tokenMs, ms: now - firstByteAt },
                        now,
                    );
                }
            },
        };
    }

    /** Wait to be expected at an upstream beyond the time that a call itself takes. */
    waitMs(upstream: Upstream): number {
        return this.waits.get(upstream.key)?.waitMs(performance.now()) ?? 0;
    }

    /** Mean duration of a kind of call to a plain service. */
    meanCallMs(kind: string): number {
        return this.health.expectedRatio(kind) ?? defaultCallMs;
    }

    forget(upstream: Upstream): void {
        this.waits.delete(upstream.key);
        this.setBack.delete(upstream.key);
        this.health.remove(upstream.key);
    }

    /** Expected time until the first byte if the call does not wait. */
    private expectedFirstMs({ shape, kind, score }: ObservedCall): number {
        const networkMs = Math.max(0, score.expectedMs - score.waitMs - score.prefillMs - score.decodeMs);
        const serviceMs = shape.promptTokens > 0 ? score.prefillMs : this.meanCallMs(kind);
        return networkMs + serviceMs;
    }

    private waitsOf(key: string): FirstByteWait {
        let waits = this.waits.get(key);
        if (waits === undefined) {
            waits = new FirstByteWait();
            this.waits.set(key, waits);
        }
        return waits;
    }
}
