/** The configuration chain: versions that reach two daemons by the store, by each other, late, or after a restart. */
import { createKeyPair, evaluateBundle, signBundle } from "@marigolddrift/common";
import type { BundleDocument, BundleRelease, Rollout } from "@marigolddrift/common";

import type { Invariant } from "./invariants.js";
import type { Mutation } from "./mutants.js";
import type { Step } from "./step.js";

type DaemonName = "x" | "y";

/** One daemon's view of the configuration. */
interface DaemonView {
    /** Version in force; 0 if there is none. */
    readonly version: number;
    /** Version in its data folder. */
    readonly disk: number;
    /** Highest version that it ever had in force. */
    readonly highest: number;
    readonly up: boolean;
}

/** The world of the bundle model. */
export interface BundleWorld {
    /** Newest version that is rolled out. */
    readonly rolledOut: number;
    /** Whether a forged version is about. */
    readonly forged: boolean;
    readonly daemons: Readonly<Record<DaemonName, DaemonView>>;
    readonly restarts: number;
    readonly reverted: boolean;
    readonly forgedInForce: boolean;
}

const versions = 3;
const forgedVersion = 9;
const region = "r";
const operators = { amira: createKeyPair(), basil: createKeyPair(), mallory: createKeyPair() };
const trusted = { amira: operators.amira.publicKey, basil: operators.basil.publicKey };

const carry = (version: number, signer: "basil" | "mallory"): BundleRelease => {
    const base: BundleDocument = {
        version,
        parent: "",
        text: `v${version}`,
        proposer: "amira",
        proposedAt: "",
        reviews: [],
        nonce: "",
    };
    const signature = signBundle(base, "sign-off", operators[signer].privateKey);
    const document = { ...base, signOff: { operator: "basil", signature } };
    const entry = {
        region,
        at: "",
        operator: "basil",
        signature: signBundle(document, `rollout:${region}`, operators[signer].privateKey),
    };
    const rollout: Rollout = { version, regions: [entry], nonce: "" };
    return { document, rollout };
};

const carried = new Map(
    Array.from({ length: versions }, (_, index) => [index + 1, carry(index + 1, "basil")] as const),
);
carried.set(forgedVersion, carry(forgedVersion, "mallory"));
const verdicts = new Map<string, boolean>();

/** Whether the product takes a version; signatures are checked once per pair of versions. */
const accepts = (current: number, offered: number, mutation: Mutation): boolean => {
    const key = `${current}/${offered}`;
    let accepted = verdicts.get(key);
    if (accepted === undefined) {
        accepted = evaluateBundle(current, carried.get(offered)!, region, trusted).kind === "take";
        verdicts.set(key, accepted);
    }
    const isOlder = mutation.acceptOlder === true && offered !== forgedVersion;
    const isForged = mutation.skipSignature === true && offered > current;
    return accepted || isOlder || isForged;
};

const offer = (world: BundleWorld, name: DaemonName, version: number, mutation: Mutation): BundleWorld => {
    const daemon = world.daemons[name];
    if (!daemon.up || version === 0 || !accepts(daemon.version, version, mutation)) {
        return world;
    }
    const next = { version, disk: name === "x" ? version : 0, highest: Math.max(daemon.highest, version), up: true };
    return {
        ...world,
        daemons: { ...world.daemons, [name]: next },
        reverted: world.reverted || version < daemon.highest,
        forgedInForce: world.forgedInForce || version === forgedVersion,
    };
};

const other = (name: DaemonName): DaemonName => name === "x" ? "y" : "x";

/** A daemon restarts while the store is away: it has its data folder and, if they are up, its peers. */
const restart = (world: BundleWorld, name: DaemonName, mutation: Mutation): BundleWorld => {
    const daemon = world.daemons[name];
    const peer = world.daemons[other(name)];
    const stopped = { ...daemon, version: 0, highest: 0 };
    let next: BundleWorld = { ...world, restarts: world.restarts - 1, daemons: { ...world.daemons, [name]: stopped } };
    next = offer(next, name, daemon.disk, mutation);
    if (!mutation.ignorePeers) {
        next = offer(next, name, peer.version, mutation);
    }
    const served = next.daemons[name].version;
    const floor = peer.version;
    return { ...next, reverted: next.reverted || (served > 0 && served < floor) };
};

export const initialBundleWorld: BundleWorld = {
    rolledOut: 0,
    forged: false,
    daemons: { x: { version: 0, disk: 0, highest: 0, up: true }, y: { version: 0, disk: 0, highest: 0, up: true } },
    restarts: 2,
    reverted: false,
    forgedInForce: false,
};

/** All steps that may come next. */
export const bundleSteps = (world: BundleWorld, mutation: Mutation): Step<BundleWorld>[] => {
    const steps: Step<BundleWorld>[] = [];
    if (world.rolledOut < versions) {
        steps.push({
            name: `version ${world.rolledOut + 1} is rolled out`,
            next: { ...world, rolledOut: world.rolledOut + 1 },
        });
    }
    if (!world.forged) {
        steps.push({ name: "a forged version appears", next: { ...world, forged: true } });
    }
    for (const name of ["x", "y"] as const) {
        for (let version = 1; version <= world.rolledOut; version++) {
            steps.push({
                name: `version ${version} reaches ${name}, perhaps late`,
                next: offer(world, name, version, mutation),
            });
        }
        steps.push({
            name: `${name} asks its peer`,
            next: offer(world, name, world.daemons[other(name)].version, mutation),
        });
        if (world.forged) {
            steps.push({
                name: `the forged version reaches ${name}`,
                next: offer(world, name, forgedVersion, mutation),
            });
        }
        if (world.restarts > 0) {
            steps.push({ name: `${name} restarts while the store is away`, next: restart(world, name, mutation) });
        }
    }
    return steps;
};

export const bundleInvariants: readonly Invariant<BundleWorld>[] = [
    { name: "an accepted configuration never reverts", holds: world => !world.reverted },
    { name: "only signed configurations are in force", holds: world => !world.forgedInForce },
];
