/**
 * Holds back workspaces that take far more than usual in a region. Load pattern: the calls of one workspace come to all instances, each
 * of which sees only a few of them.
 */
import type { FairFlow } from "./fairFlow.js";
import { SpareSlots } from "./spareSlots.js";
import type { RegionSlots } from "./spareSlots.js";

/**
 * Multiple of the usual load of a workspace in the region from which on its calls get only slots that nobody else uses. It is
 * above what chance makes of equal loads, and far below the multiples that it is to stop.
 */
const overLoad = 4;

/** What the other instances of the region run. */
export interface RegionView {
    /** Calls of a workspace in the region as a multiple of those of usual ones of its urgency; see `relativeLoad`. */
    relativeLoadOf(urgency: number, workspace: string, weight: number): number;
    /** The slots of the upstreams. */
    slots(): RegionSlots;
}

/** For a service with one instance in front of it. */
export const unknownRegion: RegionView = {
    relativeLoadOf: () => 0,
    slots: () => ({ slots: 0, inFlight: 0, instances: 1 }),
};

/** Lets the calls of workspaces with far more than usual load take only slots that are free for all. */
export class RegionLimit {
    private readonly spare = new SpareSlots();

    constructor(private readonly region: RegionView) {}

    /** Finds out whether a workspace has far more calls running in the region than usual ones. */
    refresh(flow: FairFlow): void {
        flow.isOver = this.region.relativeLoadOf(flow.urgency, flow.workspace, flow.weight) >= overLoad;
    }

    /** Whether a workspace has far more than usual calls, and no slot is free for it now. */
    holdsBack(flow: FairFlow, now: number): boolean {
        return flow.isOver && !this.spare.mayTake(this.region.slots(), now);
    }

    onSent(flow: FairFlow): void {
        if (flow.isOver) {
            this.spare.onTaken();
        }
    }

    onEnded(flow: FairFlow, now: number): void {
        if (flow.isOver) {
            this.spare.onLeft(now);
        }
    }
}
