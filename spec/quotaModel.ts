/**
 * Model of the quota of one workspace over instances that lend their shares: instances lose and regain contact, restart, and hold
 * permits back; the limit is lowered. In a second model, an instance is added of which the other one learns by contact only, as it can't read
 * the list of members. Leases, shares and buckets are those of the production code.
 */
import {
    createQuotaBucket,
    cutQuota,
    leaseOf,
    lendShare,
    mayLend,
    offerShare,
    refillQuota,
    scaleQuota,
    shareOfSlot,
    takeQuota,
} from "@marigolddrift/policy";
import type { LentShare, QuotaBucket, QuotaTerms, ScaledQuota, ShareLease, ShareOffer } from "@marigolddrift/policy";

import type { Invariant } from "./invariants.js";
import type { Mutation } from "./mutants.js";
import type { Step } from "./step.js";

/** In the order in which they are chosen to grant permits. */
const instances = ["a", "b", "c"] as const;
type InstanceName = typeof instances[number];

interface InstanceState {
    /** Whether it has been added to the list of members. */
    readonly isPresent: boolean;
    /** The instances among which it divides the quota, including itself. */
    readonly known: readonly InstanceName[];
    /** Instances that count with it. */
    readonly confirmedBy: readonly InstanceName[];
    /** Whether all others that lend shares count with it, as far as it knows. */
    readonly isRecognized: boolean;
    /** Whether its entry in the list says so, which outlives its process. */
    readonly isListedAsRecognized: boolean;
    /** Time until which shares may be spent that it lent before it knew of the latest instance. */
    readonly formerSharesUntil: number;
    readonly terms: QuotaTerms;
    /** Whether it knows of the lowered limit. */
    readonly isInformed: boolean;
    /** Identifies the process. */
    readonly issuer: number;
    readonly lent: LentShare | undefined;
    readonly offer:
        | { readonly granter: InstanceName; readonly offer: ShareOffer; readonly receivedAt: number; }
        | undefined;
    /** Shares that others lend to it. */
    readonly leases: Readonly<Partial<Record<InstanceName, ShareLease>>>;
    readonly share: number;
    readonly bucket: QuotaBucket;
    /** Permits that were granted to it and not used. */
    readonly held: readonly { readonly count: number; readonly expiresAt: number; }[];
    /** Whether its calls have permits but are not sent yet. */
    readonly isHolding: boolean;
}

type Instances = Readonly<Record<InstanceName, InstanceState>>;

/** State of the quota model. */
export interface QuotaWorld {
    readonly time: number;
    readonly terms: QuotaTerms;
    readonly instances: Instances;
    /** Pairs of instances that do not reach each other. */
    readonly cuts: readonly string[];
    readonly loweredAt: number | undefined;
    /** Requests that ran in the latest ticks. */
    readonly sent: readonly number[];
    readonly remainingChanges: number;
}

const tickMs = 100;
const maxTicks = 26;
const windowTicks = 8;
/** Changes happen at every fourth tick only, and so early that a window follows, to bound the number of states. */
const changeTicks = 4;
const lastChange = 12;
const windowMs = windowTicks * tickMs;
/** Longer than a window, so that a share which is lent twice is spent twice for a whole one. */
const leaseMs = 1.5 * windowMs;
const permitTtlMs = 110;
/** As in production, a permit is valid for half of this part of the window. */
const over = 2 * permitTtlMs / windowMs;
const slack = 1;
/** Quotas of which most is the rate, or the burst: a share that is lent twice exceeds the one, a bucket that is full again the other. */
const steady: QuotaTerms = { perSecond: 20, burst: 2 };
const bursty: QuotaTerms = { perSecond: 5, burst: 24 };
const lowered: QuotaTerms = { perSecond: 0.5, burst: 1 };

/** Calls that each instance would send in a tick: more than the limit allows all of them. */
const demand = 4;

const allowed = ({ perSecond, burst }: QuotaTerms): number =>
    (perSecond * windowMs / 1_000 + burst) * (1 + over) + slack;

/** What one instance that is cut off may send in a window under the old limit. */
const ownShareOfOld = ({ perSecond, burst }: QuotaTerms): number =>
    (perSecond * windowMs / 1_000 + burst) / instances.length;

const scaled = ({ terms, isInformed, share }: InstanceState): ScaledQuota =>
    scaleQuota(isInformed ? lowered : terms, share, true, permitTtlMs);

const lastOffer = (now: number): ShareOffer => offerShare(1, leaseMs, now);

/** All shares are lent to `a`, whose bucket is full. */
const initialWorld = (terms: QuotaTerms, present: readonly InstanceName[]): QuotaWorld => ({
    time: 0,
    terms,
    instances: Object.fromEntries(instances.map(name => [name, {
        isPresent: present.includes(name),
        known: present,
        confirmedBy: [],
        isRecognized: present.includes(name),
        isListedAsRecognized: present.includes(name),
        formerSharesUntil: 0,
        terms,
        isInformed: false,
        issuer: 1,
        lent: lendShare(undefined, "a", 0, leaseMs),
        offer: { granter: "a", offer: lastOffer(0), receivedAt: 0 },
        leases: name === "a" ?
            Object.fromEntries(present.map(lender => [lender, leaseOf(lastOffer(0), 1, present.length, 1, 0)!])) :
            {},
        share: name === "a" ? 1 : 0,
        bucket: { ...createQuotaBucket(0), level: name === "a" ? terms.burst : 0 },
        held: [],
        isHolding: false,
    }])) as unknown as Instances,
    cuts: [],
    loweredAt: undefined,
    sent: [],
    remainingChanges: 3,
});

