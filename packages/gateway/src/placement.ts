/** Adapts the known upstreams to the dispatcher. */
import type { DispatchRequest, DispatchTarget } from "@marigolddrift/dispatch";
import { expectedRoundTripMs, PrefixView } from "@marigolddrift/policy";
import type { CostModel, WorkerView } from "@marigolddrift/policy";

import type { PromptPart } from "./call.js";
import type { CallContext } from "./filters/callContext.js";
import type { UpstreamLimits } from "./limits/upstreamLimits.js";
import type { PeerLoad } from "./upstreams/loadExchange.js";
import type { Upstream, Upstreams } from "./upstreams/upstreams.js";

/** Assumed cost model of a model engine; the maximum batch size is taken from the upstream's entry. */
const defaultEngineCost = {
    prefillMsPerToken: 0.017,
    decodeBaseMs: 2.6,
    decodePerSequenceMs: 0.02,
    importMsPerToken: 0,
};

/** Assumed duration of a call to a plain service until one has been measured. */
const defaultCallMs = 30;

/** Share of the maximum output that a turn is assumed to generate if the caller gives no estimate. */
const expectedOutputShare = 0.3;

/** Maximum number of calls in flight on an upstream, as a multiple of its slots. */
const maxInFlightPerSlot = 1.5;

/** A call that is queued for an upstream. */
export interface QueuedCall extends DispatchRequest {
    readonly promptParts: readonly PromptPart[];
}

/** Creates the dispatcher's request for a call; calls are queued by service. */
export const createQueuedCall = (ctx: CallContext, excluded: ReadonlySet<string>): QueuedCall => {
    const { program, prompt } = ctx.head;
    const now = performance.now();
    const expectedTokens = prompt === undefined ?
        1 :
        prompt.expectedOutputTokens ?? prompt.maxOutputTokens * expectedOutputShare;
    return {
        model: ctx.service.name,
        program: program?.id ?? ctx.id,
        workspace: ctx.route.name,
        call: 0,
        attainedMs: 0,
        priority: ctx.priority,
        enqueuedAt: now,
        deadline: now + ctx.progress.leftMs,
        expectedMs: prompt === undefined ? defaultCallMs : expectedTokens * defaultEngineCost.decodeBaseMs,
        workspaceLoad: 0,
        shape: { promptTokens: prompt?.promptTokens ?? 0, expectedTokens },
        firstCall: program?.previousTurnId === undefined,
        excluded,
        bytes: ctx.body.length,
        promptParts: prompt?.parts ?? [],
    };
};

/** Zone and region of an instance, and the regions of all zones. */
export interface Topology {
    readonly zone: string;
    readonly region: string;
    regionOf(zone: string): string;
}

/** The upstreams as the dispatcher sees them. */
export class UpstreamPool implements DispatchTarget<QueuedCall> {
    readonly prefixes = new PrefixView();

    constructor(
        private readonly topology: Topology,
        private readonly upstreams: Upstreams,
        private readonly peerLoadOf: (upstream: string) => PeerLoad,
        private readonly limits: Pick<UpstreamLimits, "rateOf" | "shareOf" | "isClosed">,
    ) {}

    /** Upstreams of the instance's region; those of all regions only if the former take no call or have failed this one. */
    views(req: QueuedCall): WorkerView[] {
        const usable = this.withoutFailed(this.upstreams.usable(req.model), req);
        const sameRegion = usable.filter(({ entry }) => this.topology.regionOf(entry.zone) === this.topology.region);
        const hasFreeSlot = sameRegion.some(upstream =>
            upstream.inFlight < upstream.entry.slots && !this.limits.isClosed(upstream)
        );
        const candidates = hasFreeSlot ? sameRegion : usable;
        const open = candidates.filter(upstream => !this.limits.isClosed(upstream));
        return open.length > 0 ?
            open.map(upstream => this.createView(upstream, req)) :
            candidates.map(upstream => this.createClosedView(upstream, req));
    }

    /** Leaves out the upstreams that refused or broke the call, unless no other is left. */
    private withoutFailed(usable: readonly Upstream[], req: QueuedCall): readonly Upstream[] {
        const untried = usable.filter(({ entry }) => !req.excluded.has(entry.id));
        return untried.length > 0 ? untried : usable;
    }

    /** Calls that the upstreams run at once for this instance; fewer than their slots where they limit the requests. */
    capacity(service: string, meanServiceMs: number): number {
        const capacityOf = (upstream: Upstream): number => {
            const share = this.limits.shareOf(upstream);
            return share === undefined ?
                upstream.entry.slots :
                Math.min(upstream.entry.slots, share * meanServiceMs / 1_000);
        };
        return this.upstreams.usable(service).reduce((sum, upstream) => sum + capacityOf(upstream), 0);
    }

    /** Whether all upstreams of a service have no permits left for this instance's calls. */
    isExhausted(service: string): boolean {
        const usable = this.upstreams.usable(service);
        return usable.length > 0 && usable.every(upstream => this.limits.isClosed(upstream));
    }

    /** Whether any upstream of a service limits its requests. */
    isLimited(service: string): boolean {
        return this.upstreams.usable(service).some(upstream => this.limits.rateOf(upstream) !== undefined);
    }

    onAssigned(worker: string): void {
        const upstream = this.upstreams.get(worker);
        if (upstream !== undefined) {
            upstream.inFlight += 1;
        }
    }

    onReleased(worker: string): void {
        const upstream = this.upstreams.get(worker);
        if (upstream !== undefined) {
            upstream.inFlight -= 1;
        }
    }

    tryAdmit(): boolean {
        return true;
    }

    /** An upstream that is out of permits; its cached prompts are left out, so that no call is bound to wait for it. */
    private createClosedView(upstream: Upstream, req: QueuedCall): WorkerView {
        return { ...this.createView(upstream, req), cachedTokens: 0, maxInFlight: 0 };
    }

    private createView(upstream: Upstream, req: QueuedCall): WorkerView {
        const { entry, inFlight } = upstream;
        const peerLoad = this.peerLoadOf(entry.id);
        return {
            worker: entry.id,
            zone: entry.zone,
            localInFlight: inFlight,
            reportedInFlight: peerLoad.calls,
            localInFlightAtReport: 0,
            reportAgeMs: peerLoad.ageMs,
            cachedTokens: this.prefixes.cachedTokens(entry.id, req.promptParts),
            exportedTokens: 0,
            slowdown: 1,
            roundTripMs: expectedRoundTripMs(this.topology, {
                zone: entry.zone,
                region: this.topology.regionOf(entry.zone),
            }),
            // A few calls queue at the upstream, so that it does not idle until the release of a slot is known here.
            maxInFlight: entry.slots * maxInFlightPerSlot,
            cost: costOf(upstream, req),
        };
    }
}

const costOf = (upstream: Upstream, req: QueuedCall): CostModel =>
    req.shape.promptTokens > 0 ?
        { ...defaultEngineCost, maxBatch: upstream.entry.slots } :
        {
            prefillMsPerToken: 0,
            decodeBaseMs: upstream.meanCallMs ?? defaultCallMs,
            decodePerSequenceMs: 0,
            importMsPerToken: 0,
            maxBatch: upstream.entry.slots,
        };
