/**
 * Chooses between the workers of the own region and of others. Load pattern: a region whose workers are full or slow while those of
 * another one have room; traffic between regions is billed, and all instances of a region see the same reason to leave it.
 */
import { placeSampled } from "./placement.js";
import type { CallShape, Placement, WorkerScore, WorkerView } from "./placement.js";
import { correctForAge } from "./staleLoad.js";

/** Time that must be gained for a call to leave its region: at least the round trip that it adds to each further exchange. */
const minGainMs = 40;

/** Share of the expected time in the own region that must be gained besides, since both times are estimates. */
const minGainShare = 0.2;

/**
 * Places a call like {@link placeSampled}, in the own region unless it is expected to end clearly sooner in another one. Calls leave
 * in proportion to the gain rather than all at once, so that many instances with the same view do not move together.
 *
 * @param random Returns numbers in [0, 1).
 * @example
 * const { worker } = placeNear(views, { promptTokens: 1200, expectedTokens: 150 }, random);
 */
export const placeNear = (views: readonly WorkerView[], call: CallShape, random: () => number): Placement => {
    const near = correctForAge(views.filter(view => view.isRemote !== true));
    const remote = correctForAge(views.filter(view => view.isRemote === true));
    if (near.length === 0 || remote.length === 0) {
        return placeSampled([...near, ...remote], call, random);
    }
    const here = placeSampled(near, call, random);
    const there = placeSampled(remote, call, random);
    const hereScore = chosenScore(here);
    const thereScore = chosenScore(there);
    if (hereScore === undefined || thereScore === undefined) {
        return hereScore === undefined && thereScore !== undefined ? there : here;
    }
    const hereMs = hereScore.expectedMs + hereScore.othersMs;
    const thereMs = thereScore.expectedMs + thereScore.othersMs;
    const gainMs = hereMs - thereMs - Math.max(minGainMs, minGainShare * hereMs);
    return gainMs > 0 && random() < gainMs / hereMs ? there : here;
};

const chosenScore = ({ worker, scores }: Placement): WorkerScore | undefined =>
    worker === undefined ? undefined : scores.find(score => score.worker === worker) ?? scores[0];
