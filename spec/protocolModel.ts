/** Steps of the slot protocol. Records, writers and accounts are changed only by the production functions. */
import {
    claimSlot,
    hold,
    onApplied,
    onConflict,
    onNoReply,
    onReadBack,
    raiseReservation,
    settle,
} from "@marigolddrift/ledger";
import type { WriterState } from "@marigolddrift/ledger";
import type { Step } from "./step.js";

import { sendSteps } from "./callSteps.js";
import type { Mutation } from "./mutants.js";
import { budgetChunk, programDeadline, programName } from "./state.js";
import type { OwnerName, OwnerState, PendingWrite, World } from "./state.js";
import {
    abandonSlot,
    applyWriterState,
    consumeStep,
    continueAfterWrite,
    ownerNames,
    startWrite,
    withOwner,
} from "./worldSteps.js";

/** Steps in which the store applies or refuses a pending write, its reply is lost, or its issuer times out. */
const storeSteps = (world: World, mutation: Mutation): Step<World>[] =>
    world.pendingWrites.flatMap((write, index) => {
        const remaining = { ...world, pendingWrites: world.pendingWrites.filter((_, at) => at !== index) };
        const isCurrent = (world.store?.revision ?? 0) === write.revision || mutation.skipRevisionCheck === true;
        const isFenced = write.fence !== undefined && world.leases[write.fence] &&
            mutation.skipFormerLeaseCheck !== true;
        const applies = isCurrent && !isFenced;
        const applied = applies ? applyWrite(remaining, write) : remaining;
        const steps = [{
            name: `store ${applies ? "applies" : "refuses"} a write of ${write.issuer}`,
            next: handleReply(applied, write, applies, mutation),
        }];
        if (write.awaited && world.remainingSteps.replyLosses > 0) {
            const unanswered = handleLostReply(consumeStep(applied, "replyLosses"), write.issuer, mutation);
            steps.push({ name: `the reply to ${write.issuer} is lost`, next: unanswered });
            const abandoned = {
                ...world,
                pendingWrites: world.pendingWrites.map((other, at) =>
                    at === index ? { ...other, awaited: false } : other
                ),
            };
            steps.push({
                name: `${write.issuer} times out waiting for a reply`,
                next: handleLostReply(consumeStep(abandoned, "replyLosses"), write.issuer, mutation),
            });
        }
        return steps;
    });

const applyWrite = (world: World, write: PendingWrite): World => {
    const revision = world.revision + 1;
    const { epoch } = write.next;
    const firstWriter = world.writersByEpoch[epoch];
    return {
        ...world,
        revision,
        store: { record: write.next, revision },
        writersByEpoch: { ...world.writersByEpoch, [epoch]: firstWriter ?? write.issuer },
        hasSharedEpoch: world.hasSharedEpoch || (firstWriter !== undefined && firstWriter !== write.issuer),
    };
};

const handleReply = (world: World, write: PendingWrite, applied: boolean, mutation: Mutation): World => {
    const owner = world.owners[write.issuer];
    if (!write.awaited || !owner.alive || owner.writer?.kind !== "writing") {
        return world;
    }
    const isClaim = owner.claimEpoch > 0;
    const settled = applied ? onApplied(owner.writer, world.revision) : onConflict(owner.writer, world.store);
    const writer: WriterState = isClaim && settled.kind === "writing" ? { kind: "lost" } : settled;
    return continueAfterWrite(applyWriterState(world, write.issuer, writer), write.issuer, mutation);
};

const handleLostReply = (world: World, name: OwnerName, mutation: Mutation): World => {
    const owner = world.owners[name];
    if (!owner.alive || owner.writer?.kind !== "writing") {
        return world;
    }
    if (mutation.assumeApplied) {
        const writer = onApplied(owner.writer, owner.writer.stored.revision + 1);
        return continueAfterWrite(withOwner(world, name, { writer }), name, mutation);
    }
    return withOwner(world, name, { writer: onNoReply(owner.writer) });
};

/** Steps that an instance initiates itself. */
const ownerSteps = (world: World, name: OwnerName, mutation: Mutation): Step<World>[] => {
    const owner = world.owners[name];
    if (!owner.alive || owner.paused) {
        return [];
    }
    return [
        ...claimSteps(world, name, owner, mutation),
        ...readBackSteps(world, name, owner, mutation),
        ...spendSteps(world, name, owner, mutation),
        ...leaseSteps(world, name, owner),
    ];
};

const claimSteps = (world: World, name: OwnerName, owner: OwnerState, mutation: Mutation): Step<World>[] => {
    const former = world.store?.record.owner as OwnerName | "" | undefined;
    if (owner.writer !== undefined || !owner.hasProvenLease || former === name || world.remainingSteps.claims === 0) {
        return [];
    }
    const next = claimSlot(world.store?.record, 0, name);
    const base = world.store ?? { record: { ...next, epoch: 0, owner: "" }, revision: 0 };
    const fence = former === undefined || former === "" ? undefined : former;
    const claimed = startWrite(
        withOwner(consumeStep(world, "claims"), name, { claimEpoch: next.epoch }),
        name,
        next,
        fence,
        base,
    );
    return mutation.skipFormerLeaseCheck || fence === undefined || !world.leases[fence] ?
        [{ name: `${name} claims the slot`, next: claimed }] :
        [];
};

