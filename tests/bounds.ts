/** Bounds in the settings of deployments of both sizes. */

/** About ten instances. */
export const baseBounds = { contactMs: 4_000, drainMs: 2_500, configApplyMs: 2_500, graceS: 8, catchupS: 4.4 };

/** Dozens of instances. */
export const grownBounds = { contactMs: 5_000, drainMs: 4_000, configApplyMs: 4_000, graceS: 8, catchupS: 6 };
