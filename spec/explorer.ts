/** Explicit-state model checker: breadth-first search of the reachable states of a model. */
import { createHash } from "node:crypto";

import type { Invariant } from "./invariants.js";
import type { Step } from "./step.js";

/** Result of an exploration. */
export interface Exploration {
    readonly states: number;
    readonly depth: number;
    /** Whether every reachable state was visited. */
    readonly complete: boolean;
    readonly violation: { readonly invariant: string; readonly trace: readonly string[]; } | undefined;
}

interface Visit<W> {
    readonly world: W;
    readonly step: string;
    readonly parent: Visit<W> | undefined;
    readonly depth: number;
}

const digestBytes = 12;

const keyOf = (world: unknown): string =>
    createHash("sha1").update(JSON.stringify(world)).digest().subarray(0, digestBytes).toString("latin1");

const stepsTo = <W>(visit: Visit<W>): string[] => {
    const trace: string[] = [];
    for (let at: Visit<W> | undefined = visit; at?.parent !== undefined; at = at.parent) {
        trace.unshift(at.step);
    }
    return trace;
};

/** Explores from an initial state until all states are visited, an invariant is violated, or the limit is reached. */
export const explore = <W>(
    initial: W,
    steps: (world: W) => readonly Step<W>[],
    invariants: readonly Invariant<W>[],
    maxStates: number,
): Exploration => {
    const seen = new Set([keyOf(initial)]);
    const queue: Visit<W>[] = [{ world: initial, step: "", parent: undefined, depth: 0 }];
    let depth = 0;
    for (let index = 0; index < queue.length; index++) {
        const visit = queue[index]!;
        depth = visit.depth;
        const violated = invariants.find(invariant => !invariant.holds(visit.world));
        if (violated !== undefined) {
            const violation = { invariant: violated.name, trace: stepsTo(visit) };
            return { states: seen.size, depth, complete: false, violation };
        }
        if (seen.size >= maxStates) {
            continue;
        }
        for (const { name, next } of steps(visit.world)) {
            const key = keyOf(next);
            if (!seen.has(key)) {
                seen.add(key);
                queue.push({ world: next, step: name, parent: visit, depth: visit.depth + 1 });
            }
        }
    }
    return { states: seen.size, depth, complete: seen.size < maxStates, violation: undefined };
};
