/** Adapts the known upstreams to the dispatcher. */
import type { Logger } from "@marigolddrift/common";
import type { DispatchRequest, DispatchTarget } from "@marigolddrift/dispatch";
import { estimatedInFlight, PrefixView } from "@marigolddrift/policy";
import type { FairCall, RegionSlots, WorkerView } from "@marigolddrift/policy";

import type { PromptPart, PromptShape } from "./call.js";
import type { CallDescription, CandidateRule } from "./filters/callContext.js";
import type { UpstreamLimits } from "./limits/upstreamLimits.js";
import { RegionalViews } from "./regionalViews.js";
import { AffinityTable } from "./upstreams/affinityTable.js";
import type { PeerLoad } from "./upstreams/loadExchange.js";
import { defaultCallMs, UpstreamObserver } from "./upstreams/upstreamObserver.js";
import type { Upstream, Upstreams } from "./upstreams/upstreams.js";
import { defaultEngineCost, maxInFlightPerSlot, UpstreamViews } from "./upstreamViews.js";
import type { ViewBuilder } from "./upstreamViews.js";
import { scopedName } from "./workspaces.js";

/** Share of the maximum output that a turn is assumed to generate if the caller gives no estimate. */
const expectedOutputShare = 0.3;

/** Age from which on the calls of other instances are no sign that an upstream is full. */
const maxPeerLoadAgeMs = 1_000;

/** A call that is queued for an upstream. */
export interface QueuedCall extends DispatchRequest, FairCall {
    readonly promptParts: readonly PromptPart[];
    /** Calls of one kind take about as long at upstreams of the same speed. */
    readonly kind: string;
    /** Tokens that an engine of the service has memory for; undefined for plain services. */
    readonly memoryTokens: number | undefined;
    /** Identifies the object that the call concerns; undefined unless the route is sticky. */
    readonly affinityKey: string | undefined;
    /** Undefined if all upstreams of the service may run the call. */
    readonly candidates: CandidateRule | undefined;
}

/** Number of tokens that a turn is expected to generate. */
export const expectedOutputTokens = (prompt: PromptShape): number =>
    prompt.expectedOutputTokens ?? prompt.maxOutputTokens * expectedOutputShare;

/** Creates the dispatcher's request for a call; calls are queued by service. */
export const createQueuedCall = (ctx: CallDescription, excluded: ReadonlySet<string>): QueuedCall => {
    const { program, prompt, affinityKey } = ctx.head;
    const isSticky = ctx.route.isSticky && affinityKey !== undefined;
    const now = performance.now();
    const expectedTokens = prompt === undefined ? 1 : expectedOutputTokens(prompt);
    const deadline = now + ctx.progress.leftMs;
    const expectedMs = prompt === undefined ? defaultCallMs : expectedTokens * defaultEngineCost.decodeBaseMs;
    return {
        model: ctx.service.name,
        program: program?.id ?? ctx.id,
        workspace: ctx.route.name,
        call: 0,
        attainedMs: 0,
        priority: ctx.priority,
        enqueuedAt: now,
        deadline,
        expectedMs,
        workspaceLoad: 0,
        shape: { promptTokens: prompt?.promptTokens ?? 0, expectedTokens },
        firstCall: program?.previousTurnId === undefined,
        cost: expectedMs,
        isContinuation: program?.previousTurnId !== undefined,
        weight: 1,
        firstArrivedAt: now,
        isReturning: false,
        startBy: deadline,
        excluded,
        bytes: ctx.body.length,
        promptParts: prompt?.parts ?? [],
        kind: `${ctx.service.name}/${ctx.route.name}`,
        memoryTokens: ctx.service.engine?.memoryTokens,
        candidates: ctx.candidates,
        lane: ctx.candidates?.lane,
        affinityKey: isSticky ? `${ctx.service.name} ${scopedName(ctx.workspace, affinityKey)}` : undefined,
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
    readonly observer: UpstreamObserver;
    readonly affinity = new AffinityTable();
    private readonly viewBuilder: ViewBuilder;

    constructor(
        topology: Topology,
        private readonly upstreams: Upstreams,
        private readonly peerLoadOf: (upstream: string) => PeerLoad,
        private readonly limits: Pick<UpstreamLimits, "rateOf" | "shareOf" | "isClosed">,
        random: () => number,
        log: Logger,
        observesUpstreams: boolean,
    ) {
        this.observer = new UpstreamObserver(log);
        const { observer, affinity, prefixes } = this;
        const sources = { topology, observer, affinity, prefixes, limits, peerLoadOf, random };
        this.viewBuilder = observesUpstreams ? new UpstreamViews(sources) : new RegionalViews(sources);
    }

    /** The upstreams that are considered for a call; see {@link ViewBuilder}. */
    views(req: QueuedCall): WorkerView[] {
        return this.viewBuilder.of(this.withoutFailed(this.candidates(req), req), req);
    }

    private candidates({ model, candidates }: QueuedCall): readonly Upstream[] {
        const usable = this.upstreams.usable(model);
        return candidates === undefined ? usable : usable.filter(({ entry }) => candidates.accepts(entry));
    }

    /** Whether an upstream that has not got the call yet could run it at once. */
    hasFreeUpstream(req: QueuedCall): boolean {
        return this.views(req).some(view =>
            !req.excluded.has(view.worker) &&
            estimatedInFlight(view) < Math.min(view.cost.maxBatch, view.maxInFlight) &&
            (view.observedWaitMs ?? 0) === 0
        );
    }

    /** Drops what is known of an upstream that is no longer available. */
    forget(upstream: Upstream): void {
        this.prefixes.removeWorker(upstream.entry.id);
        this.observer.forget(upstream);
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

    /** Whether any upstream of a service takes a further call at once, as far as is known here. */
    hasRoom(service: string): boolean {
        return this.upstreams.usable(service).some(upstream =>
            this.knownInFlight(upstream) < upstream.entry.slots * maxInFlightPerSlot && !this.limits.isClosed(upstream)
        );
    }

    /** Slots of a service's upstreams and the calls in flight on them, as far as is known here. */
    slots(service: string, instances: number): RegionSlots {
        const usable = this.upstreams.usable(service);
        return {
            slots: usable.reduce((sum, { entry }) => sum + entry.slots, 0),
            inFlight: usable.reduce((sum, upstream) => sum + this.knownInFlight(upstream), 0),
            instances,
        };
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

    private knownInFlight({ entry, inFlight }: Upstream): number {
        const { calls, ageMs } = this.peerLoadOf(entry.id);
        return inFlight + (ageMs < maxPeerLoadAgeMs ? calls : 0);
    }
}
