/** Chooses the worker that minimizes a call's expected completion time plus the delay it causes to other calls. */
import { decodeStepMs } from "./costModel.js";
import type { CostModel } from "./costModel.js";

/** One instance's view of one worker. */
export interface WorkerView {
    readonly worker: string;
    readonly zone: string;
    /** Calls of this instance in flight on the worker. */
    readonly localInFlight: number;
    /** Running and waiting calls in the latest load report, which may include calls of this instance. */
    readonly reportedInFlight: number;
    /** Calls of this instance that the latest load report includes. */
    readonly localInFlightAtReport: number;
    readonly reportAgeMs: number;
    /** Estimated tokens of the prompt's beginning that are cached on the worker. */
    readonly cachedTokens: number;
    /** Tokens of the prompt's beginning that were exported from the worker's memory and can be imported again. */
    readonly exportedTokens: number;
    /** Observed service time relative to the cost model; 1 if it is as predicted. */
    readonly slowdown: number;
    readonly roundTripMs: number;
    readonly maxInFlight: number;
    readonly cost: CostModel;
    /** Calls of other instances in the reports of the last seconds. */
    readonly usualInFlight?: number;
    /** Observed wait for the first byte there beyond the time that the call itself takes. */
    readonly observedWaitMs?: number;
    /** Mean duration of the calls there, which tells how fast its queue moves; by default that of the call itself. */
    readonly meanCallMs?: number;
    /** Tokens of the calls in flight, and those that the worker has memory for. */
    readonly memory?: { readonly heldTokens: number; readonly maxTokens: number; };
    /** Whether the worker is in another region, traffic to which is billed. */
    readonly isRemote?: boolean;
}

/** Size of a call, as known before it runs. */
export interface CallShape {
    readonly promptTokens: number;
    /** Expected number of generated tokens. */
    readonly expectedTokens: number;
}

/** Expected times of a call on one worker; lower is better. */
export interface WorkerScore {
    readonly worker: string;
    /** Expected time to completion: wait, prefill, decode and network round trip. */
    readonly expectedMs: number;
    readonly waitMs: number;
    readonly prefillMs: number;
    readonly decodeMs: number;
    /** Observed service time relative to the cost model, which the expected times include. */
    readonly slowdown: number;
    /** Total delay that the call adds to the calls running concurrently on the worker. */
    readonly othersMs: number;
    /** Whether the worker is below its concurrency limit. */
    readonly open: boolean;
}

/** The chosen worker, or `undefined` if no worker can accept the call now, with the reason and the compared scores. */
export interface Placement {
    readonly worker: string | undefined;
    readonly reason: "cached" | "leastExpected" | "allBusy" | "noWorker" | "baseline";
    readonly scores: readonly WorkerScore[];
}

/** Age at which a load report is ignored; its weight decreases linearly until then. */
const reportMaxAgeMs = 10_000;

/** Number of workers sampled at random from a group. */
const sampleSize = 3;

/**
 * As {@link sampleSize}, for workers with measured loads. Of a larger sample, the least loaded worker by the latest reports gets so many more
 * calls than the mean that it is overloaded before the next ones.
 */
const measuredSampleSize = 2;

/** Minimum cached share of a prompt for it to count as a cached conversation rather than a prefix that many prompts share. */
const minConversationShare = 0.5;

/**
 * Maximum load of a worker, as a share of its batch size, for conversations to move to it. The margin is needed because many
 * instances choose the last free slots of a worker at the same time.
 */
const maxMigrationLoad = 0.5;

/** As {@link maxMigrationLoad}, for conversations whose workers have a queue of {@link longQueueShare} of their slots. */
const maxEscapeLoad = 0.75;
const longQueueShare = 0.25;

/** Minimum share of the longest cached prefix for a worker to count as caching the prompt. */
const minHolderShare = 0.7;

/**
 * Expected wait at a worker whose slots were all taken at the last report, as part of a call's time: calls of other instances that no
 * report includes yet may take the free slots.
 */
const unseenQueueShare = 0.2;

/**
 * Additional cost of a full worker compared with an idle one, in milliseconds. The zones of a region are a few milliseconds apart, which
 * would otherwise give the closest workers all calls until their slots are taken.
 */
const balanceMs = 60;

/** Estimated calls in flight: this instance's calls, plus other instances' calls weighted by the age of the report. */
export const estimatedInFlight = (view: WorkerView): number => {
    const others = Math.max(0, view.reportedInFlight - view.localInFlightAtReport);
    const weight = Math.max(0, 1 - view.reportAgeMs / reportMaxAgeMs);
    return view.localInFlight + others * weight;
};

