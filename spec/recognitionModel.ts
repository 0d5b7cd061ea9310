/**
 * Model of instances that are added to a list, and lend shares once all others count with them. Each reads the list once it is registered, asks
 * those that it finds there, which may not be reached, and writes into its entry that it is recognized. One that never answers and
 * is not recognized itself is passed over, if its entry has changed since this one was registered.
 */
import type { Invariant } from "./invariants.js";
import type { Mutation } from "./mutants.js";
import type { Step } from "./step.js";

const names = ["x", "y", "z"] as const;
type Name = typeof names[number];

interface Entry {
    readonly revision: number;
    readonly isRecognized: boolean;
}

interface InstanceState {
    /** Revision at which it was registered; 0 before. */
    readonly registeredAt: number;
    /** The list as it was read last. */
    readonly list: Readonly<Partial<Record<Name, Entry>>> | undefined;
    /** Those that it counts with. */
    readonly counts: readonly Name[];
    readonly confirmedBy: readonly Name[];
    readonly lends: boolean;
}

/** State of the model. */
export interface RecognitionWorld {
    readonly revision: number;
    readonly entries: Readonly<Partial<Record<Name, Entry>>>;
    readonly instances: Readonly<Record<Name, InstanceState>>;
}

/** Changes of the list, which bound the states. */
const maxRevision = 6;

const unregistered: InstanceState = {
    registeredAt: 0,
    list: undefined,
    counts: [],
    confirmedBy: [],
    lends: false,
};

export const initialRecognitionWorld: RecognitionWorld = {
    revision: 0,
    entries: {},
    instances: { x: unregistered, y: unregistered, z: unregistered },
};

const add = (list: readonly Name[], name: Name): Name[] => [...new Set([...list, name])].sort();

const update = (world: RecognitionWorld, name: Name, change: Partial<InstanceState>): RecognitionWorld => ({
    ...world,
    instances: { ...world.instances, [name]: { ...world.instances[name], ...change } },
});

/** Writes an entry; the store numbers all changes. */
const write = (world: RecognitionWorld, name: Name, isRecognized: boolean): RecognitionWorld => {
    const revision = world.revision + 1;
    return { ...world, revision, entries: { ...world.entries, [name]: { revision, isRecognized } } };
};

const listed = (list: RecognitionWorld["entries"]): Name[] => names.filter(name => list[name] !== undefined);

const register = (world: RecognitionWorld, name: Name): Step<RecognitionWorld> => {
    const written = write(world, name, false);
    return { name: `${name} is registered`, next: update(written, name, { registeredAt: written.revision }) };
};

const read = (world: RecognitionWorld, name: Name): Step<RecognitionWorld> => {
    const counts = listed(world.entries).reduce(add, world.instances[name].counts);
    return { name: `${name} reads the list`, next: update(world, name, { list: world.entries, counts }) };
};

const ask = (world: RecognitionWorld, name: Name, other: Name): Step<RecognitionWorld> => {
    const counted = update(world, other, { counts: add(world.instances[other].counts, name) });
    const confirmedBy = add(world.instances[name].confirmedBy, other);
    return { name: `${other} confirms ${name}`, next: update(counted, name, { confirmedBy }) };
};

/** Whether the entry of a silent member shows that it can't be recognized without having found the instance in the list. */
const mayPassOver = ({ registeredAt, list }: InstanceState, other: Name, mutation: Mutation): boolean => {
    const entry = list![other]!;
    const hasChanged = entry.revision > registeredAt || mutation.passOverUnchanged === true;
    return !entry.isRecognized && hasChanged;
};

const conclude = (world: RecognitionWorld, name: Name, mutation: Mutation): Step<RecognitionWorld>[] => {
    const state = world.instances[name];
    const others = listed(state.list!).filter(other => other !== name);
    const isDone = others.every(other => state.confirmedBy.includes(other) || mayPassOver(state, other, mutation));
    const isUnchanged = world.entries[name]!.revision === state.list![name]?.revision ||
        mutation.concludeByOldList === true;
    return isDone && isUnchanged ?
        [{ name: `${name} is recognized`, next: update(write(world, name, true), name, { lends: true }) }] :
        [];
};

/** An instance that waits for a silent member changes its entry. */
const touch = (world: RecognitionWorld, other: Name): Step<RecognitionWorld> => ({
    name: `the entry of ${other} is changed`,
    next: write(world, other, false),
});

const stepsOf = (world: RecognitionWorld, name: Name, mutation: Mutation): Step<RecognitionWorld>[] => {
    const state = world.instances[name];
    const mayWrite = world.revision < maxRevision;
    if (state.registeredAt === 0) {
        return mayWrite ? [register(world, name)] : [];
    }
    if (state.lends) {
        return [];
    }
    const reading = [read(world, name)];
    if (state.list === undefined) {
        return reading;
    }
    const others = listed(state.list).filter(other => other !== name && !state.confirmedBy.includes(other));
    const asking = others.map(other => ask(world, name, other));
    const touching = others
        .filter(other => !world.entries[other]!.isRecognized && world.entries[other]!.revision < state.registeredAt)
        .map(other => touch(world, other));
    return [...reading, ...asking, ...mayWrite ? [...touching, ...conclude(world, name, mutation)] : []];
};

/** Steps from a state of the model. */
export const recognitionSteps = (world: RecognitionWorld, mutation: Mutation): Step<RecognitionWorld>[] =>
    names.flatMap(name => stepsOf(world, name, mutation));

/** Invariants of the model. */
export const recognitionInvariants: readonly Invariant<RecognitionWorld>[] = [
    {
        name: "instances that lend shares count with each other",
        holds: ({ instances }) => {
            const lenders = names.filter(name => instances[name].lends);
            return lenders.every(one => lenders.every(other => instances[one].counts.includes(other)));
        },
    },
];
