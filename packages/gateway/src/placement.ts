/** Connects the dispatcher with what is known of the upstreams. */
import type { DispatchRequest, DispatchTarget } from "@marigolddrift/dispatch";
import { expectedRoundTripMs, PrefixView } from "@marigolddrift/policy";
import type { CostModel, WorkerView } from "@marigolddrift/policy";

import type { PromptPart } from "./call.js";
import type { CallContext } from "./filters/callContext.js";
import type { OthersLoad } from "./upstreams/sharedLoad.js";
import type { Upstream, Upstreams } from "./upstreams/upstreams.js";

/** Speed of an engine before anything was observed of it, in milliseconds. */
const engineCost = { prefillMsPerToken: 0.017, decodeBaseMs: 2.6, decodePerSequenceMs: 0.02, importMsPerToken: 0 };

/** Duration of a call to a plain service before any was observed, in milliseconds. */
const initialCallMs = 30;

/** Share of its longest output that a turn generates, where the caller does not say. */
const expectedOutputShare = 0.3;

/** Calls on an upstream at a time, as a share of its places. */
const queueShare = 1.5;

/** A call that waits for an upstream. */
export interface PlacedCall extends DispatchRequest {
    readonly parts: readonly PromptPart[];
}

/** Describes a call to the dispatcher; its queue is that of its service. */
export const describeCall = (ctx: CallContext, excluded: ReadonlySet<string>): PlacedCall => {
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
        priority: ctx.route.priority,
        enqueuedAt: now,
        deadline: now + ctx.progress.leftMs,
        expectedMs: prompt === undefined ? initialCallMs : expectedTokens * engineCost.decodeBaseMs,
        workspaceLoad: 0,
        shape: { promptTokens: prompt?.promptTokens ?? 0, expectedTokens },
        firstCall: program?.continuesTurn === undefined,
        excluded,
        bytes: ctx.body.length,
        parts: prompt?.parts ?? [],
    };
};

/** Where an instance is, and where zones are. */
export interface Geography {
    readonly zone: string;
    readonly region: string;
    regionOf(zone: string): string;
}

/** The upstreams as the dispatcher sees them. */
export class UpstreamPool implements DispatchTarget<PlacedCall> {
    readonly prefixes = new PrefixView();

    constructor(
        private readonly self: Geography,
        private readonly upstreams: Upstreams,
        private readonly othersOn: (upstream: string) => OthersLoad,
    ) {}

    /** Upstreams of the own region; others only if all of them are full or failed the call. */
    views(req: PlacedCall): WorkerView[] {
        const usable = this.upstreams.usable(req.model).filter(({ entry }) => !req.excluded.has(entry.id));
        const near = usable.filter(({ entry }) => this.self.regionOf(entry.zone) === this.self.region);
        const hasRoom = near.some(({ entry, inFlight }) => inFlight < entry.slots);
        return (hasRoom ? near : usable).map(upstream => this.view(upstream, req));
    }

    capacity(service: string): number {
        return this.upstreams.usable(service).reduce((sum, { entry }) => sum + entry.slots, 0);
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

    private view(upstream: Upstream, req: PlacedCall): WorkerView {
        const { entry, inFlight } = upstream;
        const others = this.othersOn(entry.id);
        return {
            worker: entry.id,
            zone: entry.zone,
            localInFlight: inFlight,
            reportedInFlight: others.calls,
            localInFlightAtReport: 0,
            reportAgeMs: others.ageMs,
            cachedTokens: this.prefixes.cachedTokens(entry.id, req.parts),
            exportedTokens: 0,
            slowdown: 1,
            roundTripMs: expectedRoundTripMs(this.self, { zone: entry.zone, region: this.self.regionOf(entry.zone) }),
            // Some calls wait at the upstream, so that it never idles while the news of a free place is under way.
            maxInFlight: entry.slots * queueShare,
            cost: costOf(upstream, req),
        };
    }
}

const costOf = (upstream: Upstream, req: PlacedCall): CostModel =>
    req.shape.promptTokens > 0 ?
        { ...engineCost, maxBatch: upstream.entry.slots } :
        {
            prefillMsPerToken: 0,
            decodeBaseMs: upstream.meanCallMs ?? initialCallMs,
            decodePerSequenceMs: 0,
            importMsPerToken: 0,
            maxBatch: upstream.entry.slots,
        };