const readBackSteps = (world: World, name: OwnerName, owner: OwnerState, mutation: Mutation): Step<World>[] => {
    if (owner.writer?.kind !== "unknown") {
        return [];
    }
    const settled = onReadBack(owner.writer, world.store);
    const isAbandonedClaim = owner.claimEpoch > 0 && settled.kind === "writing";
    const writer: WriterState = isAbandonedClaim ? { kind: "lost" } : settled;
    return [{
        name: `${name} reads back`,
        next: continueAfterWrite(applyWriterState(world, name, writer), name, mutation),
    }];
};

const spendSteps = (world: World, name: OwnerName, owner: OwnerState, mutation: Mutation): Step<World>[] => {
    const { account, writer } = owner;
    if (
        account === undefined || writer === undefined || !owner.hasProvenLease || world.remainingSteps.spends === 0 ||
        owner.claimEpoch > 0
    ) {
        return [];
    }
    const decision = hold(account, 1, budgetChunk);
    if (decision.kind === "held") {
        const next = withOwner(consumeStep(world, "spends"), name, { account: settle(decision.account, 1, 1) });
        return [{ name: `${name} spends a token`, next: { ...next, spent: next.spent + 1 } }];
    }
    if (decision.kind === "exhausted" || writer.kind !== "idle" || owner.pendingReservation > 0) {
        return [];
    }
    const record = raiseReservation(writer.stored.record, programName, decision.reserved, programDeadline);
    const reserving = startWrite(withOwner(world, name, { pendingReservation: decision.reserved }), name, record);
    if (mutation.spendBeforeReservation) {
        const spent = withOwner(consumeStep(reserving, "spends"), name, {
            account: { ...account, spent: account.spent + 1, reserved: decision.reserved },
        });
        return [{ name: `${name} spends while it reserves`, next: { ...spent, spent: spent.spent + 1 } }];
    }
    return [{ name: `${name} reserves ${decision.reserved} tokens`, next: reserving }];
};

const leaseSteps = (world: World, name: OwnerName, owner: OwnerState): Step<World>[] => {
    if (owner.hasProvenLease) {
        return world.remainingSteps.leaseLapses === 0 ?
            [] :
            [{
                name: `${name} can no longer prove its lease`,
                next: withOwner(consumeStep(world, "leaseLapses"), name, { hasProvenLease: false }),
            }];
    }
    if (world.leases[name]) {
        return [{ name: `${name} renews its lease`, next: withOwner(world, name, { hasProvenLease: true }) }];
    }
    const renewed = { ...world, leases: { ...world.leases, [name]: true } };
    const isStillOwner = owner.writer === undefined || owner.claimEpoch > 0 ||
        (world.store?.record.owner === name && owner.writer.kind !== "lost");
    const verified = isStillOwner ? renewed : abandonSlot(renewed, name);
    return [{
        name: `${name} acquires a new lease and verifies its slot`,
        next: withOwner(verified, name, { hasProvenLease: true }),
    }];
};

/** Fault steps: process pauses, crashes and lease expiry. */
const faultSteps = (world: World, mutation: Mutation): Step<World>[] =>
    ownerNames.flatMap(name => {
        const owner = world.owners[name];
        const steps: Step<World>[] = [];
        if (owner.alive && !owner.paused && world.remainingSteps.pauses > 0) {
            steps.push({
                name: `${name} is paused`,
                next: withOwner(consumeStep(world, "pauses"), name, { paused: true }),
            });
        }
        if (owner.paused) {
            const proven = world.leases[name] || mutation.skipLeaseCheckAfterPause === true ?
                owner.hasProvenLease :
                false;
            steps.push({
                name: `${name} resumes`,
                next: withOwner(world, name, { paused: false, hasProvenLease: proven }),
            });
        }
        if (owner.alive && world.remainingSteps.crashes > 0) {
            const crashed = abandonSlot(consumeStep(world, "crashes"), name);
            steps.push({
                name: `${name} crashes`,
                next: withOwner(crashed, name, { alive: false, hasProvenLease: false, paused: false }),
            });
        }
        if (world.leases[name] && (!owner.alive || owner.paused || !owner.hasProvenLease)) {
            steps.push({
                name: `the lease of ${name} ends`,
                next: { ...world, leases: { ...world.leases, [name]: false } },
            });
        }
        return steps;
    });

/** All steps that are enabled in a state. */
export const protocolSteps = (world: World, mutation: Mutation): Step<World>[] => [
    ...storeSteps(world, mutation),
    ...ownerNames.flatMap(name => ownerSteps(world, name, mutation)),
    ...sendSteps(world, mutation),
    ...faultSteps(world, mutation),
];
