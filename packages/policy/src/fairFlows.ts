/** The workspaces whose calls one queue has seen, by urgency. */
import { FairFlow, urgencyOfPriority } from "./fairFlow.js";
import type { FairCall } from "./fairFlow.js";
import { loadKey } from "./workspaceLoad.js";

/** Number of workspaces that are remembered by urgency; above it, idle ones are dropped. */
const maxFlows = 2_000;

/** Number of running calls from which on the share of a workspace can be told from chance. */
const minRunningForShare = 4;

/** Remembers workspaces, and which of them have running or waiting calls. */
export class FairFlows<C extends FairCall> {
    private readonly flows = new Map<string, FairFlow<C>>();
    private readonly activeFlows = new Set<FairFlow<C>>();
    private readonly backloggedFlows = new Set<FairFlow<C>>();

    /** Number of workspaces that are remembered, by urgency. */
    get size(): number {
        return this.flows.size;
    }

    /** Those with waiting calls. */
    get backlogged(): ReadonlySet<FairFlow<C>> {
        return this.backloggedFlows;
    }

    /** Returns the workspace and urgency of a call, with the call's weight. */
    of(call: C): FairFlow<C> {
        const urgency = urgencyOfPriority(call.priority);
        const key = loadKey(urgency, call.workspace);
        let flow = this.flows.get(key);
        if (flow === undefined) {
            this.dropIdle();
            flow = new FairFlow(call.workspace, urgency, call.weight);
            this.flows.set(key, flow);
        }
        flow.weight = call.weight;
        return flow;
    }

    /** To be called when the calls of a workspace have changed. */
    update(flow: FairFlow<C>): void {
        include(this.backloggedFlows, flow, flow.waiting.length > 0);
        include(this.activeFlows, flow, flow.isActive);
    }

    /** Weight of all workspaces with waiting calls. */
    backloggedWeight(): number {
        let sum = 0;
        this.backloggedFlows.forEach(({ weight }) => sum += weight);
        return sum;
    }

    /** Lowest virtual start time of the waiting workspaces of an urgency. */
    lowestStart(urgency: number): number {
        let lowest = Infinity;
        for (const flow of this.backloggedFlows) {
            lowest = flow.urgency === urgency ? Math.min(lowest, flow.start) : lowest;
        }
        return lowest;
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
        for (const flow of this.activeFlows) {
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
        for (const { urgency, workspace, running, waiting } of this.activeFlows) {
            const key = loadKey(urgency, workspace);
            calls[key] = (calls[key] ?? 0) + running + waiting.length;
        }
    }

    private dropIdle(): void {
        if (this.flows.size >= maxFlows) {
            const idle = [...this.flows].find(([, flow]) => !flow.isActive);
            this.flows.delete(idle?.[0] ?? "");
        }
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
