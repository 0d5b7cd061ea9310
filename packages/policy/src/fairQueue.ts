/**
 * Order of waiting calls by urgency and by workspace. Load pattern: one workspace sends many times its usual load, or a flood of
 * urgent calls comes, while the upstreams are full.
 */
import { DrainRate } from "./drainRate.js";
import { FairFlow, urgencies, urgencyOfPriority } from "./fairFlow.js";
import type { FairCall } from "./fairFlow.js";
import { ServedShares } from "./servedShares.js";
import { SpareSlots } from "./spareSlots.js";
import type { RegionSlots } from "./spareSlots.js";
import { loadKey } from "./workspaceLoad.js";

/** Part of its time that a call waits before it gets room ahead of urgency. */
const preferredAfter = 0.1;

/** Number of workspaces that are remembered by urgency; above it, idle ones are dropped. */
const maxFlows = 2_000;

/** Number of running calls from which on the share of a workspace can be told from chance. */
const minRunningForShare = 4;

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
const unknownRegion: RegionView = {
    relativeLoadOf: () => 0,
    slots: () => ({ slots: 0, inFlight: 0, instances: 1 }),
};

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
    private readonly flows = new Map<string, FairFlow<C>>();
    private readonly active = new Set<FairFlow<C>>();
    private readonly backlogged = new Set<FairFlow<C>>();
    private readonly virtualTimes = new Array<number>(urgencies).fill(0);
    private readonly served = new ServedShares();
    private readonly drain = new DrainRate();
    private readonly spare = new SpareSlots();
    private count = 0;

    constructor(private readonly region: RegionView = unknownRegion) {}

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
        this.served.onOffered(this.flowOf(call), now);
    }

    add(call: C, now: number): void {
        this.drain.advance(this.count > 0, now);
        const flow = this.flowOf(call);
        if (flow.waiting.length === 0) {
            // A workspace that was idle has no claim to the time in which it sent nothing.
            flow.start = Math.max(flow.start, this.virtualTimes[flow.urgency]!);
        }
        flow.add(call);
        this.count += 1;
        this.updateSets(flow);
    }

    /** Removes a waiting call; returns whether it was there. */
    remove(call: C, now: number): boolean {
        this.drain.advance(this.count > 0, now);
        const flow = this.flowOf(call);
        const isRemoved = flow.remove(call);
        this.count -= isRemoved ? 1 : 0;
        this.updateSets(flow);
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
        return (first !== undefined && this.holdsBack(first, now) ? this.findFirst(flow => !flow.isOver) : first)
            ?.waiting[0];
    }

    /** Whether the workspace of a call takes far more than usual in the region, and no slot is free for it now. */
    isHeldBack(call: C, now: number): boolean {
        return this.holdsBack(this.flowOf(call), now);
    }

    /** Removes a call that is being sent, and charges its workspace. */
    onSent(call: C, now: number): void {
        const flow = this.flowOf(call);
        const { start, urgency } = flow;
        const first = this.findFirst();
        const isPreferred = first !== undefined && precedes(first, flow);
        const waited = now - call.enqueuedAt > noRoomWaitMs || this.count > 1;
        if (this.remove(call, now)) {
            const lowest = Math.min(start, this.lowestStart(urgency));
            this.virtualTimes[urgency] = Math.max(this.virtualTimes[urgency]!, lowest);
        }
        if (waited) {
            this.drain.onSent(urgency, call.cost, now);
        }
        flow.start = start + call.cost / flow.weight;
        flow.running += 1;
        if (flow.isOver) {
            this.spare.onTaken();
        }
        this.served.onSent(flow, call.cost, isPreferred, now);
        this.updateSets(flow);
    }

    /** Corrects the charge of a call that has ended by the slot time that it took. */
    onEnded(call: C, tookMs: number, now: number): void {
        const flow = this.flowOf(call);
        flow.start += (tookMs - call.cost) / flow.weight;
        flow.running = Math.max(0, flow.running - 1);
        if (flow.isOver) {
            this.spare.onLeft(now);
        }
        this.updateSets(flow);
    }

    /**
     * Expected cost of the waiting calls that get room before a call that would be added now, if no others come.
     *
     * @param withMoreUrgent Whether calls of more urgent workspaces are included.
     */
    costAhead(call: C, withMoreUrgent: boolean): number {
        const own = this.flowOf(call);
        const ownCost = own.costBefore(call);
        const start = Math.max(own.start, this.virtualTimes[own.urgency]!) + ownCost / own.weight;
        let ahead = ownCost;
        for (const flow of this.backlogged) {
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
        return this.drain.rate(this.flowOf(call).urgency, now);
    }

    /** Number of waiting calls of the workspace and urgency of a call. */
    waitingOf(call: C): number {
        return this.flowOf(call).waiting.length;
    }

    /** Share of the workspace's calls that were sent lately, relative to that of all calls. */
    servedShare(call: C, now: number): number {
        return this.served.shareOf(this.flowOf(call), now);
    }

    /** Whether the workspace is served so rarely that its waiting calls get room ahead of urgency. */
    isUnderserved(call: C, now: number): boolean {
        const flow = this.flowOf(call);
        return this.served.isUnderserved(flow, this.backloggedWeight(), now);
    }

    /**
     * Running calls of a workspace as a multiple of its fair share of all running calls; 0 if it has too few to tell, 1 if no
     * other has calls.
     */
    runningShare(workspace: string): number {
        let running = 0;
        let weight = 0;
        let own = 0;
        let ownWeight = 0;
        for (const flow of this.active) {
            running += flow.running;
            weight += flow.weight;
            if (flow.workspace === workspace) {
                own += flow.running;
                ownWeight += flow.weight;
            }
        }
        return own < minRunningForShare ? 0 : own / running / (ownWeight / weight);
    }

    /** Adds the running and waiting calls to those by workspace and urgency. */
    addCalls(calls: Record<string, number>): void {
        for (const { urgency, workspace, running, waiting } of this.active) {
            const key = loadKey(urgency, workspace);
            calls[key] = (calls[key] ?? 0) + running + waiting.length;
        }
    }

    private holdsBack(flow: FairFlow<C>, now: number): boolean {
        return flow.isOver && !this.spare.mayTake(this.region.slots(), now);
    }

    private findUnderserved(now: number): FairFlow<C> | undefined {
        if (!this.served.mayPrefer(now)) {
            return undefined;
        }
        const weight = this.backloggedWeight();
        let found: FairFlow<C> | undefined;
        let lowest = Infinity;
        for (const flow of this.backlogged) {
            const share = this.served.shareOf(flow, now);
            if (share < lowest && hasWaited(flow.waiting[0]!, now) && this.served.isUnderserved(flow, weight, now)) {
                lowest = share;
                found = flow;
            }
        }
        return found;
    }

    private backloggedWeight(): number {
        let sum = 0;
        this.backlogged.forEach(({ weight }) => sum += weight);
        return sum;
    }

    private findFirst(isEligible: (flow: FairFlow<C>) => boolean = () => true): FairFlow<C> | undefined {
        let first: FairFlow<C> | undefined;
        for (const flow of this.backlogged) {
            flow.isOver = this.region.relativeLoadOf(flow.urgency, flow.workspace, flow.weight) >= overLoad;
            if (isEligible(flow) && (first === undefined || precedes(flow, first))) {
                first = flow;
            }
        }
        return first;
    }

    /** Lowest virtual start time of the waiting workspaces of an urgency. */
    private lowestStart(urgency: number): number {
        let lowest = Infinity;
        for (const flow of this.backlogged) {
            lowest = flow.urgency === urgency ? Math.min(lowest, flow.start) : lowest;
        }
        return lowest;
    }

    private flowOf(call: C): FairFlow<C> {
        const urgency = urgencyOfPriority(call.priority);
        const key = loadKey(urgency, call.workspace);
        let flow = this.flows.get(key);
        if (flow === undefined) {
            this.dropIdleFlow();
            flow = new FairFlow(call.workspace, urgency, call.weight);
            this.flows.set(key, flow);
        }
        flow.weight = call.weight;
        return flow;
    }

    private dropIdleFlow(): void {
        if (this.flows.size >= maxFlows) {
            const idle = [...this.flows].find(([, flow]) => !flow.isActive);
            this.flows.delete(idle?.[0] ?? "");
        }
    }

    private updateSets(flow: FairFlow<C>): void {
        include(this.backlogged, flow, flow.waiting.length > 0);
        include(this.active, flow, flow.isActive);
    }
}

const include = <T>(set: Set<T>, item: T, isIncluded: boolean): void => {
    if (isIncluded) {
        set.add(item);
    }
    else {
        set.delete(item);
    }
};

const precedes = (a: FairFlow, b: FairFlow): boolean => {
    const byClass = a.urgency - b.urgency || Number(a.isOver) - Number(b.isOver);
    return byClass < 0 || byClass === 0 && a.start < b.start;
};

const hasWaited = ({ firstArrivedAt, deadline }: FairCall, now: number): boolean =>
    now - firstArrivedAt >= preferredAfter * (deadline - firstArrivedAt);
