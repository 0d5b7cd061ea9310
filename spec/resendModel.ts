/**
 * Model of a call that an upstream refuses and that is sent to it again. A faulty upstream sends a second copy of a reply, late: right before the
 * next reply on the same connection. Replies name the call, which is the same for all sends.
 */
import type { Invariant } from "./invariants.js";
import type { Mutation } from "./mutants.js";
import type { Step } from "./step.js";

type Reply = "refused" | "answered";

interface ConnectionState {
    /** Second copy of the last reply, which comes before the next one. */
    readonly late: Reply | undefined;
    /** Whether the call was refused on it. */
    readonly hasRefused: boolean;
}

/** State of the model. */
export interface ResendWorld {
    readonly connections: readonly ConnectionState[];
    readonly sends: number;
    readonly runs: number;
    /** What the caller is told; undefined until then. */
    readonly outcome: Reply | undefined;
}

const maxSends = 3;
const opened: ConnectionState = { late: undefined, hasRefused: false };

export const initialResendWorld: ResendWorld = { connections: [opened, opened], sends: 0, runs: 0, outcome: undefined };

/** The upstream handles a send over a connection; the front believes the first reply that comes. */
const send = (
    world: ResendWorld,
    index: number,
    reply: Reply,
    isCopied: boolean,
    mutation: Mutation,
): Step<ResendWorld> => {
    const chosen = world.connections[index]!;
    const carrying = chosen.hasRefused && mutation.reuseRefusingConnection !== true ? opened : chosen;
    const believed = carrying.late ?? reply;
    const sends = world.sends + 1;
    const isLast = sends === maxSends;
    const connection = {
        late: isCopied ? reply : undefined,
        hasRefused: carrying.hasRefused || believed === "refused",
    };
    return {
        name: `send ${sends} on connection ${index} is ${reply}${isCopied ? ", with a second copy" : ""}`,
        next: {
            connections: world.connections.map((other, at) => at === index ? connection : other),
            sends,
            runs: world.runs + (reply === "answered" ? 1 : 0),
            outcome: believed === "answered" || isLast ? believed : undefined,
        },
    };
};

/** Steps from a state of the model. */
export const resendSteps = (world: ResendWorld, mutation: Mutation): Step<ResendWorld>[] =>
    world.outcome !== undefined ?
        [] :
        world.connections.flatMap((_, index) =>
            (["refused", "answered"] as const).flatMap(reply =>
                [false, true].map(isCopied => send(world, index, reply, isCopied, mutation))
            )
        );

/** Invariants of the model. */
export const resendInvariants: readonly Invariant<ResendWorld>[] = [
    {
        name: "a call whose caller is told that it was refused has not run",
        holds: ({ outcome, runs }) => outcome !== "refused" || runs === 0,
    },
    { name: "a call that is sent again runs at most once", holds: ({ runs }) => runs <= 1 },
];