/** Estimates the completion time of a call on a worker, and the delay it causes there. */
export const scoreWorker = (view: WorkerView, call: CallShape): WorkerScore => {
    const load = estimatedInFlight(view);
    const cost = view.cost;
    const stepMs = decodeStepMs(cost, Math.min(load + 1, cost.maxBatch)) * view.slowdown;
    const decodeMs = call.expectedTokens * stepMs;
    const cached = Math.min(view.cachedTokens, call.promptTokens);
    const imported = Math.min(Math.max(0, view.exportedTokens - cached), call.promptTokens - cached);
    const uncached = call.promptTokens - cached - imported;
    const prefillMs = (uncached * cost.prefillMsPerToken + imported * cost.importMsPerToken) * view.slowdown;
    const waitMs = Math.max(expectedQueueMs(view, call, decodeMs + prefillMs), view.observedWaitMs ?? 0);
    const concurrent = Math.min(load, cost.maxBatch - 1);
    const othersMs = concurrent * (prefillMs + call.expectedTokens * cost.decodePerSequenceMs * view.slowdown);
    return {
        worker: view.worker,
        othersMs,
        expectedMs: waitMs + prefillMs + decodeMs + view.roundTripMs,
        waitMs,
        prefillMs,
        decodeMs,
        slowdown: view.slowdown,
        open: load < view.maxInFlight,
    };
};

/** Expected time until the worker has a free slot and memory for the call. */
const expectedQueueMs = (view: WorkerView, call: CallShape, ownMs: number): number => {
    const { memory } = view;
    const { maxBatch } = view.cost;
    const callMs = view.meanCallMs ?? ownMs;
    const load = estimatedInFlight(view);
    const queued = Math.max(0, load + 1 - maxBatch);
    // Calls with a prompt are spread by the delay that they cause to others; a further term would outweigh what is cached of it.
    const isMeasuredPlainCall = view.meanCallMs !== undefined && call.promptTokens === 0;
    const riskMs = isMeasuredPlainCall ? riskOfQueueMs(load / maxBatch, callMs) : 0;
    const slotMs = (queued / maxBatch) * callMs + riskMs;
    if (memory === undefined) {
        return slotMs;
    }
    const missing = memory.heldTokens + call.promptTokens + call.expectedTokens - memory.maxTokens;
    // The calls in flight free all of their tokens within the time of a call.
    const memoryMs = missing > 0 && memory.heldTokens > 0 ? Math.min(1, missing / memory.heldTokens) * callMs : 0;
    return Math.max(slotMs, memoryMs);
};

const riskOfQueueMs = (load: number, callMs: number): number => {
    const taken = Math.min(1, load);
    return unseenQueueShare * taken * taken * callMs + balanceMs * taken;
};

/**
 * Places a call. All workers with a cached or exported prefix are candidates, but only a random sample of the others, so that
 * many instances with the same stale view do not all choose the same worker.
 *
 * @param random Returns numbers in [0, 1).
 * @example
 * const { worker, reason } = place(views, { promptTokens: 1200, expectedTokens: 150 }, random);
 */
export const place = (views: readonly WorkerView[], call: CallShape, random: () => number): Placement =>
    placeOnBest(views, cachedAndSampledOthers(views, random), call, bestUnsampled);

/**
 * Places a call like {@link place}, but also samples the workers that cache most of the prompt. Load pattern: bursts of new
 * programs through dozens of instances, with a shared prompt prefix that most workers have cached.
 *
 * A conversation moves only to a worker with less than half of its batch in use, or from a queue to one that has some slots
 * free, never from one queue to another: when all workers queue, the additional prefill would take engine time from all
 * waiting calls. A worker with a measured load that is at its concurrency limit gets no further calls, also not of conversations
 * that it caches: they would wait there until their deadline while others have room.
 */
export const placeSampled = (views: readonly WorkerView[], call: CallShape, random: () => number): Placement => {
    const holders = conversationHolders(views, call);
    const isMeasured = hasMeasuredLoads(views);
    const bestOfOthers: Fallback = isMeasured ?
        (all, tried, shape) => bestUnsampled(sampleOpen(all, random), tried, shape) :
        bestUnsampled;
    if (holders.length === 0) {
        return placeOnBest(views, sampleCachedAndOthers(views, random), call, bestOfOthers);
    }
    const spareLoad = isMeasured && holders.every(hasLongQueue) ? maxEscapeLoad : maxMigrationLoad;
    const free = views.filter(view => !holders.includes(view) && hasSpareCapacity(view, spareLoad));
    const candidates = [...sample(holders, random), ...sample(free, random)];
    const scores = candidates.map(view => scoreWorker(view, call)).sort(byTotalDelay);
    const best = isMeasured ? scores.find(({ open }) => open) ?? bestOfOthers(views, candidates, call) : scores[0];
    if (best === undefined) {
        return { worker: undefined, reason: "allBusy", scores };
    }
    const { worker } = best;
    const reason = holders.some(view => view.worker === worker) ? "cached" : "leastExpected";
    return { worker, reason, scores: withChosen(scores, best) };
};

