/**
 * Admits new programs of a workspace at the rate at which its quota lets them be finished.
 * Load pattern: programs of several requests each start faster than the quota serves them, so that without this rule most would fail
 * in the middle, with their first requests served in vain.
 */

/** What the programs of a workspace that have started are expected to need, and how many requests they usually make. */
export interface ProgramPacing {
    /** Requests that new programs may be admitted for; negative after more were admitted than the quota serves. */
    readonly level: number;
    readonly at: number;
    /** Requests of programs, and programs that started, weighted by age. */
    readonly requests: number;
    readonly starts: number;
}

/** Time in which the weight of past requests falls to a third. */
const memoryMs = 60_000;

/** Creates the state for a workspace whose programs are not known. */
export const createPacing = (now: number): ProgramPacing => ({ level: 0, at: now, requests: 0, starts: 0 });

/** Number of requests that a program usually makes; 1 until this is known. */
export const requestsPerProgram = ({ requests, starts }: ProgramPacing): number =>
    Math.max(1, (requests + 1) / (starts + 1));

const capacityOf = (pacing: ProgramPacing, perSecond: number, windowMs: number): number =>
    Math.max(perSecond * windowMs / 1_000, requestsPerProgram(pacing));

const advance = (pacing: ProgramPacing, perSecond: number, windowMs: number, now: number): ProgramPacing => {
    const elapsedMs = Math.max(0, now - pacing.at);
    const weight = Math.exp(-elapsedMs / memoryMs);
    const capacity = capacityOf(pacing, perSecond, windowMs);
    const level = Math.min(capacity, pacing.level + elapsedMs * perSecond / 1_000);
    return { level, at: now, requests: pacing.requests * weight, starts: pacing.starts * weight };
};

/**
 * Time until the next new program may be admitted; 0 if one may start now.
 *
 * @param perSecond Rate of the shares that the granting instance holds.
 */
export const startDelayMs = (pacing: ProgramPacing, perSecond: number, windowMs: number, now: number): number => {
    const current = advance(pacing, perSecond, windowMs, now);
    const missing = requestsPerProgram(current) - current.level;
    return missing <= 1e-9 ? 0 : perSecond > 0 ? Math.min(windowMs, missing * 1_000 / perSecond) : windowMs;
};

/** Records that new programs were admitted. Commitments that exceed a window's worth are not remembered. */
export const recordStarts = (
    pacing: ProgramPacing,
    count: number,
    perSecond: number,
    windowMs: number,
    now: number,
): ProgramPacing => {
    const current = advance(pacing, perSecond, windowMs, now);
    const level = current.level - count * requestsPerProgram(current);
    return {
        ...current,
        level: Math.max(-capacityOf(current, perSecond, windowMs), level),
        requests: current.requests + count,
        starts: current.starts + count,
    };
};

/** Records further requests of programs that have started; these were committed when they started. */
export const recordRequests = (pacing: ProgramPacing, count: number): ProgramPacing => ({
    ...pacing,
    requests: pacing.requests + count,
});
