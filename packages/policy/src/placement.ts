/** Chooses the worker on which a call is expected to finish first. */
import { decodeStepMs } from "./costModel.js";
import type { CostModel } from "./costModel.js";

/** What one instance knows of one worker. */
export interface WorkerView {
    readonly worker: string;
    readonly zone: string;
    /** Calls of this instance that are on the worker now. */
    readonly ownInFlight: number;
    /** Calls that the worker reported as running or waiting. */
    readonly reportedInFlight: number;
    /** Calls of this instance that were on the worker when it reported. */
    readonly ownAtReport: number;
    readonly reportAgeMs: number;
    /** Tokens of the program's history that are probably cached on the worker. */
    readonly cachedTokens: number;
    /** Tokens of the program's history that were exported from the worker's memory and can be imported. */
    readonly exportedTokens: number;
    /** Observed slowness relative to the cost model; 1 is as expected. */
    readonly slowdown: number;
    /** Latency to the worker and back, in milliseconds. */
    readonly roundTripMs: number;
    readonly maxInFlight: number;
    readonly cost: CostModel;
}

/** What is known of a call before it runs. */
export interface CallShape {
    readonly promptTokens: number;
    /** Tokens that the call is expected to generate. */
    readonly expectedTokens: number;
}

/** Expected finish of a call on one worker. */
export interface Score {
    readonly worker: string;
    readonly expectedMs: number;
    readonly waitMs: number;
    readonly prefillMs: number;
    readonly decodeMs: number;
    /** Delay that the call causes to the calls beside it, summed up over them. */
    readonly othersMs: number;
    /** Whether the worker may get another call now. */
    readonly open: boolean;
}

/** A placement with its reason, or no worker that may get the call now. */
export interface Placement {
    readonly worker: string | undefined;
    readonly reason: "cached" | "leastExpected" | "allBusy" | "noWorker" | "baseline";
    readonly scores: readonly Score[];
}

/** Age at which a load report says nothing any more, in milliseconds. */
const reportHorizonMs = 10_000;

/** Number of random candidates of a group of workers. */
const sampledCandidates = 3;

/** Part of a prompt from which on its cached beginning counts as the conversation. */
const conversationShare = 0.5;

/** Load of a worker, as a share of its places, below which conversations move there: the last free ones are taken by many at once. */
const movingShare = 0.5;

/** Part of the longest cached prompt from which on a worker counts as holding much of it. */
const cachedShare = 0.7;

/** Calls that are probably on the worker now: this instance's own, and what others had there. */
export const estimatedInFlight = (view: WorkerView): number => {
    const others = Math.max(0, view.reportedInFlight - view.ownAtReport);
    const weight = Math.max(0, 1 - view.reportAgeMs / reportHorizonMs);
    return view.ownInFlight + others * weight;
};

/** Scores a call on a worker. */
export const scoreWorker = (view: WorkerView, call: CallShape): Score => {
    const load = estimatedInFlight(view);
    const cost = view.cost;
    const step = decodeStepMs(cost, Math.min(load + 1, cost.maxBatch)) * view.slowdown;
    const decodeMs = call.expectedTokens * step;
    const cached = Math.min(view.cachedTokens, call.promptTokens);
    const imported = Math.min(Math.max(0, view.exportedTokens - cached), call.promptTokens - cached);
    const fresh = call.promptTokens - cached - imported;
    const prefillMs = (fresh * cost.prefillMsPerToken + imported * cost.importMsPerToken) * view.slowdown;
    const ahead = Math.max(0, load + 1 - cost.maxBatch);
    const waitMs = (ahead / cost.maxBatch) * (decodeMs + prefillMs);
    const beside = Math.min(load, cost.maxBatch - 1);
    const othersMs = beside * (prefillMs + call.expectedTokens * cost.decodePerSequenceMs * view.slowdown);
    return {
        worker: view.worker,
        othersMs,
        expectedMs: waitMs + prefillMs + decodeMs + view.roundTripMs,
        waitMs,
        prefillMs,
        decodeMs,
        open: load < view.maxInFlight,
    };
};