const placeOnBest = (
    views: readonly WorkerView[],
    candidates: readonly WorkerView[],
    call: CallShape,
    fallback: Fallback,
): Placement => {
    if (views.length === 0) {
        return { worker: undefined, reason: "noWorker", scores: [] };
    }
    const scores = candidates.map(view => scoreWorker(view, call)).sort(byTotalDelay);
    const best = scores.find(score => score.open) ?? fallback(views, candidates, call);
    if (best === undefined) {
        return { worker: undefined, reason: "allBusy", scores };
    }
    const chosen = views.find(view => view.worker === best.worker)!;
    const reason = chosen.cachedTokens > 0 ? "cached" : "leastExpected";
    return { worker: best.worker, reason, scores: withChosen(scores, best) };
};

const withChosen = (scores: readonly WorkerScore[], chosen: WorkerScore): readonly WorkerScore[] =>
    scores.includes(chosen) ? scores : [chosen, ...scores];

/** Includes the delay of other calls, so that a call is not placed where it finishes early but slows many others down. */
const byTotalDelay = (a: WorkerScore, b: WorkerScore): number =>
    a.expectedMs + a.othersMs - (b.expectedMs + b.othersMs);

/** Chooses one of the workers that were not sampled, for when all sampled ones are at their concurrency limit. */
type Fallback = (
    views: readonly WorkerView[],
    tried: readonly WorkerView[],
    call: CallShape,
) => WorkerScore | undefined;

/** Sampled again, as all instances that find some workers at their limit would choose the same best one of the others. */
const sampleOpen = (views: readonly WorkerView[], random: () => number): WorkerView[] =>
    sample(views.filter(view => estimatedInFlight(view) < view.maxInFlight), random);

/** Best of the workers that were not sampled, for when all sampled ones are at their concurrency limit. */
const bestUnsampled = (
    views: readonly WorkerView[],
    tried: readonly WorkerView[],
    call: CallShape,
): WorkerScore | undefined => {
    const rest = views.filter(view => !tried.includes(view)).map(view => scoreWorker(view, call));
    return rest.filter(score => score.open).sort(byTotalDelay)[0];
};

const cachedAndSampledOthers = (views: readonly WorkerView[], random: () => number): WorkerView[] => {
    const cached = views.filter(view => reusableTokens(view) > 0);
    const others = views.filter(view => reusableTokens(view) === 0);
    return [...cached, ...sample(others, random)];
};

const sampleCachedAndOthers = (views: readonly WorkerView[], random: () => number): WorkerView[] => {
    const held = views.map(reusableTokens);
    const most = Math.max(...held);
    const isCached = (index: number): boolean => most > 0 && held[index]! >= most * minHolderShare;
    const cached = views.filter((_, index) => isCached(index));
    const others = views.filter((_, index) => !isCached(index));
    return [...sample(cached, random), ...sample(others, random)];
};

/** Workers that cache most of the prompt, hence more than a prefix that many prompts share. */
const conversationHolders = (views: readonly WorkerView[], call: CallShape): WorkerView[] => {
    const most = Math.max(0, ...views.map(reusableTokens));
    const isConversationCached = most > 0 && most >= call.promptTokens * minConversationShare;
    return isConversationCached ? views.filter(view => reusableTokens(view) >= most * minHolderShare) : [];
};

const hasMeasuredLoads = (views: readonly WorkerView[]): boolean =>
    views.some(({ meanCallMs }) => meanCallMs !== undefined);

const hasSpareCapacity = (view: WorkerView, maxLoad: number): boolean =>
    estimatedInFlight(view) < view.cost.maxBatch * maxLoad;

const hasLongQueue = (view: WorkerView): boolean =>
    estimatedInFlight(view) >= view.cost.maxBatch * (1 + longQueueShare);

/** Prompt tokens that need no prefill because they are cached or can be imported. */
const reusableTokens = ({ cachedTokens, exportedTokens }: WorkerView): number => cachedTokens + exportedTokens;

const sample = (views: readonly WorkerView[], random: () => number): WorkerView[] => {
    const left = [...views];
    const sampled: WorkerView[] = [];
    const size = hasMeasuredLoads(views) ? measuredSampleSize : sampleSize;
    while (sampled.length < size && left.length > 0) {
        const index = Math.floor(random() * left.length);
        sampled.push(left[index]!);
        left[index] = left.at(-1)!;
        left.pop();
    }
    return sampled;
};
