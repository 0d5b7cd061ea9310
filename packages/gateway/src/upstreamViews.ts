/** Chooses the upstreams that are considered for a call, and describes them to the placement policy. */
import { expectedRoundTripMs, isClearlyBusier, sampleByWeight } from "@marigolddrift/policy";
import type { CostModel, PrefixView, WorkerView } from "@marigolddrift/policy";

import type { UpstreamLimits } from "./limits/upstreamLimits.js";
import type { QueuedCall, Topology } from "./placement.js";
import type { AffinityTable } from "./upstreams/affinityTable.js";
import type { PeerLoad } from "./upstreams/loadExchange.js";
import type { UpstreamObserver } from "./upstreams/upstreamObserver.js";
import type { Upstream } from "./upstreams/upstreams.js";

/** Assumed cost model of a model engine; the maximum batch size is taken from the upstream's entry. */
export const defaultEngineCost = {
    prefillMsPerToken: 0.017,
    decodeBaseMs: 2.6,
    decodePerSequenceMs: 0.02,
    importMsPerToken: 0,
};

/** Maximum number of calls in flight on an upstream, as a multiple of its slots: a few queue there, so that it does not idle until a release is known here. */
export const maxInFlightPerSlot = 1.5;

/** Number of upstreams of other regions that are considered for a call. */
const remoteSampleSize = 4;

/** Time that a new connection takes besides the round trip of the call, for which it needs another one. */
const newConnectionMs = 1;

/** What the views are made from. */
export interface ViewSources {
    readonly topology: Topology;
    readonly observer: UpstreamObserver;
    readonly affinity: AffinityTable;
    readonly prefixes: PrefixView;
    readonly limits: Pick<UpstreamLimits, "isClosed">;
    readonly peerLoadOf: (upstream: string) => PeerLoad;
    readonly random: () => number;
}

/** An upstream with the share of its usual calls that it gets. */
interface Candidate {
    readonly upstream: Upstream;
    readonly weight: number;
    readonly isSetBack: boolean;
}

/** Describes the upstreams that are considered for a call. */
export interface ViewBuilder {
    /** @param usable Upstreams that may get the call. */
    of(usable: readonly Upstream[], req: QueuedCall): WorkerView[];
}

/** Describes upstreams by what has been observed of each: service times, failures, waits and memory. */
export class UpstreamViews implements ViewBuilder {
    constructor(private readonly sources: ViewSources) {}

    /** Returns the views of the upstreams that are considered for a call; if all are out of permits or connections, closed ones. */
    of(usable: readonly Upstream[], req: QueuedCall): WorkerView[] {
        const open = usable.filter(upstream => !upstream.isOutOfConnections && !this.sources.limits.isClosed(upstream));
        if (open.length === 0) {
            return usable.map(upstream => this.createClosedView(upstream, req));
        }
        const slowdowns = this.sources.observer.health.slowdowns(usable.map(({ key }) => key), performance.now());
        const toView = (upstream: Upstream): WorkerView =>
            this.createView(upstream, req, slowdowns.get(upstream.key) ?? 1);
        const candidates = this.weigh(open);
        const near = this.consider(candidates.filter(({ upstream }) => !this.isRemote(upstream)));
        const remote = this.consider(candidates.filter(({ upstream }) => this.isRemote(upstream)));
        const views = [...near, ...this.sampleRemote(remote)].map(toView);
        const preferred = this.preferred(candidates, req);
        return preferred === undefined ? views : this.preferIfFree(toView(preferred), views, req);
    }

    /** Weighs upstreams by how long they have been available, and by the calls that they have failed. */
    private weigh(upstreams: readonly Upstream[]): Candidate[] {
        const now = performance.now();
        const weights = this.sources.observer.failureWeights(upstreams, now);
        return upstreams.map(upstream => {
            const healthWeight = weights.get(upstream.key) ?? 1;
            return { upstream, weight: healthWeight * upstream.startWeight(now), isSetBack: healthWeight < 1 };
        });
    }