/**
 * Places a call. Cached workers are always weighed; of the others only a random sample, so that many instances with the
 * same stale view do not choose the same worker.
 *
 * @param random Yields numbers in [0, 1).
 * @example
 * const { worker, reason } = place(views, { promptTokens: 1200, expectedTokens: 150 }, random);
 */
export const place = (views: readonly WorkerView[], call: CallShape, random: () => number): Placement =>
    placeAmong(views, weighAllCached(views, random), call);

/**
 * Places a call as {@link place} does, but weighs a random sample also of the workers that hold most of the prompt. Load
 * pattern: bursts of new programs that share one beginning, which most workers have read, through dozens of instances.
 *
 * A conversation moves only to a worker that is half empty, never from one queue to another: to read it once more takes
 * from all the time that is short when all queue.
 */
export const placeSampled = (views: readonly WorkerView[], call: CallShape, random: () => number): Placement => {
    const holders = conversationHolders(views, call);
    if (holders.length === 0) {
        return placeAmong(views, sampleAll(views, random), call);
    }
    const free = views.filter(view => !holders.includes(view) && hasFreePlaces(view));
    const candidates = [...sample(holders, random), ...sample(free, random)];
    const scores = candidates.map(view => scoreWorker(view, call)).sort(byTotalDelay);
    const { worker } = scores[0]!;
    return { worker, reason: holders.some(view => view.worker === worker) ? "cached" : "leastExpected", scores };
};

const placeAmong = (
    views: readonly WorkerView[],
    candidates: readonly WorkerView[],
    call: CallShape,
): Placement => {
    if (views.length === 0) {
        return { worker: undefined, reason: "noWorker", scores: [] };
    }
    const scores = candidates.map(view => scoreWorker(view, call)).sort(byTotalDelay);
    const best = scores.find(score => score.open) ?? lastResort(views, candidates, call);
    if (best === undefined) {
        return { worker: undefined, reason: "allBusy", scores };
    }
    const chosen = views.find(view => view.worker === best.worker)!;
    return { worker: best.worker, reason: chosen.cachedTokens > 0 ? "cached" : "leastExpected", scores };
};

/** A call that finishes early but holds many others up is not well placed. */
const byTotalDelay = (a: Score, b: Score): number => a.expectedMs + a.othersMs - (b.expectedMs + b.othersMs);

const lastResort = (views: readonly WorkerView[], tried: readonly WorkerView[], call: CallShape): Score | undefined => {
    const rest = views.filter(view => !tried.includes(view)).map(view => scoreWorker(view, call));
    return rest.filter(score => score.open).sort(byTotalDelay)[0];
};

const weighAllCached = (views: readonly WorkerView[], random: () => number): WorkerView[] => {
    const cached = views.filter(view => heldTokens(view) > 0);
    const others = views.filter(view => heldTokens(view) === 0);
    return [...cached, ...sample(others, random)];
};

const sampleAll = (views: readonly WorkerView[], random: () => number): WorkerView[] => {
    const held = views.map(heldTokens);
    const most = Math.max(...held);
    const isCached = (index: number): boolean => most > 0 && held[index]! >= most * cachedShare;
    const cached = views.filter((_, index) => isCached(index));
    const others = views.filter((_, index) => !isCached(index));
    return [...sample(cached, random), ...sample(others, random)];
};

/** Workers that hold most of the prompt, and so more than a beginning that many prompts share. */
const conversationHolders = (views: readonly WorkerView[], call: CallShape): WorkerView[] => {
    const most = Math.max(0, ...views.map(heldTokens));
    const isHeld = most > 0 && most >= call.promptTokens * conversationShare;
    return isHeld ? views.filter(view => heldTokens(view) >= most * cachedShare) : [];
};

const hasFreePlaces = (view: WorkerView): boolean => estimatedInFlight(view) < view.cost.maxBatch * movingShare;

const heldTokens = ({ cachedTokens, exportedTokens }: WorkerView): number => cachedTokens + exportedTokens;

const sample = (views: readonly WorkerView[], random: () => number): WorkerView[] => {
    const left = [...views];
    const sampled: WorkerView[] = [];
    while (sampled.length < sampledCandidates && left.length > 0) {
        const index = Math.floor(random() * left.length);
        sampled.push(left[index]!);
        left[index] = left.at(-1)!;
        left.pop();
    }
    return sampled;
};
