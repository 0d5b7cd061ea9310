/**
 * Shares of the calls of workspaces that got room lately. Load pattern: urgent calls take more than all of the room for long, and
 * nothing of less urgent workspaces would be served.
 */
import { DecayingSum } from "./decayingSum.js";
import { shareTauMs } from "./fairFlow.js";
import type { FairFlow } from "./fairFlow.js";

/**
 * Served share, relative to that of all calls, below which a workspace gets room ahead of the order. A quarter is required;
 * the rest is a margin for calls that wait or expire.
 */
const minServedShare = 0.3;

/** Multiple of its fair share up to which a workspace gets room ahead of the order, so that a flood does not earn it more. */
const maxPreferredShare = 2;

/** Part of all slot time that goes to calls ahead of the order, so that many workspaces with few calls do not take all of it. */
const maxPreferredCost = 0.35;

/** Counts the calls that were offered and sent, over all workspaces and by workspace. */
export class ServedShares {
    private readonly offered = new DecayingSum(shareTauMs);
    private readonly sent = new DecayingSum(shareTauMs);
    private readonly sentCost = new DecayingSum(shareTauMs);
    private readonly preferredCost = new DecayingSum(shareTauMs);

    onOffered(flow: FairFlow, now: number): void {
        flow.offered.add(1, now);
        this.offered.add(1, now);
    }

    /** @param isPreferred Whether the call was sent ahead of the order. */
    onSent(flow: FairFlow, cost: number, isPreferred: boolean, now: number): void {
        flow.sent.add(1, now);
        flow.sentCost.add(cost, now);
        this.sent.add(1, now);
        this.sentCost.add(cost, now);
        if (isPreferred) {
            this.preferredCost.add(cost, now);
        }
    }

    /** Whether calls ahead of the order have taken less slot time than they may. */
    mayPrefer(now: number): boolean {
        return this.preferredCost.at(now) <= maxPreferredCost * this.sentCost.at(now);
    }

    /** Share of the workspace's calls that were sent, relative to that of all calls; 1 if nothing is known. */
    shareOf(flow: FairFlow, now: number): number {
        const offered = flow.offered.at(now);
        const all = this.sent.at(now) / Math.max(this.offered.at(now), Number.MIN_VALUE);
        return offered <= 0 || all <= 0 ? 1 : flow.sent.at(now) / offered / all;
    }

    /**
     * Whether a workspace is served so rarely that its waiting calls get room ahead of the order.
     *
     * @param weight Weight of all workspaces with waiting calls.
     */
    isUnderserved(flow: FairFlow, weight: number, now: number): boolean {
        const fairShare = flow.weight / Math.max(weight, flow.weight);
        return this.shareOf(flow, now) < minServedShare &&
            flow.sentCost.at(now) <= maxPreferredShare * fairShare * this.sentCost.at(now);
    }
}