    /** New upstreams are considered more often while no other has a free slot; failing ones are not. */
    private consider(candidates: readonly Candidate[]): Upstream[] {
        const thinned = sampleByWeight(candidates, this.sources.random);
        const hasFreeSlot = thinned.some(({ upstream }) => upstream.inFlight < upstream.entry.slots);
        const sound = hasFreeSlot ? [] : candidates.filter(({ isSetBack }) => !isSetBack);
        return (sound.length > 0 ? sound : thinned).map(({ upstream }) => upstream);
    }

    private sampleRemote(upstreams: readonly Upstream[]): Upstream[] {
        const left = [...upstreams];
        const sampled: Upstream[] = [];
        while (sampled.length < remoteSampleSize && left.length > 0) {
            const index = Math.floor(this.sources.random() * left.length);
            sampled.push(left[index]!);
            left[index] = left.at(-1)!;
            left.pop();
        }
        return sampled;
    }

    /** The upstream that calls about the same object go to; undefined if there is none, or if it fails calls or is new. */
    private preferred(candidates: readonly Candidate[], req: QueuedCall): Upstream | undefined {
        if (req.affinityKey === undefined) {
            return undefined;
        }
        const sound = candidates.filter(({ isSetBack }) => !isSetBack).map(({ upstream }) => upstream);
        const near = sound.filter(upstream => !this.isRemote(upstream));
        const id = this.sources.affinity.preferred(
            req.affinityKey,
            sound.map(({ entry }) => entry.id),
            near.map(({ entry }) => entry.id),
        );
        return sound.find(({ entry }) => entry.id === id);
    }

    private preferIfFree(preferred: WorkerView, views: readonly WorkerView[], req: QueuedCall): WorkerView[] {
        const others = views.filter(({ worker }) => worker !== preferred.worker);
        return isClearlyBusier(preferred, others, req.shape) ? others : [preferred];
    }

    /** An upstream that is out of permits or connections; its cached prompts are left out, so that no call is bound to wait for it. */
    private createClosedView(upstream: Upstream, req: QueuedCall): WorkerView {
        return { ...this.createView(upstream, req, 1), cachedTokens: 0, maxInFlight: 0 };
    }

    private createView(upstream: Upstream, req: QueuedCall, slowdown: number): WorkerView {
        const { topology, observer, prefixes, peerLoadOf } = this.sources;
        const { entry, inFlight, meanCallMs } = upstream;
        const peerLoad = peerLoadOf(entry.id);
        const networkMs = expectedRoundTripMs(topology, { zone: entry.zone, region: topology.regionOf(entry.zone) });
        return {
            worker: entry.id,
            zone: entry.zone,
            localInFlight: inFlight,
            reportedInFlight: peerLoad.calls,
            usualInFlight: peerLoad.usualCalls,
            localInFlightAtReport: 0,
            reportAgeMs: peerLoad.ageMs,
            cachedTokens: prefixes.cachedTokens(entry.id, req.promptParts),
            exportedTokens: 0,
            slowdown,
            roundTripMs: networkMs + (upstream.needsConnection(performance.now()) ? newConnectionMs : 0),
            maxInFlight: entry.slots * maxInFlightPerSlot,
            cost: this.costOf(upstream, req),
            observedWaitMs: observer.waitMs(upstream),
            isRemote: this.isRemote(upstream),
            ...(meanCallMs === undefined ? {} : { meanCallMs }),
            ...(req.memoryTokens === undefined ?
                {} :
                { memory: { heldTokens: upstream.heldTokens + peerLoad.tokens, maxTokens: req.memoryTokens } }),
        };
    }

    private costOf({ entry }: Upstream, req: QueuedCall): CostModel {
        return req.shape.promptTokens > 0 ?
            { ...defaultEngineCost, maxBatch: entry.slots } :
            {
                prefillMsPerToken: 0,
                decodeBaseMs: this.sources.observer.meanCallMs(req.kind),
                decodePerSequenceMs: 0,
                importMsPerToken: 0,
                maxBatch: entry.slots,
            };
    }

    private isRemote({ entry }: Upstream): boolean {
        return this.sources.topology.regionOf(entry.zone) !== this.sources.topology.region;
    }
}
