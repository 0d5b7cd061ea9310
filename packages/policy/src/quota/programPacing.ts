/**
 * Admits new programs of a workspace at the rate at which its quota lets them be finished.
 * Load pattern: programs of several requests each start faster than the quota serves them, so that without this rule most would fail
 * in the middle, with their first requests served in vain.
 */

/** What the programs of a workspace that have started are expected to need, and how often they go on. */
export interface ProgramPacing {
    /** Requests that new programs may be admitted for; negative after more were admitted than the quota serves. */
    readonly level: number;
    readonly at: number;
    /** Requests of programs that were served, and requests of started programs whether or not served, weighted by age. */
    readonly served: number;
    readonly continued: number;
}

/** Age at which a past request counts 1/e. */
const memoryMs = 60_000;

/** Part of the quota that is committed to programs; the rest serves what they ask beyond the mean. */
const committedPart = 0.95;

/** Most requests that a program is expected to make. */
const maxRequests = 30;

/** Use of the quota below which there is room for new programs, whatever the commitments say. */
const busyPart = 0.5;

/**
 * Whether the quota is in use to such an extent that new programs are held back. Below it, none is refused, even if the number of requests
 * that programs make is overestimated.
 *
 * @param servedPerSecond Requests that were served lately.
 */
export const isBusy = (servedPerSecond: number, perSecond: number): boolean => servedPerSecond >= perSecond * busyPart;

/** Creates the state for a workspace whose programs are not known. */
export const createPacing = (now: number): ProgramPacing => ({ level: 0, at: now, served: 0, continued: 0 });

/**
 * Number of requests that a program usually makes; 1 until this is known. It follows from the part of the served requests after which
 * the program asks again: the number that programs make would be too small while many are refused in the middle.
 */
export const requestsPerProgram = ({ served, continued }: ProgramPacing): number => {
    const ended = served + 1 - continued;
    return ended <= 0 ? maxRequests : Math.min(maxRequests, Math.max(1, (served + 1) / ended));
};

const capacityOf = (pacing: ProgramPacing, perSecond: number, windowMs: number): number =>
    Math.max(perSecond * windowMs / 1_000, requestsPerProgram(pacing));

const advance = (pacing: ProgramPacing, perSecond: number, windowMs: number, now: number): ProgramPacing => {
    const elapsedMs = Math.max(0, now - pacing.at);
    const weight = Math.exp(-elapsedMs / memoryMs);
    const capacity = capacityOf(pacing, perSecond, windowMs);
    const level = Math.min(capacity, pacing.level + elapsedMs * perSecond * committedPart / 1_000);
    return { level, at: now, served: pacing.served * weight, continued: pacing.continued * weight };
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

/** Records that a new program was admitted. Commitments that exceed a window's worth are not remembered. */
export const recordStart = (
    pacing: ProgramPacing,
    perSecond: number,
    windowMs: number,
    now: number,
): ProgramPacing => {
    const current = advance(pacing, perSecond, windowMs, now);
    const level = current.level - requestsPerProgram(current);
    return {
        ...current,
        level: Math.max(-capacityOf(current, perSecond, windowMs), level),
        served: current.served + 1,
    };
};

/** Records further requests of programs that have started; these were committed when they started. */
export const recordContinued = (pacing: ProgramPacing, asked: number, served: number): ProgramPacing => ({
    ...pacing,
    served: pacing.served + served,
    continued: pacing.continued + asked,
});

/** Records requests of no program, which use the quota as well. */
export const recordPlain = (
    pacing: ProgramPacing,
    served: number,
    perSecond: number,
    windowMs: number,
): ProgramPacing => ({
    ...pacing,
    level: Math.max(-capacityOf(pacing, perSecond, windowMs), pacing.level - served),
});
