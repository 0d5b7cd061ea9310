/** Bounds within which quotas are enforced. */

/** In every window, at most (rate x window + burst) x (1 + `over`) + `slack` requests of a workspace are run. */
export interface QuotaSettings {
    readonly windowMs: number;
    readonly over: number;
    readonly slack: number;
}

/** A shorter time than this would expire while a call is prepared. */
const minPermitTtlMs = 50;

/** Time for which a permit may be used, so that the permits that all instances hold together stay within `over`. */
export const permitTtlMs = ({ windowMs, over }: QuotaSettings): number => Math.max(minPermitTtlMs, windowMs * over / 2);
