/** Safety invariants of the slot protocol, checked in every state of the model. */
import { callKey, programBudget } from "./state.js";
import type { OwnerName, World } from "./state.js";

/** A named condition that must hold in every state. */
export interface Invariant<W> {
    readonly name: string;
    holds(world: W): boolean;
}

const provenOwners = (world: World): OwnerName[] =>
    (["a", "b"] as const).filter(name => {
        const { alive, paused, hasProvenLease: proven, writer, claimEpoch: claiming } = world.owners[name];
        return alive && !paused && proven && writer !== undefined && writer.kind !== "lost" && claiming === 0;
    });

export const invariants: readonly Invariant<World>[] = [
    { name: "a call marked as not repeatable runs at most once", holds: world => world.executions <= 1 },
    {
        name: "a send that was refused as not run did not run",
        holds: world =>
            world.sends.every((send, index) => send.reportedOutcome !== "notRun" || !world.executedBy.includes(index)),
    },
    { name: "a program never spends beyond its budget", holds: world => world.spent <= programBudget },
    {
        name: "a call that ran is never forgotten",
        holds: world => world.executions === 0 || world.store?.record.intents[callKey] !== undefined,
    },
    {
        name: "a call is reported as run only if it ran",
        holds: world => world.sends.every(send => send.reportedOutcome !== "ran" || world.executions > 0),
    },
    { name: "one owner writes under an epoch", holds: world => !world.hasSharedEpoch },
    { name: "at most one instance provably owns a slot", holds: world => provenOwners(world).length <= 1 },
];