export const initialQuotaWorlds: readonly QuotaWorld[] = [
    ...[steady, bursty].map(terms => initialWorld(terms, instances)),
    initialWorld(steady, ["a"]),
];

const linkOf = (one: InstanceName, other: InstanceName): string => [one, other].sort().join("-");

type MutableInstances = Record<InstanceName, InstanceState>;

const presentIn = (all: Instances): InstanceName[] => instances.filter(name => all[name].isPresent);

/** An instance that is not recognized yet asks another one, which counts with it from then on. */
const askToBeCounted = (all: MutableInstances, name: InstanceName, other: InstanceName, now: number): void => {
    const asked = all[other];
    if (!asked.known.includes(name)) {
        const formerSharesUntil = asked.lent?.until ?? 0;
        all[other] = { ...asked, known: [...asked.known, name], formerSharesUntil };
    }
    if (now >= all[other].formerSharesUntil) {
        all[name] = { ...all[name], confirmedBy: [...new Set([...all[name].confirmedBy, other])] };
    }
};

/** Asks all others that can be reached, until all that are known have confirmed. */
const seekRecognition = (all: MutableInstances, name: InstanceName, world: QuotaWorld, now: number): void => {
    if (all[name].isRecognized) {
        return;
    }
    const others = all[name].known.filter(other => other !== name);
    const reached = others.filter(other => !world.cuts.includes(linkOf(name, other)));
    reached.forEach(other => askToBeCounted(all, name, other, now));
    const isRecognized = others.every(other => all[name].confirmedBy.includes(other));
    all[name] = { ...all[name], isRecognized, isListedAsRecognized: isRecognized };
};

/** Ends expired leases and brings level and share up to date. */
const settle = (state: InstanceState, now: number, mutation: Mutation): InstanceState => {
    const entries = Object.entries(state.leases).filter(([, { until }]) =>
        mutation.keepExpiredLeases === true || until > now
    );
    const leases = Object.fromEntries(entries) as InstanceState["leases"];
    const share = shareOfSlot(Object.values(leases), 0);
    const cut = cutQuota(refillQuota(state.bucket, scaled(state), now), state.share, share);
    const unspent = mutation.startFull === true ? state.terms.burst * Math.max(0, share - state.share) : 0;
    return { ...state, leases, share, bucket: { ...cut, level: cut.level + unspent } };
};

/** One exchange with the granting instance: accepts its last offer, takes permits, and receives the next offer. */
const exchange = (
    all: MutableInstances,
    name: InstanceName,
    granter: InstanceName,
    now: number,
    mutation: Mutation,
): number => {
    const { lent, offer, isRecognized, known } = all[name];
    const maySpendShare = isRecognized || mutation.lendUnrecognized === true;
    if (maySpendShare && offer?.granter === granter && (mayLend(lent, granter, now) || mutation.lendTwice === true)) {
        all[name] = { ...all[name], lent: lendShare(lent, granter, offer.receivedAt, leaseMs) };
        const lease = leaseOf(offer.offer, all[granter].issuer, known.length, 1, now);
        const leases = { ...all[granter].leases, ...(lease === undefined ? {} : { [name]: lease }) };
        all[granter] = settle({ ...all[granter], leases }, now, mutation);
    }
    const { bucket, granted } = takeQuota(all[granter].bucket, scaled(all[granter]), demand, 0, now);
    all[granter] = { ...all[granter], bucket };
    const next = { granter, offer: offerShare(all[granter].issuer, leaseMs, now), receivedAt: now };
    all[name] = { ...all[name], offer: next };
    return granted;
};

/** Sends what the instance holds, unless its calls are held back; returns the number of requests that run. */
const send = (all: MutableInstances, name: InstanceName, granted: number, now: number, mutation: Mutation): number => {
    const state = all[name];
    const isValid = (expiresAt: number): boolean => expiresAt > now || mutation.useExpiredPermits === true;
    const held = [...state.held.filter(({ expiresAt }) => isValid(expiresAt)), {
        count: granted,
        expiresAt: now + permitTtlMs,
    }];
    all[name] = { ...state, held: state.isHolding ? held : [] };
    return state.isHolding ? 0 : held.reduce((sum, { count }) => sum + count, 0);
};

