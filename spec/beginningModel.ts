/**
 * Model of a turn whose stream breaks off and is taken up, more than once. Each call passes on events of its own; what it passes on is recorded
 * or lost, and reaches the caller or not. What the caller has is found out by the production code.
 */
import { continuePart, findBeginning } from "@marigolddrift/policy";
import type { StreamEvent, StreamPart } from "@marigolddrift/policy";

import type { Invariant } from "./invariants.js";
import type { Mutation } from "./mutants.js";
import type { Step } from "./step.js";

const events = 3;
const callNames = ["a", "b", "c"] as const;

interface CallState {
    readonly name: string;
    /** What it passes on, after what its caller had. */
    readonly part: StreamPart;
    /** Number of its events that are recorded; undefined if nothing of it is. */
    readonly recorded: number | undefined;
    readonly isOpen: boolean;
}

/** State of the model. */
export interface BeginningWorld {
    readonly calls: readonly CallState[];
    /** What the caller has. */
    readonly view: readonly StreamEvent[];
    /** The output with which the turn was kept. */
    readonly kept: readonly string[] | undefined;
}

const dataOf = (list: readonly StreamEvent[]): string[] => list.map(({ data }) => data);

export const initialBeginningWorld: BeginningWorld = {
    calls: [{ name: "a", part: continuePart(undefined, "a"), recorded: undefined, isOpen: true }],
    view: [],
    kept: undefined,
};

const updateLast = (world: BeginningWorld, change: Partial<CallState>): BeginningWorld => ({
    ...world,
    calls: [...world.calls.slice(0, -1), { ...world.calls.at(-1)!, ...change }],
});

/** The next event is passed on; its record, with those that were lost before, arrives or is lost. */
const passOn = (world: BeginningWorld, { name, part }: CallState): Step<BeginningWorld>[] => {
    const index = part.events.length;
    const added = [...part.events, { id: String(index), data: `${name}${index}` }];
    const passed = { part: { ...part, events: added } };
    return [
        { name: `${name} passes on an event`, next: updateLast(world, { ...passed, recorded: added.length }) },
        { name: `${name} passes on an event whose record is lost`, next: updateLast(world, passed) },
    ];
};

const recordedParts = ({ calls }: BeginningWorld): StreamPart[] =>
    calls.flatMap(({ part, recorded }) =>
        recorded === undefined ? [] : [{ ...part, events: part.events.slice(0, recorded) }]
    );

/** The caller takes the stream up; it is refused if what the caller has is not known. */
const takeUp = (world: BeginningWorld, named: string, mutation: Mutation): Step<BeginningWorld>[] => {
    const name = callNames[world.calls.length]!;
    const last = world.view.at(-1)!.id!;
    const parts = recordedParts(world);
    const newest = parts.at(-1);
    const result = mutation.trustPassedOn === true && newest !== undefined ?
        { kind: "known" as const, beginning: newest } :
        findBeginning(parts, named, last);
    if (result.kind !== "known") {
        return [];
    }
    const part = continuePart(result.beginning, name);
    const recorded = mutation.recordTakeUpLate === true ? undefined : part.events.length;
    const calls = [...world.calls, { name, part, recorded, isOpen: true }];
    return [{ name: `${name} takes the stream up, naming ${named}`, next: { ...world, calls } }];
};

const whenOpen = (world: BeginningWorld, call: CallState, mutation: Mutation): Step<BeginningWorld>[] => {
    const { name, part } = call;
    const next = part.events[world.view.length];
    const breakOff = { name: `the stream of ${name} breaks off`, next: updateLast(world, { isOpen: false }) };
    const arrive = next === undefined ?
        [] :
        [{ name: "the caller receives an event", next: { ...world, view: [...world.view, next] } }];
    const output = mutation.keepOwnEvents === true ? part.events.slice(part.inherited) : part.events;
    const end = world.view.length < events ? [] : [{
        name: `the turn is kept with ${name}`,
        next: { ...updateLast(world, { isOpen: false }), kept: dataOf(output) },
    }];
    return [breakOff, ...arrive, ...end, ...part.events.length < events ? passOn(world, call) : []];
};

/** Steps from a state of the model. */
export const beginningSteps = (world: BeginningWorld, mutation: Mutation): Step<BeginningWorld>[] => {
    const last = world.calls.at(-1)!;
    if (world.kept !== undefined) {
        return [];
    }
    if (last.isOpen) {
        return whenOpen(world, last, mutation);
    }
    const mayTakeUp = world.view.length > 0 && world.calls.length < callNames.length;
    const named = new Set([world.calls[0]!.name, last.name]);
    return mayTakeUp ? [...named].flatMap(name => takeUp(world, name, mutation)) : [];
};

/** Invariants of the model. */
export const beginningInvariants: readonly Invariant<BeginningWorld>[] = [
    {
        name: "a turn is kept with exactly the events that its caller has",
        holds: ({ kept, view }) => kept === undefined || JSON.stringify(kept) === JSON.stringify(dataOf(view)),
    },
];
