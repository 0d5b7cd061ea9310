/**
 * Order of waiting calls by urgency and by workspace. Load pattern: one workspace sends many times its usual load, or a flood of
 * urgent calls comes, while the upstreams are full.
 */
import { DrainRate } from "./drainRate.js";
import { urgencies } from "./fairFlow.js";
import type { FairCall, FairFlow } from "./fairFlow.js";
import { FairFlows } from "./fairFlows.js";
import { RegionLimit, unknownRegion } from "./regionLimit.js";
import type { RegionView } from "./regionLimit.js";
import { ServedShares } from "./servedShares.js";

/** Part of its time that a call waits before it gets room ahead of urgency. */
const preferredAfter = 0.1;

/** Wait above which a call counts as one that found no room. */
const noRoomWaitMs = 1;

/**
 * The calls that wait for the upstreams of one service. Urgencies are served in strict order, except that a workspace whose
 * served share falls far below that of all calls comes first. Within one urgency: start-time fair queueing over the
 * workspaces, in expected slot time, corrected when a call has ended.
 *
 * @example
 * queue.add(call, now);
 * const next = queue.next(now);
 */
export class FairQueue<C extends FairCall = FairCall> {
    private readonly flows = new FairFlows<C>();
    private readonly virtualTimes = new Array<number>(urgencies).fill(0);
    private readonly served = new ServedShares();
    private readonly drain = new DrainRate();
    private readonly regionLimit: RegionLimit;
    private count = 0;

    constructor(region: RegionView = unknownRegion) {
        this.regionLimit = new RegionLimit(region);
    }

    /** Number of waiting calls. */
    get size(): number {
        return this.count;
    }

    /** Number of workspaces that are remembered, by urgency. */
    get flowCount(): number {
        return this.flows.size;
    }

    /** Counts a call that a caller sent, whether or not it will be queued. One that was refused before is not counted again. */
    countOffered(call: C, now: number): void {
        this.served.onOffered(this.flows.of(call), now);
    }

    add(call: C, now: number): void {
        this.drain.advance(this.count > 0, now);
        const flow = this.flows.of(call);
        if (flow.waiting.length === 0) {
            // A workspace that was idle has no claim to the time in which it sent nothing.
            flow.start = Math.max(flow.start, this.virtualTimes[flow.urgency]!);
        }
        flow.add(call);
        this.count += 1;
        this.flows.update(flow);
    }

    /** Removes a waiting call; returns whether it was there. */
    remove(call: C, now: number): boolean {
        this.drain.advance(this.count > 0, now);
        const flow = this.flows.of(call);
        const isRemoved = flow.remove(call);
        this.count -= isRemoved ? 1 : 0;
        this.flows.update(flow);
        return isRemoved;
    }

    /**
     * Returns the call that gets the next room; undefined if none waits, or only workspaces that take far more than usual in the
     * region, and no slot is free. Takes time in the number of waiting workspaces.
     */
    next(now: number): C | undefined {
        const underserved = this.findUnderserved(now);
        if (underserved !== undefined) {
            return underserved.waiting[0];
        }
        const first = this.findFirst();
        const isHeldBack = first !== undefined && this.regionLimit.holdsBack(first, now);
        const flow = isHeldBack ? this.findFirst(({ isOver }) => !isOver) : first;
        return flow?.waiting[0];
    }

    /** Whether the workspace of a call takes far more than usual in the region, and no slot is free for it now. */
    isHeldBack(call: C, now: number): boolean {
        return this.regionLimit.holdsBack(this.flows.of(call), now);
    }

    /** Removes a call that is being sent, and charges its workspace. */
    onSent(call: C, now: number): void {
        const flow = this.flows.of(call);
        const { start, urgency } = flow;
        const first = this.findFirst();
        const isPreferred = first !== undefined && precedes(first, flow);
        const waited = now - call.enqueuedAt > noRoomWaitMs || this.count > 1;
        if (this.remove(call, now)) {
            this.advanceVirtualTime(urgency, start);
        }
        if (waited) {
            this.drain.onSent(urgency, call.cost, now);
        }
        flow.start = start + call.cost / flow.weight;
        flow.running += 1;
        this.regionLimit.onSent(flow);
        this.served.onSent(flow, call.cost, isPreferred, now);
        this.flows.update(flow);
    }

