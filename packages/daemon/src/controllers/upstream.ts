/** Circuit state, load and observed latency of one upstream, as seen by this instance. */
import { createUpstreamLifecycle } from "../lifecycles/upstreamLifecycle.js";
import type { UpstreamLifecycle } from "../lifecycles/upstreamLifecycle.js";
import type { UpstreamNotice, WorkerLoad } from "../peers/messages.js";

type LeavingSource = UpstreamNotice["source"];

const failuresToTrip = 3;
const minBackoffMs = 1_000;
const maxBackoffMs = 15_000;
const slowdownSmoothing = 0.05;
const maxSlowdown = 20;

/** Retention of {@link Upstream.inFlightHistory}, with which load reports are compared. */
const callHistoryMs = 10_000;

/** A load report with the time at which it was measured. */
export interface ReceivedLoad {
    readonly load: WorkerLoad;
    readonly at: number;
    /** Calls that this instance had in flight on the worker at that time. */
    readonly localInFlight: number;
}

/** An engine, or an upstream of a service. */
export class Upstream {
    readonly lifecycle: UpstreamLifecycle;
    /** Moving average of the observed latency of calls, relative to the expected latency; at least 1. */
    slowdown = 1;
    reported: ReceivedLoad | undefined;
    private failures = 0;
    private backoffMs = minBackoffMs;
    private backoffUntil = 0;
    private calls = 0;
    /** Number of in-flight calls of this instance after each recent change. */
    private readonly inFlightHistory: { readonly at: number; readonly calls: number; }[] = [];
    private readonly leavingSources = new Set<LeavingSource>();

    constructor(
        readonly address: string,
        readonly zone: string,
        onChange: (upstream: Upstream) => void,
    ) {
        this.lifecycle = createUpstreamLifecycle(() => onChange(this));
    }

    /** Calls that this instance has in flight on the upstream. */
    get inFlight(): number {
        return this.calls;
    }

    /** Records that a call is being sent to the upstream. */
    onAssigned(): void {
        this.setInFlight(this.calls + 1);
    }

    /** Records that a call has left the upstream. */
    onReleased(): void {
        this.setInFlight(this.calls - 1);
    }

    /** Whether a call may be sent to the upstream; starts probing once the backoff has ended. */
    canAcceptCall(now: number): boolean {
        if (this.lifecycle.state === "broken" && now >= this.backoffUntil) {
            this.lifecycle.send("probe");
        }
        return this.lifecycle.state === "live" || (this.lifecycle.state === "probing" && this.inFlight === 0);
    }

    /** Records a successful call, which closes the circuit. */
    onSuccess(): void {
        this.failures = 0;
        this.backoffMs = minBackoffMs;
        this.lifecycle.send("succeed");
    }

    /**
     * Records a failed call, which may open the circuit.
     *
     * @param refused Whether the connection was refused; this opens the circuit at once.
     */
    onFailure(refused: boolean, now: number): void {
        this.failures += 1;
        if (refused || this.failures >= failuresToTrip || this.lifecycle.state === "probing") {
            this.backoffUntil = now + this.backoffMs;
            this.backoffMs = Math.min(maxBackoffMs, this.backoffMs * 2);
            this.lifecycle.send("trip");
        }
    }

    /** Records the latency of a call, relative to the expected latency. */
    onLatencyObserved(ratio: number): void {
        this.slowdown += slowdownSmoothing * (Math.min(maxSlowdown, ratio) - this.slowdown);
        this.slowdown = Math.max(1, this.slowdown);
    }

    /** Records whether the upstream is leaving according to a source; returns whether this is a change. */
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

    /** Records a load report unless a newer one is known. */
    onLoadReport(load: WorkerLoad, now: number): void {
        const at = now - load.ageMs;
        if (this.reported === undefined || at > this.reported.at) {
            this.reported = { load, at, localInFlight: this.inFlightAt(at) };
        }
    }

    private setInFlight(calls: number): void {
        this.calls = calls;
        this.inFlightHistory.push({ at: Date.now(), calls });
        const cutoff = Date.now() - callHistoryMs;
        while (this.inFlightHistory.length > 1 && this.inFlightHistory[1]!.at <= cutoff) {
            this.inFlightHistory.shift();
        }
    }

    /** Calls that this instance had in flight on the upstream at a recent time. */
    private inFlightAt(at: number): number {
        const latest = this.inFlightHistory.findLast(change => change.at <= at);
        return latest?.calls ?? 0;
    }
}
