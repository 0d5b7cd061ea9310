/** Decides at each pause of a program what happens to its prefix in engine memory. */
import type { CostModel } from "./costModel.js";

/** A program that pauses between two calls. */
export interface PausedProgram {
    readonly tokens: number;
    /** Expected pause in milliseconds. */
    readonly expectedPauseMs: number;
    /** Probability that another call follows. */
    readonly returnProbability: number;
    /** Share of the worker's memory that is in use, from 0 to 1. */
    readonly memoryPressure: number;
    readonly canExport: boolean;
    readonly cost: CostModel;
}

export type RetentionAction = "keep" | "demote" | "drop";

/** An action with the costs that were compared, in token-milliseconds of engine memory. */
export interface RetentionDecision {
    readonly action: RetentionAction;
    readonly reason: string;
    readonly keepCost: number;
    readonly refillCost: number;
}

/** Memory pressure below which holding a prefix displaces nothing. */
const freePressure = 0.3;

/** Tokens of other programs that a busy engine serves at once; weighs prefill time against memory. */
const displacedTokens = 8_000;

/** Return probability below which a prefix is given up when memory is scarce. */
const unlikelyReturn = 0.1;

/**
 * Compares holding a prefix over the pause with computing it again.
 *
 * @example
 * decideRetention({ tokens: 4000, expectedPauseMs: 90_000, returnProbability: 0.7, ... }).action; // "demote"
 */
export const decideRetention = (program: PausedProgram): RetentionDecision => {
    const { tokens, expectedPauseMs, returnProbability, memoryPressure, cost } = program;
    const scarcity = Math.max(0, memoryPressure - freePressure) / (1 - freePressure);
    const keepCost = tokens * expectedPauseMs * scarcity;
    const refillCost = returnProbability * tokens * cost.prefillMsPerToken * displacedTokens;
    const importCost = returnProbability * tokens * cost.importMsPerToken * displacedTokens;
    if (returnProbability < unlikelyReturn && scarcity > 0) {
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