    /** Corrects the charge of a call that has ended by the slot time that it took. */
    onEnded(call: C, tookMs: number, now: number): void {
        const flow = this.flows.of(call);
        flow.start += (tookMs - call.cost) / flow.weight;
        flow.running = Math.max(0, flow.running - 1);
        this.regionLimit.onEnded(flow, now);
        this.flows.update(flow);
    }

    /**
     * Expected cost of the waiting calls that get room before a call that would be added now, if no others come.
     *
     * @param withMoreUrgent Whether calls of more urgent workspaces are included.
     */
    costAhead(call: C, withMoreUrgent: boolean): number {
        const own = this.flows.of(call);
        const ownCost = own.costBefore(call);
        const start = Math.max(own.start, this.virtualTimes[own.urgency]!) + ownCost / own.weight;
        let ahead = ownCost;
        for (const flow of this.flows.backlogged) {
            if (flow !== own && flow.urgency === own.urgency) {
                ahead += Math.min(flow.waitingCost, Math.max(0, start - flow.start) * flow.weight);
            }
            else if (flow.urgency < own.urgency && withMoreUrgent) {
                ahead += flow.waitingCost;
            }
        }
        return ahead;
    }

    /** Slot time per millisecond that calls as urgent as this one, or less, got lately; undefined if it is not known well. */
    drainRate(call: C, now: number): number | undefined {
        this.drain.advance(this.count > 0, now);
        return this.drain.rate(this.flows.of(call).urgency, now);
    }

    /** Number of waiting calls of the workspace and urgency of a call. */
    waitingOf(call: C): number {
        return this.flows.of(call).waiting.length;
    }

    /** Share of the workspace's calls that were sent lately, relative to that of all calls. */
    servedShare(call: C, now: number): number {
        return this.served.shareOf(this.flows.of(call), now);
    }

    /** Whether the workspace is served so rarely that its waiting calls get room ahead of urgency. */
    isUnderserved(call: C, now: number): boolean {
        const flow = this.flows.of(call);
        return this.served.isUnderserved(flow, this.flows.backloggedWeight(), now);
    }

    /**
     * Running calls of a workspace as a multiple of its fair share of all running calls; 0 if it has too few to tell, 1 if no
     * other has calls.
     */
    runningShare(workspace: string): number {
        return this.flows.runningShare(workspace);
    }

    /** Adds the running and waiting calls to those by workspace and urgency. */
    addCalls(calls: Record<string, number>): void {
        this.flows.addCalls(calls);
    }

    /** @param start Virtual start time of the call that was sent. */
    private advanceVirtualTime(urgency: number, start: number): void {
        const lowest = Math.min(start, this.flows.lowestStart(urgency));
        this.virtualTimes[urgency] = Math.max(this.virtualTimes[urgency]!, lowest);
    }

    private findUnderserved(now: number): FairFlow<C> | undefined {
        if (!this.served.mayPrefer(now)) {
            return undefined;
        }
        const weight = this.flows.backloggedWeight();
        let found: FairFlow<C> | undefined;
        let lowest = Infinity;
        for (const flow of this.flows.backlogged) {
            const share = this.served.shareOf(flow, now);
            if (share < lowest && hasWaited(flow.waiting[0]!, now) && this.served.isUnderserved(flow, weight, now)) {
                lowest = share;
                found = flow;
            }
        }
        return found;
    }

    private findFirst(isEligible: (flow: FairFlow<C>) => boolean = () => true): FairFlow<C> | undefined {
        let first: FairFlow<C> | undefined;
        for (const flow of this.flows.backlogged) {
            this.regionLimit.refresh(flow);
            if (isEligible(flow) && (first === undefined || precedes(flow, first))) {
                first = flow;
            }
        }
        return first;
    }
}

const precedes = (a: FairFlow, b: FairFlow): boolean => {
    const byClass = a.urgency - b.urgency || Number(a.isOver) - Number(b.isOver);
    return byClass < 0 || byClass === 0 && a.start < b.start;
};

const hasWaited = ({ firstArrivedAt, deadline }: FairCall, now: number): boolean =>
    now - firstArrivedAt >= preferredAfter * (deadline - firstArrivedAt);
