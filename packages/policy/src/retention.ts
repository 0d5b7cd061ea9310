/** Retention policy: whether a paused program's cached prefix is kept, exported or evicted from engine memory. */
import type { CostModel } from "./costModel.js";

/** A program between two calls, and the worker that caches its prefix. */
export interface PausedProgram {
    /** Length of the cached prefix. */
    readonly tokens: number;
    readonly expectedPauseMs: number;
    /** Probability that another call follows. */
    readonly returnProbability: number;
    /** Fraction of the worker's memory in use, from 0 to 1. */
    readonly memoryPressure: number;
    readonly canExport: boolean;
    readonly cost: CostModel;
}

export type RetentionAction = "keep" | "demote" | "drop";

/** The chosen action and the compared costs, in token-milliseconds of engine memory. */
export interface RetentionDecision {
    readonly action: RetentionAction;
    readonly reason: string;
    readonly keepCost: number;
    readonly refillCost: number;
}

/** Memory pressure below which keeping a prefix does not evict other prefixes. */
const uncontendedPressure = 0.3;

/** Tokens of other programs that a busy engine serves concurrently; converts prefill time to token-milliseconds. */
const displacedTokens = 8_000;

/** Return probability below which a prefix is dropped when memory is scarce. */
const minReturnProbability = 0.1;

/**
 * Compares the cost of keeping a prefix in memory during the pause with the cost of importing or recomputing it.
 *
 * @example
 * decideRetention({ tokens: 4000, expectedPauseMs: 90_000, returnProbability: 0.7, ... }).action; // "demote"
 */
export const decideRetention = (program: PausedProgram): RetentionDecision => {
    const { tokens, expectedPauseMs, returnProbability, memoryPressure, cost } = program;
    const scarcity = Math.max(0, memoryPressure - uncontendedPressure) / (1 - uncontendedPressure);
    const keepCost = tokens * expectedPauseMs * scarcity;
    const refillCost = returnProbability * tokens * cost.prefillMsPerToken * displacedTokens;
    const importCost = returnProbability * tokens * cost.importMsPerToken * displacedTokens;
    if (returnProbability < minReturnProbability && scarcity > 0) {
        return { action: "drop", reason: "another call is unlikely", keepCost, refillCost };
    }
    if (keepCost <= (program.canExport ? importCost : refillCost)) {
        return { action: "keep", reason: "holding costs less than restoring", keepCost, refillCost };
    }
    if (program.canExport) {
        return { action: "demote", reason: "the pause outlasts the cost of an import", keepCost, refillCost };
    }
    return { action: "drop", reason: "the pause outlasts the cost of a prefill", keepCost, refillCost };
};
