/**
 * Model of the permits for an upstream whose limit all instances share: instances lose and regain contact with each other,
 * freeze, and join without being known to all. Rates and buckets are those of the production code.
 */
import { grantingRate, takePermits, unreachableRate } from "@marigolddrift/policy";
import type { PermitBucket } from "@marigolddrift/policy";

import type { Invariant } from "./invariants.js";
import type { Mutation } from "./mutants.js";
import type { Step } from "./step.js";

/** In the order in which they are chosen to grant permits. */
const instances = ["a", "b", "c"] as const;
type InstanceName = typeof instances[number];

interface InstanceView {
    /** The others in its member list. */
    readonly known: readonly InstanceName[];
    /** Those of them that it takes for responsive. */
    readonly usable: readonly InstanceName[];
    readonly isFrozen: boolean;
    /** Whether the others have had the time to learn of it. */
    readonly isSettled: boolean;
    readonly granting: PermitBucket;
    readonly unreachable: PermitBucket;
}

/** State of the limit model. */
export interface LimitWorld {
    readonly time: number;
    readonly instances: Readonly<Record<InstanceName, InstanceView>>;
    /** Calls that the upstream got in the latest ticks. */
    readonly arrivals: readonly number[];
    readonly remainingChanges: number;
}

const perSecond = 8;
const tickMs = 1_000;
const grantsPerTick = 4;
const windowTicks = 4;
const maxTicks = 7;

/** Calls in a window of 4 s that the upstream bears: one and a half times what its limit allows, and 5 more. */
const allowedInWindow = 1.5 * perSecond * windowTicks + 5;

/** Calls that an instance wants to send in a part of a tick: more than the limit allows all of them. */
const demand = 8;

const emptyBucket: PermitBucket = { level: 0, at: 0 };

const othersOf = (name: InstanceName): InstanceName[] => instances.filter(other => other !== name);

const settled = (name: InstanceName): InstanceView => ({
    known: othersOf(name),
    usable: othersOf(name),
    isFrozen: false,
    isSettled: true,
    granting: emptyBucket,
    unreachable: emptyBucket,
});

/** All instances know each other, or `a` has just joined and nobody knows it yet. */
export const initialLimitWorlds: readonly LimitWorld[] = [false, true].map(isJoining => {
    const joining = { ...settled("a"), isSettled: false };
    const unaware = (name: InstanceName): InstanceView => ({
        ...settled(name),
        known: othersOf(name).filter(other => other !== "a"),
        usable: othersOf(name).filter(other => other !== "a"),
    });
    return {
        time: 0,
        instances: isJoining ?
            { a: joining, b: unaware("b"), c: unaware("c") } :
            { a: settled("a"), b: settled("b"), c: settled("c") },
        arrivals: [],
        remainingChanges: 3,
    };
});

type MutableViews = Record<InstanceName, InstanceView>;

/** The instance that another one asks for permits, by its own view. */
const chosenBy = (views: MutableViews, name: InstanceName): InstanceName =>
    instances.find(other => other === name || views[name].usable.includes(other))!;

const rateOf = (views: MutableViews, granter: InstanceName, mutation: Mutation): number => {
    const { known, isSettled } = views[granter];
    const isFirst = instances.find(other => other === granter || known.includes(other)) === granter;
    const mayGrantAll = isFirst && (isSettled || mutation.grantBeforeSettled === true);
    return grantingRate(perSecond, mayGrantAll || mutation.standInGrantsAll === true);
};

/** The instance that grants, after a request was passed on at most once; undefined if the asked one does not respond. */
const granterFor = (views: MutableViews, asking: InstanceName): InstanceName | undefined => {
    const asked = chosenBy(views, asking);
    if (views[asked].isFrozen) {
        return undefined;
    }
    const relayedTo = chosenBy(views, asked);
    return views[relayedTo].isFrozen ? asked : relayedTo;
};

