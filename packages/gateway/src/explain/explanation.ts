/** Says where a call would go, and why, from what an instance knows. Nothing here changes state. */
import type { ProblemError } from "@marigolddrift/common";
import type { DispatchPreview } from "@marigolddrift/dispatch";
import { scoreWorker } from "@marigolddrift/policy";
import type { CallShape, Placement, WorkerView } from "@marigolddrift/policy";

import type { RouteTarget } from "../routes.js";
import type { Upstream } from "../upstreams/upstreams.js";
import type { Quota } from "../workspaces.js";

/** What would happen to a call now. */
export interface Outcome {
    readonly action: "send" | "wait" | "refuse";
    /** The upstream that the call would be sent to. */
    readonly upstream?: string | undefined;
    /** Status of a refusal. */
    readonly status?: number;
    readonly code?: string;
    readonly reason: string;
}

/** An upstream that the call may be sent to, with the figures that are compared. Times are in milliseconds. */
export interface Candidate {
    readonly upstream: string;
    readonly zone: string;
    /** Share of the placements tried that chose it; part of the candidates is sampled at random. */
    readonly chosen: number;
    /** Whether it takes another call of this instance now. */
    readonly open: boolean;
    readonly inFlight: number;
    readonly inFlightOfOthers: number;
    readonly maxInFlight: number;
    readonly cachedTokens: number;
    readonly expectedMs: number;
    readonly waitMs: number;
    readonly prefillMs: number;
    readonly decodeMs: number;
    readonly othersMs: number;
}

/** An upstream of the service that is no candidate. */
export interface RuledOut {
    readonly upstream: string;
    readonly zone: string;
    readonly reason: string;
}

/** Where a call would go. Fields are missing if the call would be refused before they are known. */
export interface Explanation {
    readonly instance: string;
    readonly outcome: Outcome;
    readonly configVersion?: number;
    readonly route?: string;
    readonly service?: string;
    /** Services of the route, one of which is drawn by weight for each call. */
    readonly targets?: readonly RouteTarget[];
    readonly workspace?: string | undefined;
    readonly quota?: Quota | undefined;
    readonly priority?: number;
    readonly waitingCalls?: number;
    readonly expectedWaitMs?: number | undefined;
    readonly candidates?: readonly Candidate[];
    readonly ruledOut?: readonly RuledOut[];
}

/** What is known of an upstream besides its load. */
export interface UpstreamState {
    readonly isAtLimit: boolean;
    readonly isOtherRegion: boolean;
    /** Current monotonic time. */
    readonly now: number;
}

/** Returns why an upstream is no candidate, from the first reason that applies. */
export const ruledOutReason = (
    { entry, isLeaving, missingSince, ejectedUntil }: Pick<
        Upstream,
        "entry" | "isLeaving" | "missingSince" | "ejectedUntil"
    >,
    { isAtLimit, isOtherRegion, now }: UpstreamState,
): string => {
    if (entry.draining) {
        return "draining";
    }
    if (isLeaving) {
        return "leaving: it has said so in a reply";
    }
    if (missingSince !== undefined) {
        return "missing: its entry is no longer in the store";
    }
    if (ejectedUntil > now) {
        return `ejected: it could not be reached; used again in ${Math.ceil(ejectedUntil - now)} ms`;
    }
    if (isAtLimit) {
        return "at the limit that it names";
    }
    return isOtherRegion ? "other region, not needed now" : "not eligible now";
};

/** Returns the figures of an upstream that calls may be sent to. */
export const describeCandidate = (
    view: WorkerView,
    shape: CallShape,
    placements: readonly Placement[],
): Candidate => {
    const { expectedMs, waitMs, prefillMs, decodeMs, othersMs, open } = scoreWorker(view, shape);
    return {
        upstream: view.worker,
        zone: view.zone,
        chosen: placements.filter(({ worker }) => worker === view.worker).length / placements.length,
        open,
        inFlight: view.localInFlight,
        inFlightOfOthers: Math.max(0, view.reportedInFlight - view.localInFlightAtReport),
        maxInFlight: view.maxInFlight,
        cachedTokens: view.cachedTokens,
        expectedMs: round(expectedMs),
        waitMs: round(waitMs),
        prefillMs: round(prefillMs),
        decodeMs: round(decodeMs),
        othersMs: round(othersMs),
    };
};

/** Returns what would happen to a call that has passed all checks before its placement. */
export const outcomeOf = ({ placements, waiting, isNext, expectedWaitMs }: DispatchPreview): Outcome => {
    const likeliest = mostFrequent(placements);
    if (likeliest?.reason === "noWorker") {
        return { action: "refuse", status: 503, code: "no_upstream", reason: "no upstream can be used now" };
    }
    if (!isNext) {
        const reason = `${waiting} calls of the service wait, and one of them is next; about ${
            round(expectedWaitMs)
        } ms`;
        return { action: "wait", reason };
    }
    if (likeliest?.worker === undefined) {
        return {
            action: "wait",
            reason:
                "all candidates have as many calls as they take, or are at the limits that they name (maxInFlight 0)",
        };
    }
    return { action: "send", upstream: likeliest.worker, reason: placementReasons[likeliest.reason] };
};

/** Returns the outcome of a check that refuses the call. */
export const refusalOf = ({ status, code, message }: ProblemError): Outcome => ({
    action: "refuse",
    status,
    code,
    reason: message,
});

const placementReasons: Readonly<Record<Placement["reason"], string>> = {
    cached: "it has the beginning of the prompt cached, and the least expected time with the delay to others",
    leastExpected: "the least expected time with the delay to others",
    allBusy: "all are busy",
    noWorker: "there is none",
    baseline: "the configured baseline chose it",
};

const mostFrequent = (placements: readonly Placement[]): Placement | undefined => {
    const countOf = ({ worker }: Placement): number => placements.filter(other => other.worker === worker).length;
    return [...placements].sort((a, b) => countOf(b) - countOf(a))[0];
};

const round = (ms: number): number => Math.round(ms * 10) / 10;
