/** Standard load-balancing algorithms; operators can select one, and the benchmark uses them as baselines. */
import { place, placeSampled, scoreWorker } from "./placement.js";
import type { CallShape, Placement, WorkerView } from "./placement.js";

/** Chooses one of the eligible workers for a call. */
export type PlacementFunction = (
    views: readonly WorkerView[],
    call: CallShape,
    random: () => number,
    program: string,
) => Placement;

/** Calls in flight above the least loaded worker's count beyond which cache affinity is ignored. */
const affinityThreshold = 4;
const hashPrime = 16_777_619;
const hashOffset = 2_166_136_261;

/** Names of the placement algorithms. */
export const placementNames = [
    "expectedFinish",
    "expectedFinishSampled",
    "roundRobin",
    "leastOutstanding",
    "consistentHashing",
    "cacheAffinity",
] as const;
export type PlacementName = typeof placementNames[number];

const placementOn = (view: WorkerView, call: CallShape): Placement => ({
    worker: view.worker,
    reason: "baseline",
    scores: [scoreWorker(view, call)],
});

const totalInFlight = (view: WorkerView): number =>
    view.localInFlight + Math.max(0, view.reportedInFlight - view.localInFlightAtReport);

const leastLoaded = (views: readonly WorkerView[]): WorkerView =>
    views.reduce((best, view) => totalInFlight(view) < totalInFlight(best) ? view : best);

/** Rendezvous-hashing weight of a worker for a program, by an FNV-1a hash. */
const rank = (program: string, worker: string): number => {
    let hash = hashOffset;
    for (const char of `${worker}/${program}/${worker}`) {
        hash = Math.imul(hash ^ char.charCodeAt(0), hashPrime) >>> 0;
    }
    return hash;
};

const roundRobin = (): PlacementFunction => {
    let nextIndex = 0;
    return (views, call) => placementOn(views[nextIndex++ % views.length]!, call);
};

const leastOutstanding: PlacementFunction = (views, call) => placementOn(leastLoaded(views), call);

const consistentHashing: PlacementFunction = (views, call, _, program) =>
    placementOn(
        views.reduce((best, view) => rank(program, view.worker) > rank(program, best.worker) ? view : best),
        call,
    );

const cacheAffinity: PlacementFunction = (views, call) => {
    const cached = views.reduce((best, view) => view.cachedTokens > best.cachedTokens ? view : best);
    const least = leastLoaded(views);
    const isTooBusy = totalInFlight(cached) > totalInFlight(least) + affinityThreshold;
    return placementOn(cached.cachedTokens > 0 && !isTooBusy ? cached : least, call);
};

const placementFactories: Readonly<Record<PlacementName, () => PlacementFunction>> = {
    expectedFinish: () => place,
    expectedFinishSampled: () => placeSampled,
    roundRobin,
    leastOutstanding: () => leastOutstanding,
    consistentHashing: () => consistentHashing,
    cacheAffinity: () => cacheAffinity,
};

/** Creates a placement function by its name. */
export const createPlacement = (name: PlacementName): PlacementFunction => placementFactories[name]();
