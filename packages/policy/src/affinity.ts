/**
 * Decides when calls about the same object stay with one worker. Load pattern: workers keep objects in memory, so that a call about
 * one is served faster where the last one was; a few objects that many calls concern must not overload their workers.
 */
import { scoreWorker } from "./placement.js";
import type { CallShape, WorkerScore, WorkerView } from "./placement.js";

/** Expected time relative to the best other worker's from which a worker is clearly busier. */
const maxRatio = 1.5;

/** Difference that is always accepted, as it is less than what reading an object again takes. */
const acceptedMs = 20;

/**
 * Whether a call should leave the worker that served its object last.
 *
 * @example
 * const keeps = !isClearlyBusier(preferred, others, { promptTokens: 0, expectedTokens: 1 });
 */
export const isClearlyBusier = (preferred: WorkerView, others: readonly WorkerView[], call: CallShape): boolean => {
    const own = scoreWorker(preferred, call);
    const open = others.map(view => scoreWorker(view, call)).filter(score => score.open);
    if (open.length === 0) {
        return false;
    }
    const best = Math.min(...open.map(totalMs));
    return !own.open || totalMs(own) > maxRatio * best + acceptedMs;
};

const totalMs = ({ expectedMs, othersMs }: WorkerScore): number => expectedMs + othersMs;
