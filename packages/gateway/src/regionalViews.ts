/** Views of upstreams for deployments whose upstreams are equally fast and have health checks that can be trusted. */
import { expectedRoundTripMs } from "@marigolddrift/policy";
import type { CostModel, WorkerView } from "@marigolddrift/policy";

import type { QueuedCall } from "./placement.js";
import { defaultCallMs } from "./upstreams/upstreamObserver.js";
import type { Upstream } from "./upstreams/upstreams.js";
import { defaultEngineCost, maxInFlightPerSlot } from "./upstreamViews.js";
import type { ViewBuilder, ViewSources } from "./upstreamViews.js";

/** Describes upstreams by their slots and the calls in flight only; other regions are used once no slot of the own one is free. */
export class RegionalViews implements ViewBuilder {
    constructor(private readonly sources: Pick<ViewSources, "topology" | "prefixes" | "limits" | "peerLoadOf">) {}

    of(usable: readonly Upstream[], req: QueuedCall): WorkerView[] {
        const { limits, topology } = this.sources;
        const sameRegion = usable.filter(({ entry }) => topology.regionOf(entry.zone) === topology.region);
        const isOpen = (upstream: Upstream): boolean => !upstream.isOutOfConnections && !limits.isClosed(upstream);
        const hasFreeSlot = sameRegion.some(upstream => upstream.inFlight < upstream.entry.slots && isOpen(upstream));
        const candidates = hasFreeSlot ? sameRegion : usable;
        const open = candidates.filter(isOpen);
        return open.length > 0 ?
            open.map(upstream => this.createView(upstream, req)) :
            candidates.map(upstream => ({ ...this.createView(upstream, req), cachedTokens: 0, maxInFlight: 0 }));
    }

    private createView(upstream: Upstream, req: QueuedCall): WorkerView {
        const { topology, prefixes, peerLoadOf } = this.sources;
        const { entry, inFlight } = upstream;
        const peerLoad = peerLoadOf(entry.id);
        return {
            worker: entry.id,
            zone: entry.zone,
            localInFlight: inFlight,
            reportedInFlight: peerLoad.calls,
            localInFlightAtReport: 0,
            reportAgeMs: peerLoad.ageMs,
            cachedTokens: prefixes.cachedTokens(entry.id, req.promptParts),
            exportedTokens: 0,
            slowdown: 1,
            roundTripMs: expectedRoundTripMs(topology, { zone: entry.zone, region: topology.regionOf(entry.zone) }),
            maxInFlight: entry.slots * maxInFlightPerSlot,
            cost: costOf(upstream, req),
        };
    }
}

const costOf = ({ entry, meanCallMs }: Upstream, req: QueuedCall): CostModel =>
    req.shape.promptTokens > 0 ?
        { ...defaultEngineCost, maxBatch: entry.slots } :
        {
            prefillMsPerToken: 0,
            decodeBaseMs: meanCallMs ?? defaultCallMs,
            decodePerSequenceMs: 0,
            importMsPerToken: 0,
            maxBatch: entry.slots,
        };
