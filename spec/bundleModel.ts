/** Model of configuration rollout: versions arrive from the store or the peer, late or after a restart. */
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
    /** Version stored in its data folder; 0 if there is none. */
    readonly storedVersion: number;
    /** Highest version that has been in force since its last restart. */
    readonly highestVersion: number;
    readonly isUp: boolean;
}

/** State of the bundle model. */
export interface BundleWorld {
    /** Newest version that has been rolled out. */
    readonly rolledOut: number;
    /** Whether a forged version is in circulation. */
    readonly isForgeryOffered: boolean;
    readonly daemons: Readonly<Record<DaemonName, DaemonView>>;
    readonly remainingRestarts: number;
    readonly hasReverted: boolean;
    readonly hasActivatedForgery: boolean;
}

const maxVersion = 3;
const forgedVersion = 9;
const region = "r";
const operators = { amira: createKeyPair(), basil: createKeyPair(), mallory: createKeyPair() };
const trusted = { amira: operators.amira.publicKey, basil: operators.basil.publicKey };

const createBundle = (version: number, signer: "basil" | "mallory"): BundleRelease => {
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

const bundlesByVersion = new Map(
    Array.from({ length: maxVersion }, (_, index) => [index + 1, createBundle(index + 1, "basil")] as const),
);
bundlesByVersion.set(forgedVersion, createBundle(forgedVersion, "mallory"));
const acceptanceCache = new Map<string, boolean>();

/** Whether the production code accepts a version. Cached, so that signatures are verified once per pair of versions. */
const accepts = (current: number, offered: number, mutation: Mutation): boolean => {
    const key = `${current}/${offered}`;
    let accepted = acceptanceCache.get(key);
    if (accepted === undefined) {
        accepted = evaluateBundle(current, bundlesByVersion.get(offered)!, region, trusted).kind === "take";
        acceptanceCache.set(key, accepted);
    }
    const acceptsOlder = mutation.acceptOlder === true && offered !== forgedVersion;
    const acceptsForged = mutation.skipSignature === true && offered > current;
    return accepted || acceptsOlder || acceptsForged;
};

const offerVersion = (world: BundleWorld, name: DaemonName, version: number, mutation: Mutation): BundleWorld => {
    const daemon = world.daemons[name];
    if (!daemon.isUp || version === 0 || !accepts(daemon.version, version, mutation)) {
        return world;
    }
    const next = {
        version,
        storedVersion: name === "x" ? version : 0,
        highestVersion: Math.max(daemon.highestVersion, version),
        isUp: true,
    };
    return {
        ...world,
        daemons: { ...world.daemons, [name]: next },
        hasReverted: world.hasReverted || version < daemon.highestVersion,
        hasActivatedForgery: world.hasActivatedForgery || version === forgedVersion,
    };
};

const peerOf = (name: DaemonName): DaemonName => name === "x" ? "y" : "x";

/** Restarts a daemon while the store is unavailable: it loads its data folder and then asks its peer, if that is up. */
const restart = (world: BundleWorld, name: DaemonName, mutation: Mutation): BundleWorld => {
    const daemon = world.daemons[name];
    const peer = world.daemons[peerOf(name)];
    const stopped = { ...daemon, version: 0, highestVersion: 0 };
    let next: BundleWorld = {
        ...world,
        remainingRestarts: world.remainingRestarts - 1,
        daemons: { ...world.daemons, [name]: stopped },
    };
    next = offerVersion(next, name, daemon.storedVersion, mutation);
    if (!mutation.ignorePeers) {
        next = offerVersion(next, name, peer.version, mutation);
    }
    const servedVersion = next.daemons[name].version;
    const peerVersion = peer.version;
    return { ...next, hasReverted: next.hasReverted || (servedVersion > 0 && servedVersion < peerVersion) };
};

export const initialBundleWorld: BundleWorld = {
    rolledOut: 0,
    isForgeryOffered: false,
    daemons: {
        x: { version: 0, storedVersion: 0, highestVersion: 0, isUp: true },
        y: { version: 0, storedVersion: 0, highestVersion: 0, isUp: true },
    },
    remainingRestarts: 2,
    hasReverted: false,
    hasActivatedForgery: false,
};

/** All steps that are enabled in a state. */
export const bundleSteps = (world: BundleWorld, mutation: Mutation): Step<BundleWorld>[] => {
    const steps: Step<BundleWorld>[] = [];
    if (world.rolledOut < maxVersion) {
        steps.push({
            name: `version ${world.rolledOut + 1} is rolled out`,
            next: { ...world, rolledOut: world.rolledOut + 1 },
        });
    }
    if (!world.isForgeryOffered) {
        steps.push({ name: "a forged version appears", next: { ...world, isForgeryOffered: true } });
    }
    for (const name of ["x", "y"] as const) {
        for (let version = 1; version <= world.rolledOut; version++) {
            steps.push({
                name: `version ${version} reaches ${name}, possibly late`,
                next: offerVersion(world, name, version, mutation),
            });
        }
        steps.push({
            name: `${name} asks its peer`,
            next: offerVersion(world, name, world.daemons[peerOf(name)].version, mutation),
        });
        if (world.isForgeryOffered) {
            steps.push({
                name: `the forged version reaches ${name}`,
                next: offerVersion(world, name, forgedVersion, mutation),
            });
        }
        if (world.remainingRestarts > 0) {
            steps.push({
                name: `${name} restarts while the store is unavailable`,
                next: restart(world, name, mutation),
            });
        }
    }
    return steps;
};

export const bundleInvariants: readonly Invariant<BundleWorld>[] = [
    { name: "an accepted configuration never reverts", holds: world => !world.hasReverted },
    { name: "only signed configurations are in force", holds: world => !world.hasActivatedForgery },
];
