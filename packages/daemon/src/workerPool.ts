/** Connects the dispatcher with what is known of the workers. */
import type { DispatchRequest, DispatchTarget } from "@marigolddrift/dispatch";
import { expectedRoundTripMs } from "@marigolddrift/policy";
import type { CostModel, WorkerView } from "@marigolddrift/policy";

import type { EngineMemory } from "./controllers/engineMemory.js";
import type { LinkBudget } from "./controllers/linkBudget.js";
import type { Upstream } from "./controllers/upstream.js";
import type { Identity } from "./peers/identity.js";

/** What the pool needs to know of the upstreams. */
export interface WorkerDirectory {
    workersFor(model: string): Upstream[];
    get(address: string): Upstream | undefined;
    costOf(worker: string): CostModel;
    regionOf(zone: string): string;
    /** Calls that one worker runs at a time. */
    batchOf(model: string): number;
}

/** The workers as the dispatcher sees them. */
export class WorkerPool implements DispatchTarget {
    constructor(
        private readonly self: Identity,
        private readonly upstreams: WorkerDirectory,
        private readonly memory: EngineMemory,
        private readonly link: LinkBudget,
    ) {}

    /** Workers of the own region; those of other regions only if none is left here. */
    views(req: DispatchRequest): WorkerView[] {
        const now = Date.now();
        const usable = this.upstreams.workersFor(req.model).filter(worker => worker.canAcceptCall(now));
        const fresh = usable.filter(worker => !req.excluded.has(worker.address));
        const tried = fresh.length > 0 ? fresh : usable;
        const near = tried.filter(worker => this.upstreams.regionOf(worker.zone) === this.self.region);
        return (near.length > 0 ? near : tried).map(worker => this.view(worker, req, now));
    }

    capacity(model: string): number {
        const workers = this.upstreams.workersFor(model).filter(worker => worker.lifecycle.state === "live").length;
        return workers * this.upstreams.batchOf(model);
    }

    onAssigned(worker: string): void {
        this.upstreams.get(worker)!.onAssigned();
    }

    onReleased(worker: string): void {
        this.upstreams.get(worker)?.onReleased();
    }

    tryAdmit(worker: string, req: DispatchRequest): boolean {
        const zone = this.upstreams.get(worker)?.zone ?? "";
        return this.upstreams.regionOf(zone) === this.self.region || this.link.tryTake(req.bytes);
    }

    private view(worker: Upstream, req: DispatchRequest, now: number): WorkerView {
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
            roundTripMs: expectedRoundTripMs(this.self, {
                zone: worker.zone,
                region: this.upstreams.regionOf(worker.zone),
            }),
            maxInFlight: cost.maxBatch,
            cost,
        };
    }
}
