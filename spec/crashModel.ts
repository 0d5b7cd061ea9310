/**
 * Model of calls that upstreams end with. Two instances send a deadly call, at times beside a harmless one that both have in
 * flight at the upstream, and tell each other what they know, late and repeatedly. The records are those of the production
 * code.
 */
import { addCrash, clearCrashes, crashesUntilBlocked, findBlocked, mergeCrashRecords } from "@marigolddrift/policy";
import type { CrashRecord } from "@marigolddrift/policy";

import type { Invariant } from "./invariants.js";
import type { Mutation } from "./mutants.js";
import type { Step } from "./step.js";

const instances = ["a", "b"] as const;
type InstanceName = typeof instances[number];
type CallName = "deadly" | "harmless";

interface Knowledge {
    readonly deadly: CrashRecord;
    readonly harmless: CrashRecord;
    /** Time at which the harmless call was last answered here. */
    readonly answeredAt: number;
}

/** State of the crash model. */
export interface CrashWorld {
    readonly known: Readonly<Record<InstanceName, Knowledge>>;
    /** Number of upstreams that have ended, which is also the time. */
    readonly ended: number;
    /** Number of times that an instance sent the deadly call although it knew that three upstreams had ended with it. */
    readonly sentKnowingly: number;
    /** Whether an instance knew less of the deadly call after its peer told it something. */
    readonly forgot: boolean;
}

const maxEnded = 7;

/** Retries that are allowed after a call has ended three upstreams. */
const allowedRetries = 3;

const nothingKnown: Knowledge = {
    deadly: { crashes: [], clearedAt: -Infinity },
    harmless: { crashes: [], clearedAt: -Infinity },
    answeredAt: 0,
};

export const initialCrashWorld: CrashWorld = {
    known: { a: nothingKnown, b: nothingKnown },
    ended: 0,
    sentKnowingly: 0,
    forgot: false,
};

const isBlocked = ({ known, ended }: CrashWorld, name: InstanceName, call: CallName, mutation: Mutation): boolean => {
    const { deadly, harmless } = known[name];
    const records: [string, CrashRecord][] = mutation.ignoreExplained === true ?
        [[call, known[name][call]]] :
        [["deadly", deadly], ["harmless", harmless]];
    return findBlocked(records, ended, (a, b) => a.localeCompare(b)).has(call);
};

const withKnowledge = (world: CrashWorld, name: InstanceName, change: Partial<Knowledge>): CrashWorld => ({
    ...world,
    known: { ...world.known, [name]: { ...world.known[name], ...change } },
});

const addSeen = (world: CrashWorld, name: InstanceName, call: CallName, mutation: Mutation): CrashWorld => {
    const at = world.ended;
    const upstream = mutation.countPerInstance === true ? `${at}/${name}` : `${at}`;
    return withKnowledge(world, name, { [call]: addCrash(world.known[name][call], { upstream, at }) });
};

const sendSteps = (world: CrashWorld, name: InstanceName, mutation: Mutation): Step<CrashWorld>[] => {
    const mayNotSend = isBlocked(world, name, "deadly", mutation) && mutation.sendBlocked !== true;
    if (mayNotSend || world.ended >= maxEnded) {
        return [];
    }
    const knows = world.known[name].deadly.crashes.length >= crashesUntilBlocked;
    const sent = { ...world, ended: world.ended + 1, sentKnowingly: world.sentKnowingly + (knows ? 1 : 0) };
    const alone = addSeen(sent, name, "deadly", mutation);
    const beside = instances.reduce((from, other) => addSeen(from, other, "harmless", mutation), alone);
    return [
        { name: `an upstream ends with the deadly call of ${name}`, next: alone },
        { name: `an upstream ends with the deadly call of ${name} and the harmless one of both`, next: beside },
    ];
};

const answerSteps = (world: CrashWorld, name: InstanceName, mutation: Mutation): Step<CrashWorld>[] => {
    const { harmless } = world.known[name];
    if (harmless.crashes.length === 0 || isBlocked(world, name, "harmless", mutation)) {
        return [];
    }
    const cleared = mutation.keepAnswered === true ? harmless : clearCrashes(harmless, world.ended);
    const next = withKnowledge(world, name, { harmless: cleared, answeredAt: world.ended });
    return [{ name: `the harmless call is answered through ${name}`, next }];
};

const tell = (world: CrashWorld, from: InstanceName, to: InstanceName, mutation: Mutation): CrashWorld => {
    const [told, known] = [world.known[from], world.known[to]];
    const merge = (call: CallName): CrashRecord =>
        mutation.forgetOnMerge === true ? told[call] : mergeCrashRecords(known[call], told[call]);
    const next = withKnowledge(world, to, { deadly: merge("deadly"), harmless: merge("harmless") });
    const forgot = next.known[to].deadly.crashes.length < known.deadly.crashes.length;
    return { ...next, forgot: world.forgot || forgot };
};

/** Steps from a state of the crash model. */
export const crashSteps = (world: CrashWorld, mutation: Mutation): Step<CrashWorld>[] => [
    ...instances.flatMap(name => [...sendSteps(world, name, mutation), ...answerSteps(world, name, mutation)]),
    { name: "a tells b", next: tell(world, "a", "b", mutation) },
    { name: "b tells a", next: tell(world, "b", "a", mutation) },
];

/** Invariants of the crash model, as far as an instance can know. */
export const crashInvariants = (mutation: Mutation): readonly Invariant<CrashWorld>[] => [
    {
        name: "instances that know of three crashes of a call send it no more than three times",
        holds: ({ sentKnowingly }) => sentKnowingly <= allowedRetries,
    },
    { name: "what instances tell each other never makes one forget a crash", holds: world => !world.forgot },
    {
        name: "the end of one upstream counts once, however many instances see it",
        holds: ({ known, ended }) =>
            instances.every(name =>
                known[name].deadly.crashes.length <= ended && known[name].harmless.crashes.length <= ended
            ),
    },
    {
        name: "an answered call is cleared of all crashes before the answer",
        holds: ({ known }) =>
            instances.every(name => known[name].harmless.crashes.every(({ at }) => at > known[name].answeredAt)),
    },
    {
        name: "a call that upstreams ended with only beside a blocked one is not blocked",
        holds: world =>
            instances.every(name => {
                const deadly = new Set(world.known[name].deadly.crashes.map(({ upstream }) => upstream));
                const isExplained = world.known[name].harmless.crashes.every(({ upstream }) => deadly.has(upstream));
                return !isExplained || !isBlocked(world, name, "harmless", mutation);
            }),
    },
];
