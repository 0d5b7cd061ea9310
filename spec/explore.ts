/** Checks the invariants of the slot protocol and the bundle chain, or with --mutants that each mutant is detected. */
import { beginningInvariants, beginningSteps, initialBeginningWorld } from "./beginningModel.js";
import { bundleInvariants, bundleSteps, initialBundleWorld } from "./bundleModel.js";
import { crashInvariants, crashSteps, initialCrashWorld } from "./crashModel.js";
import { explore } from "./explorer.js";
import type { Exploration } from "./explorer.js";
import { invariants } from "./invariants.js";
import { initialLimitWorlds, limitInvariants, limitSteps } from "./limitModel.js";
import { mutants } from "./mutants.js";
import type { Mutation } from "./mutants.js";
import { protocolSteps } from "./protocolModel.js";
import { initialQuotaWorlds, quotaInvariants, quotaSteps } from "./quotaModel.js";
import { initialRecognitionWorld, recognitionInvariants, recognitionSteps } from "./recognitionModel.js";
import { initialResendWorld, resendInvariants, resendSteps } from "./resendModel.js";
import { scopes } from "./state.js";

const maxStates = 1_000_000;

const exploreScope = (scope: keyof typeof scopes, mutation: Mutation): Exploration =>
    explore(scopes[scope], world => protocolSteps(world, mutation), invariants, maxStates);

const exploreBundles = (mutation: Mutation): Exploration =>
    explore(initialBundleWorld, world => bundleSteps(world, mutation), bundleInvariants, maxStates);

const exploreAll = <W>(worlds: readonly W[], exploreOne: (world: W) => Exploration): Exploration => {
    const results = worlds.map(exploreOne);
    return {
        states: results.reduce((sum, { states }) => sum + states, 0),
        depth: Math.max(...results.map(({ depth }) => depth)),
        complete: results.every(({ complete }) => complete),
        violation: results.find(({ violation }) => violation !== undefined)?.violation,
    };
};

const exploreLimits = (mutation: Mutation): Exploration =>
    exploreAll(
        initialLimitWorlds,
        world => explore(world, from => limitSteps(from, mutation), limitInvariants, maxStates),
    );

const exploreQuotas = (mutation: Mutation): Exploration =>
    exploreAll(
        initialQuotaWorlds,
        world => explore(world, from => quotaSteps(from, mutation), quotaInvariants, maxStates),
    );

const exploreCrashes = (mutation: Mutation): Exploration =>
    explore(initialCrashWorld, world => crashSteps(world, mutation), crashInvariants(mutation), maxStates);

const exploreBeginnings = (mutation: Mutation): Exploration =>
    explore(initialBeginningWorld, world => beginningSteps(world, mutation), beginningInvariants, maxStates);

const exploreResends = (mutation: Mutation): Exploration =>
    explore(initialResendWorld, world => resendSteps(world, mutation), resendInvariants, maxStates);

const exploreRecognition = (mutation: Mutation): Exploration =>
    explore(
        initialRecognitionWorld,
        world => recognitionSteps(world, mutation),
        recognitionInvariants,
        maxStates,
    );

const exploreWorld = (world: typeof mutants[string]["world"], mutation: Mutation): Exploration => {
    switch (world) {
        case "beginnings":
            return exploreBeginnings(mutation);
        case "recognition":
            return exploreRecognition(mutation);
        case "resends":
            return exploreResends(mutation);
        case "bundles":
            return exploreBundles(mutation);
        case "crashes":
            return exploreCrashes(mutation);
        case "quotas":
            return exploreQuotas(mutation);
        case "limits":
            return exploreLimits(mutation);
        case "leases":
        case "deadlines":
        case "budget":
            return exploreScope(world, mutation);
    }
};

const print = (name: string, { complete, depth, states, violation }: Exploration): void => {
    const outcome = complete ?
        "all visited" :
        violation === undefined ?
        "limit reached" :
        `broken: ${violation.invariant}`;
    console.log(`${name}: ${states} states, depth ${depth}, ${outcome}`);
};

const check = (): boolean => {
    const results = {
        leases: exploreScope("leases", {}),
        deadlines: exploreScope("deadlines", {}),
        budget: exploreScope("budget", {}),
        bundles: exploreBundles({}),
        limits: exploreLimits({}),
        crashes: exploreCrashes({}),
        quotas: exploreQuotas({}),
        beginnings: exploreBeginnings({}),
        resends: exploreResends({}),
        recognition: exploreRecognition({}),
    };
    for (const [name, result] of Object.entries(results)) {
        print(name, result);
        result.violation?.trace.forEach(step => console.log(`    ${step}`));
    }
    const checked = [
        ...invariants,
        ...bundleInvariants,
        ...limitInvariants,
        ...crashInvariants({}),
        ...quotaInvariants,
        ...beginningInvariants,
        ...resendInvariants,
        ...recognitionInvariants,
    ];
    checked.forEach(({ name }) => console.log(`  checked: ${name}`));
    return Object.values(results).every(result => result.complete);
};

const checkMutants = (): boolean => {
    let allDetected = true;
    for (const [name, { mutation, world }] of Object.entries(mutants)) {
        const result = exploreWorld(world, mutation);
        print(name, result);
        allDetected &&= result.violation !== undefined;
    }
    return allDetected;
};

const passed = process.argv.includes("--mutants") ? checkMutants() : check();
process.exit(passed ? 0 : 1);
