/** What this instance knows of one upstream. */
import { createUpstreamLifecycle } from "../lifecycles/upstreamLifecycle.js";
import type { UpstreamLifecycle } from "../lifecycles/upstreamLifecycle.js";
import type { UpstreamNotice, WorkerLoad } from "../peers/messages.js";

type LeavingSource = UpstreamNotice["source"];

const failuresToTrip = 3;
const minBrokenMs = 1_000;
const maxBrokenMs = 15_000;
const slownessRate = 0.05;
const maxSlowdown = 20;

/** Time for which own calls are remembered, so that load reports can be compared with them; in milliseconds. */
const callHistoryMs = 10_000;

/** A load report with the time at which it was true. */
export interface ReceivedLoad {
    readonly load: WorkerLoad;
    readonly at: number;
    /** Calls of this instance that were on the worker then. */
    readonly ownInFlight: number;
}

/** One engine or one upstream of a service. */
export class Upstream {
    readonly lifecycle: UpstreamLifecycle;
    /** Observed time of calls relative to what was expected. */
    slowdown = 1;
    reported: ReceivedLoad | undefined;
    private failures = 0;
    private brokenMs = minBrokenMs;
    private brokenUntil = 0;
    private calls = 0;
    /** Calls of this instance on the upstream after each recent change. */
    private readonly recentCalls: { readonly at: number; readonly calls: number; }[] = [];
    private readonly leavingSources = new Set<LeavingSource>();

    constructor(
        readonly address: string,
        readonly zone: string,
        onChange: (upstream: Upstream) => void,
    ) {
        this.lifecycle = createUpstreamLifecycle(() => onChange(this));
    }

    /** Calls of this instance that are on the upstream now. */
    get inFlight(): number {
        return this.calls;
    }

    /** Notes that a call is sent to the upstream. */
    onAssigned(): void {
        this.setCalls(this.calls + 1);
    }

    /** Notes that a call has left the upstream. */
    onReleased(): void {
        this.setCalls(this.calls - 1);
    }

    /** Whether the upstream may get a call now. */
    mayServe(now: number): boolean {
        if (this.lifecycle.state === "broken" && now >= this.brokenUntil) {
            this.lifecycle.send("probe");
        }
        return this.lifecycle.state === "live" || (this.lifecycle.state === "probing" && this.inFlight === 0);
    }

    /** Notes a call that was answered. */
    onSuccess(): void {
        this.failures = 0;
        this.brokenMs = minBrokenMs;
        this.lifecycle.send("succeed");
    }

    /** Notes a call that failed; `refused` if nothing listens there. */
    onFailure(refused: boolean, now: number): void {
        this.failures += 1;
        if (refused || this.failures >= failuresToTrip || this.lifecycle.state === "probing") {
            this.brokenUntil = now + this.brokenMs;
            this.brokenMs = Math.min(maxBrokenMs, this.brokenMs * 2);
            this.lifecycle.send("trip");
        }
    }

    /** Notes how long a call took relative to what was expected. */
    onObserved(ratio: number): void {
        this.slowdown += slownessRate * (Math.min(maxSlowdown, ratio) - this.slowdown);
        this.slowdown = Math.max(1, this.slowdown);
    }

    /** Notes what a source says about leaving; returns whether that changed anything. */
    setLeaving(source: LeavingSource, leaving: boolean): boolean {
        if (this.leavingSources.has(source) === leaving) {
            return false;
        }
        if (leaving) {
            this.leavingSources.add(source);
        }
        else {
            this.leavingSources.delete(source);
        }
        this.lifecycle.send(this.leavingSources.size > 0 ? "leave" : "return");
        return true;
    }

    /** Takes a load report unless a newer one is known. */
    onLoad(load: WorkerLoad, now: number): void {
        const at = now - load.ageMs;
        if (this.reported === undefined || at > this.reported.at) {
            this.reported = { load, at, ownInFlight: this.callsAt(at) };
        }
    }

    private setCalls(calls: number): void {
        this.calls = calls;
        this.recentCalls.push({ at: Date.now(), calls });
        const horizon = Date.now() - callHistoryMs;
        while (this.recentCalls.length > 1 && this.recentCalls[1]!.at <= horizon) {
            this.recentCalls.shift();
        }
    }

    /** Calls of this instance that were on the upstream at a recent time. */
    private callsAt(at: number): number {
        const known = this.recentCalls.findLast(change => change.at <= at);
        return known?.calls ?? 0;
    }
}
