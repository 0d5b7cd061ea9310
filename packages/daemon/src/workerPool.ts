/** Provides the dispatcher with load, cache and cost estimates of the workers. */
import type { DispatchRequest, DispatchTarget } from "@marigolddrift/dispatch";
import { expectedRoundTripMs } from "@marigolddrift/policy";
import type { CostModel, WorkerView } from "@marigolddrift/policy";

import type { EngineMemory } from "./controllers/engineMemory.js";
import type { LinkBudget } from "./controllers/linkBudget.js";
import type { Upstream } from "./controllers/upstream.js";
import type { Identity } from "./peers/identity.js";

/** Lookups of workers that the pool needs. */
export interface WorkerDirectory {
    workersFor(model: string): Upstream[];
    get(address: string): Upstream | undefined;
    costOf(worker: string): CostModel;
    regionOf(zone: string): string;
    /** Concurrency limit of one worker that serves a model; 0 if no pool serves it. */
    maxInFlightPerWorker(model: string): number;
}

/** The workers that the dispatcher can choose from. */
export class WorkerPool implements DispatchTarget {
    constructor(
        private readonly identity: Identity,
        private readonly upstreams: WorkerDirectory,
        private readonly memory: EngineMemory,
        private readonly linkBudget: LinkBudget,
    ) {}

    /**
     * Usable workers of the local region, or of other regions if it has none. Workers that already failed the call are
     * included only if there are no others.
     */
    views(req: DispatchRequest): WorkerView[] {
        const now = Date.now();
        const usable = this.upstreams.workersFor(req.model).filter(worker => worker.canAcceptCall(now));
        const untried = usable.filter(worker => !req.excluded.has(worker.address));
        const candidates = untried.length > 0 ? untried : usable;
        const inRegion = candidates.filter(worker => this.upstreams.regionOf(worker.zone) === this.identity.region);
        return (inRegion.length > 0 ? inRegion : candidates).map(worker => this.createView(worker, req, now));
    }

    capacity(model: string): number {
        const workers = this.upstreams.workersFor(model).filter(worker => worker.lifecycle.state === "live").length;
        return workers * this.upstreams.maxInFlightPerWorker(model);
    }

    onAssigned(worker: string): void {
        this.upstreams.get(worker)!.onAssigned();
    }

    onReleased(worker: string): void {
        this.upstreams.get(worker)?.onReleased();
    }

    tryAdmit(worker: string, req: DispatchRequest): boolean {
        const zone = this.upstreams.get(worker)?.zone ?? "";
        return this.upstreams.regionOf(zone) === this.identity.region || this.linkBudget.tryTake(req.bytes);
    }

    private createView(worker: Upstream, req: DispatchRequest, now: number): WorkerView {
        const { reported } = worker;
        const cost = this.upstreams.costOf(worker.address);
        return {
            worker: worker.address,
            zone: worker.zone,
            localInFlight: worker.inFlight,
            reportedInFlight: reported === undefined ? 0 : reported.load.running + reported.load.waiting,
            localInFlightAtReport: reported?.localInFlight ?? 0,
            reportAgeMs: reported === undefined ? 0 : now - reported.at,
            cachedTokens: this.memory.cacheView.cachedTokens(req.program, worker.address, now),
            exportedTokens: this.memory.cacheView.exportedTokens(req.program, worker.address),
            slowdown: worker.slowdown,
            roundTripMs: expectedRoundTripMs(this.identity, {
                zone: worker.zone,
                region: this.upstreams.regionOf(worker.zone),
            }),
            maxInFlight: cost.maxBatch,
            cost,
        };
    }
}
