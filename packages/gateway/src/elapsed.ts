/** Time that also passes while the machine is suspended. */

/** A moment on both clocks of the process. */
export interface Moment {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

/** Returns the present moment. */
export const currentMoment = (): Moment => ({ monotonicMs: performance.now(), wallMs: Date.now() });

/**
 * Returns the time since a moment, and rather too much than too little: the monotonic clock may stand still while the machine is
 * suspended, and the wall clock may be set back, but not both at once. A wall clock that is set forward counts as time that has passed.
 */
export const elapsedMs = ({ monotonicMs, wallMs }: Moment): number =>
    Math.max(performance.now() - monotonicMs, Date.now() - wallMs);