/** Lets one instance ask for permits, and returns how many calls it sends. */
const send = (views: MutableViews, name: InstanceName, now: number, mutation: Mutation): number => {
    const granter = granterFor(views, name);
    if (granter === undefined) {
        const rate = mutation.unreachableUseAll === true ? perSecond : unreachableRate(perSecond, instances.length);
        const { bucket, granted } = takePermits(views[name].unreachable, rate, demand, now);
        views[name] = { ...views[name], unreachable: bucket };
        return granted;
    }
    const { bucket, granted } = takePermits(views[granter].granting, rateOf(views, granter, mutation), demand, now);
    views[granter] = { ...views[granter], granting: bucket };
    return granted;
};

const tick = (world: LimitWorld, mutation: Mutation): LimitWorld => {
    const views: MutableViews = { ...world.instances };
    let arrived = 0;
    for (let part = 1; part <= grantsPerTick; part++) {
        const now = world.time * tickMs + part * tickMs / grantsPerTick;
        const sending = instances.filter(name => !views[name].isFrozen);
        arrived += sending.reduce((sum, name) => sum + send(views, name, now, mutation), 0);
    }
    return {
        ...world,
        time: world.time + 1,
        instances: views,
        arrivals: [...world.arrivals, arrived].slice(-windowTicks),
    };
};

const change = (world: LimitWorld, name: InstanceName, view: Partial<InstanceView>): LimitWorld => ({
    ...world,
    instances: { ...world.instances, [name]: { ...world.instances[name], ...view } },
    remainingChanges: world.remainingChanges - 1,
});

const viewChanges = (world: LimitWorld, name: InstanceName): Step<LimitWorld>[] => {
    const view = world.instances[name];
    const lost = view.usable.map(other => ({
        name: `${name} no longer reaches ${other}`,
        next: change(world, name, { usable: view.usable.filter(peer => peer !== other) }),
    }));
    const regained = view.known.filter(other => !view.usable.includes(other)).map(other => ({
        name: `${name} reaches ${other} again`,
        next: change(world, name, { usable: instances.filter(peer => peer === other || view.usable.includes(peer)) }),
    }));
    const frozen = {
        name: `${name} ${view.isFrozen ? "resumes" : "freezes"}`,
        next: change(world, name, { isFrozen: !view.isFrozen }),
    };
    return [...lost, ...regained, frozen];
};

/** All that the others learn of a new instance is learnt before it counts as settled. */
const joinSteps = (world: LimitWorld): Step<LimitWorld>[] => {
    const unaware = instances.filter(name => name !== "a" && !world.instances[name].known.includes("a"));
    const learn = unaware.map(name => ({
        name: `${name} learns of a`,
        next: {
            ...change(world, name, { known: othersOf(name), usable: instances.filter(other => other !== name) }),
            remainingChanges: world.remainingChanges,
        },
    }));
    const settle = !world.instances.a.isSettled && unaware.length === 0 ?
        [{
            name: "a is settled",
            next: { ...change(world, "a", { isSettled: true }), remainingChanges: world.remainingChanges },
        }] :
        [];
    return [...learn, ...settle];
};

/** Steps from a state of the limit model. */
export const limitSteps = (world: LimitWorld, mutation: Mutation): Step<LimitWorld>[] => {
    const time = world.time < maxTicks ? [{ name: "a second passes", next: tick(world, mutation) }] : [];
    const changes = world.remainingChanges > 0 ? instances.flatMap(name => viewChanges(world, name)) : [];
    return [...time, ...changes, ...joinSteps(world)];
};

/** Invariants of the limit model. */
export const limitInvariants: readonly Invariant<LimitWorld>[] = [
    {
        name: "an upstream gets no more than one and a half times its limit, and 5 calls more, in 4 s",
        holds: ({ arrivals }) => arrivals.reduce((sum, count) => sum + count, 0) <= allowedInWindow,
    },
];