const tick = (world: QuotaWorld, mutation: Mutation): QuotaWorld => {
    const now = (world.time + 1) * tickMs;
    const all: MutableInstances = { ...world.instances };
    const present = presentIn(all);
    present.forEach(name => all[name] = settle(all[name], now, mutation));
    present.forEach(name => seekRecognition(all, name, world, now));
    let sent = 0;
    for (const name of present) {
        const isReached = (other: InstanceName): boolean => !world.cuts.includes(linkOf(name, other));
        const granter = instances.find(other =>
            other === name || (all[name].known.includes(other) && isReached(other))
        )!;
        const granted = exchange(all, name, granter, now, mutation);
        sent += send(all, name, granted, now, mutation);
    }
    return { ...world, time: world.time + 1, instances: all, sent: [...world.sent, sent].slice(-windowTicks) };
};

/** Whether all instances have been there from the start. */
const isWhole = ({ instances: { b } }: QuotaWorld): boolean => b.isPresent;

const change = (world: QuotaWorld, next: Partial<QuotaWorld>): QuotaWorld => ({
    ...world,
    ...next,
    remainingChanges: world.remainingChanges - 1,
});

const update = (world: QuotaWorld, name: InstanceName, state: Partial<InstanceState>): Instances => ({
    ...world.instances,
    [name]: { ...world.instances[name], ...state },
});

/** A process that starts does not know what the one before had spent or lent; it reads who is listed, and what its own entry says. */
const restart = (world: QuotaWorld, name: InstanceName, mutation: Mutation): QuotaWorld => {
    const now = world.time * tickMs;
    const { issuer, isListedAsRecognized } = world.instances[name];
    return change(world, {
        instances: update(world, name, {
            known: presentIn(world.instances),
            confirmedBy: [],
            isRecognized: isListedAsRecognized || mutation.trustFormerEntry === true,
            formerSharesUntil: 0,
            issuer: issuer + 1,
            lent: { granter: "its former process", until: now + leaseMs },
            offer: undefined,
            leases: {},
            share: 0,
            bucket: createQuotaBucket(now),
            held: [],
            isHolding: false,
        }),
    });
};

/** An instance registers itself, and reads who is listed. */
const addStep = (world: QuotaWorld): Step<QuotaWorld>[] => {
    const added: InstanceName = "c";
    if (presentIn(world.instances).length > 1) {
        return [];
    }
    const known: InstanceName[] = [...presentIn(world.instances), added];
    const next = change(world, { instances: update(world, added, { isPresent: true, known }) });
    return [{ name: `${added} is added`, next }];
};

const pairs: readonly (readonly [InstanceName, InstanceName])[] = [["a", "b"], ["a", "c"], ["b", "c"]];

const linkSteps = (world: QuotaWorld): Step<QuotaWorld>[] =>
    pairs.filter(pair => isWhole(world) || !pair.includes("b")).map(([one, other]) => {
        const link = linkOf(one, other);
        const isCut = world.cuts.includes(link);
        const cuts = isCut ? world.cuts.filter(cut => cut !== link) : [...world.cuts, link].sort();
        return {
            name: `${one} and ${other} ${isCut ? "reach each other again" : "lose contact"}`,
            next: change(world, { cuts }),
        };
    });

/** The lowered limit reaches all that are in contact with the others; `a` learns of it with its next contact. */
const lowerStep = (world: QuotaWorld): Step<QuotaWorld>[] => {
    if (world.loweredAt !== undefined || !isWhole(world)) {
        return [];
    }
    const isCutOff = (name: InstanceName): boolean => world.cuts.filter(cut => cut.includes(name)).length === 2;
    const informed = instances.map(name => [name, { ...world.instances[name], isInformed: !isCutOff(name) }]);
    const next = change(world, { instances: Object.fromEntries(informed) as Instances, loweredAt: world.time });
    return [{ name: "the limit is lowered", next }];
};

/** Steps from a state of the quota model. */
export const quotaSteps = (world: QuotaWorld, mutation: Mutation): Step<QuotaWorld>[] => {
    const time = world.time < maxTicks ? [{ name: "100 ms pass", next: tick(world, mutation) }] : [];
    if (world.remainingChanges === 0 || world.time > lastChange || world.time % changeTicks !== 0) {
        return time;
    }
    const present = presentIn(world.instances);
    const restarts = present.map(name => ({ name: `${name} restarts`, next: restart(world, name, mutation) }));
    const holds = present.map(name => {
        const isHolding = !world.instances[name].isHolding;
        return {
            name: `${name} ${isHolding ? "holds its calls back" : "sends the calls that it held back"}`,
            next: change(world, { instances: update(world, name, { isHolding }) }),
        };
    });
    return [...time, ...restarts, ...holds, ...linkSteps(world), ...lowerStep(world), ...addStep(world)];
};

const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

/** Invariants of the quota model. */
export const quotaInvariants: readonly Invariant<QuotaWorld>[] = [
    {
        name: "in every window, no more requests of a workspace run than its quota allows",
        holds: ({ sent, terms }) => sum(sent) <= allowed(terms),
    },
    {
        name:
            "a lowered limit holds one lease and one window later, except for the share of an instance that is cut off",
        holds: ({ sent, time, loweredAt, terms }) =>
            loweredAt === undefined || time < loweredAt + leaseMs / tickMs + windowTicks ||
            sum(sent) <= allowed(lowered) + ownShareOfOld(terms),
    },
];
