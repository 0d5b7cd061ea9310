/** Simple placements to compare with; operators can set one, and the bench measures against them. */
import { place, placeSampled, scoreWorker } from "./placement.js";
import type { CallShape, Placement, WorkerView } from "./placement.js";

/** Chooses among the workers that may get a call. */
export type PlaceFunction = (
    views: readonly WorkerView[],
    call: CallShape,
    random: () => number,
    program: string,
) => Placement;

/** Load above the least loaded worker's at which cache affinity gives way. */
const affinityThreshold = 4;
const hashPrime = 16_777_619;
const hashOffset = 2_166_136_261;

/** Names of the placements. */
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

const inFlight = (view: WorkerView): number => view.ownInFlight + Math.max(0, view.reportedInFlight - view.ownAtReport);

const leastOf = (views: readonly WorkerView[]): WorkerView =>
    views.reduce((best, view) => inFlight(view) < inFlight(best) ? view : best);

/** Rank of a worker for a program, by the FNV-1a hash. */
const rank = (program: string, worker: string): number => {
    let hash = hashOffset;
    for (const char of `${worker}/${program}/${worker}`) {
        hash = Math.imul(hash ^ char.charCodeAt(0), hashPrime) >>> 0;
    }
    return hash;
};

const roundRobin = (): PlaceFunction => {
    let turn = 0;
    return (views, call) => placementOn(views[turn++ % views.length]!, call);
};

const leastOutstanding: PlaceFunction = (views, call) => placementOn(leastOf(views), call);

const consistentHashing: PlaceFunction = (views, call, _, program) =>
    placementOn(
        views.reduce((best, view) => rank(program, view.worker) > rank(program, best.worker) ? view : best),
        call,
    );

const cacheAffinity: PlaceFunction = (views, call) => {
    const cached = views.reduce((best, view) => view.cachedTokens > best.cachedTokens ? view : best);
    const least = leastOf(views);
    const isTooBusy = inFlight(cached) > inFlight(least) + affinityThreshold;
    return placementOn(cached.cachedTokens > 0 && !isTooBusy ? cached : least, call);
};

const placements: Readonly<Record<PlacementName, () => PlaceFunction>> = {
    expectedFinish: () => place,
    expectedFinishSampled: () => placeSampled,
    roundRobin,
    leastOutstanding: () => leastOutstanding,
    consistentHashing: () => consistentHashing,
    cacheAffinity: () => cacheAffinity,
};

/** Creates a placement by its name. */
export const createPlacement = (name: PlacementName): PlaceFunction => placements[name]();
