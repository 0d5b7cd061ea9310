/** The scheduler's policy and the baselines that it is measured against. */
import type { OrderFunction, PlaceFunction } from "@marigolddrift/daemon";
import { nextCall, place, scoreWorker } from "@marigolddrift/policy";
import type { CallShape, Placement, WorkerView } from "@marigolddrift/policy";
import { createHash } from "node:crypto";

/** A way to schedule. */
export interface BenchPolicy {
    readonly name: string;
    createPlace(): PlaceFunction;
    readonly order: OrderFunction;
    readonly admission: boolean;
    /** Whether calls wait in the scheduler while workers are full, or at the engines. */
    readonly boundsInFlight: boolean;
    /** Whether engines are told priorities. */
    readonly priorities: boolean;
    /** Whether prefixes are kept, demoted or dropped at pauses and released at the end. */
    readonly retention: boolean;
}

const firstCome: OrderFunction = calls => calls.length > 0 ? 0 : -1;

const placementOn = (view: WorkerView, shape: CallShape): Placement => ({
    worker: view.worker,
    reason: "leastExpected",
    scores: [scoreWorker(view, shape)],
});

const inFlight = (view: WorkerView): number => view.ownInFlight + Math.max(0, view.reportedInFlight - view.ownAtReport);

const leastOf = (views: readonly WorkerView[]): WorkerView =>
    views.reduce((best, view) => inFlight(view) < inFlight(best) ? view : best);

const rank = (key: string, worker: string): number =>
    createHash("md5").update(`${key}/${worker}`).digest().readUInt32BE(0);

const byHash = (views: readonly WorkerView[], program: string): WorkerView =>
    views.reduce((best, view) => rank(program, view.worker) > rank(program, best.worker) ? view : best);

const baseline = (name: string, createPlace: () => PlaceFunction): BenchPolicy => ({
    name,
    createPlace,
    order: firstCome,
    admission: false,
    boundsInFlight: false,
    priorities: false,
    retention: false,
});

/** Load above the least loaded worker's at which cache affinity gives way. */
const affinityThreshold = 4;

const roundRobin = (): PlaceFunction => {
    let turn = 0;
    return (views, shape) => placementOn(views[turn++ % views.length]!, shape);
};

const cacheAffinity = (): PlaceFunction => (views, shape) => {
    const cached = views.reduce((best, view) => view.cachedTokens > best.cachedTokens ? view : best);
    const least = leastOf(views);
    const isTooBusy = inFlight(cached) > inFlight(least) + affinityThreshold;
    return placementOn(cached.cachedTokens > 0 && !isTooBusy ? cached : least, shape);
};

export const marigolddrift: BenchPolicy = {
    name: "marigolddrift",
    createPlace: () => place,
    order: nextCall,
    admission: true,
    boundsInFlight: true,
    priorities: true,
    retention: true,
};

export const baselines: readonly BenchPolicy[] = [
    baseline("round robin", roundRobin),
    baseline("least outstanding", () => (views, shape) => placementOn(leastOf(views), shape)),
    baseline("consistent hashing", () => (views, shape, _, program) => placementOn(byHash(views, program), shape)),
    baseline("cache affinity", cacheAffinity),
    { ...marigolddrift, name: "first come", order: firstCome, priorities: false, retention: false, admission: false },
];

/** Parts of the policy alone, to see what each brings. */
export const ablations: readonly BenchPolicy[] = [
    { ...marigolddrift, name: "without retention", retention: false },
    { ...marigolddrift, name: "without ordering", order: firstCome, priorities: false },
    { ...marigolddrift, name: "without admission", admission: false },
    { ...marigolddrift, name: "queues at engines", boundsInFlight: false },
];
