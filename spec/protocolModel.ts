/** Steps of the slot protocol. Every change of a record, a writer or an account is made by the product's own functions. */
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
import type { FlyingWrite, OwnerName, OwnerState, World } from "./state.js";
import { afterStored, lose, ownerNames, resend, startWrite, take, withOwner } from "./worldSteps.js";

/** The store handles a flying write. */
const storeSteps = (world: World, mutation: Mutation): Step<World>[] =>
    world.flying.flatMap((write, index) => {
        const without = { ...world, flying: world.flying.filter((_, at) => at !== index) };
        const isCurrent = (world.store?.revision ?? 0) === write.revision || mutation.dropFence === true;
        const isFenced = write.fence !== undefined && world.leases[write.fence] && mutation.ignoreLease !== true;
        const applies = isCurrent && !isFenced;
        const applied = applies ? applyWrite(without, write) : without;
        const steps = [{
            name: `store ${applies ? "applies" : "refuses"} a write of ${write.from}`,
            next: reply(applied, write, applies, mutation),
        }];
        if (write.awaited && world.left.lost > 0) {
            const silent = noReply(take(applied, "lost"), write.from, mutation);
            steps.push({ name: `the reply to ${write.from} is lost`, next: silent });
            const late = {
                ...world,
                flying: world.flying.map((other, at) => at === index ? { ...other, awaited: false } : other),
            };
            steps.push({
                name: `${write.from} gives up waiting for a reply`,
                next: noReply(take(late, "lost"), write.from, mutation),
            });
        }
        return steps;
    });

const applyWrite = (world: World, write: FlyingWrite): World => {
    const revision = world.revision + 1;
    const { epoch } = write.next;
    const known = world.writers[epoch];
    return {
        ...world,
        revision,
        store: { record: write.next, revision },
        writers: { ...world.writers, [epoch]: known ?? write.from },
        epochShared: world.epochShared || (known !== undefined && known !== write.from),
    };
};

const reply = (world: World, write: FlyingWrite, applied: boolean, mutation: Mutation): World => {
    const owner = world.owners[write.from];
    if (!write.awaited || !owner.alive || owner.writer?.kind !== "writing") {
        return world;
    }
    const isClaim = owner.claiming > 0;
    const settled = applied ? onApplied(owner.writer, world.revision) : onConflict(owner.writer, world.store);
    const writer: WriterState = isClaim && settled.kind === "writing" ? { kind: "lost" } : settled;
    return afterStored(resend(world, write.from, writer), write.from, mutation);
};

const noReply = (world: World, name: OwnerName, mutation: Mutation): World => {
    const owner = world.owners[name];
    if (!owner.alive || owner.writer?.kind !== "writing") {
        return world;
    }
    if (mutation.assumeApplied) {
        const writer = onApplied(owner.writer, owner.writer.stored.revision + 1);
        return afterStored(withOwner(world, name, { writer }), name, mutation);
    }
    return withOwner(world, name, { writer: onNoReply(owner.writer) });
};

/** Steps that an instance takes by itself. */
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
    if (owner.writer !== undefined || !owner.proven || former === name || world.left.claims === 0) {
        return [];
    }
    const next = claimSlot(world.store?.record, 0, name);
    const base = world.store ?? { record: { ...next, epoch: 0, owner: "" }, revision: 0 };
    const fence = former === undefined || former === "" ? undefined : former;
    const claimed = startWrite(
        withOwner(take(world, "claims"), name, { claiming: next.epoch }),
        name,
        next,
        fence,
        base,
    );
    return mutation.ignoreLease || fence === undefined || !world.leases[fence] ?
        [{ name: `${name} claims the slot`, next: claimed }] :
        [];
};

const readBackSteps = (world: World, name: OwnerName, owner: OwnerState, mutation: Mutation): Step<World>[] => {
    if (owner.writer?.kind !== "unknown") {
        return [];
    }
    const settled = onReadBack(owner.writer, world.store);
    const isAbandonedClaim = owner.claiming > 0 && settled.kind === "writing";
    const writer: WriterState = isAbandonedClaim ? { kind: "lost" } : settled;
    return [{ name: `${name} reads back`, next: afterStored(resend(world, name, writer), name, mutation) }];
};

const spendSteps = (world: World, name: OwnerName, owner: OwnerState, mutation: Mutation): Step<World>[] => {
    const { account, writer } = owner;
    if (
        account === undefined || writer === undefined || !owner.proven || world.left.spends === 0 || owner.claiming > 0
    ) {
        return [];
    }
    const decision = hold(account, 1, budgetChunk);
    if (decision.kind === "held") {
        const next = withOwner(take(world, "spends"), name, { account: settle(decision.account, 1, 1) });
        return [{ name: `${name} spends a token`, next: { ...next, spent: next.spent + 1 } }];
    }
    if (decision.kind === "exhausted" || writer.kind !== "idle" || owner.reserving > 0) {
        return [];
    }
    const record = raiseReservation(writer.stored.record, programName, decision.reserved, programDeadline);
    const reserving = startWrite(withOwner(world, name, { reserving: decision.reserved }), name, record);
    if (mutation.spendBeforeEscrow) {
        const spent = withOwner(take(reserving, "spends"), name, {
            account: { ...account, spent: account.spent + 1, reserved: decision.reserved },
        });
        return [{ name: `${name} spends while it reserves`, next: { ...spent, spent: spent.spent + 1 } }];
    }
    return [{ name: `${name} reserves ${decision.reserved} tokens`, next: reserving }];
};

const leaseSteps = (world: World, name: OwnerName, owner: OwnerState): Step<World>[] => {
    if (owner.proven) {
        return world.left.lapses === 0 ?
            [] :
            [{
                name: `${name} can no longer prove its lease`,
                next: withOwner(take(world, "lapses"), name, { proven: false }),
            }];
    }
    if (world.leases[name]) {
        return [{ name: `${name} renews its lease`, next: withOwner(world, name, { proven: true }) }];
    }
    const regained = { ...world, leases: { ...world.leases, [name]: true } };
    const isStillOwner = owner.writer === undefined || owner.claiming > 0 ||
        (world.store?.record.owner === name && owner.writer.kind !== "lost");
    const verified = isStillOwner ? regained : lose(regained, name);
    return [{
        name: `${name} takes a new lease and verifies its slot`,
        next: withOwner(verified, name, { proven: true }),
    }];
};

/** Steps of the world around: pauses, crashes and leases that end. */
const faultSteps = (world: World, mutation: Mutation): Step<World>[] =>
    ownerNames.flatMap(name => {
        const owner = world.owners[name];
        const steps: Step<World>[] = [];
        if (owner.alive && !owner.paused && world.left.pauses > 0) {
            steps.push({ name: `${name} is paused`, next: withOwner(take(world, "pauses"), name, { paused: true }) });
        }
        if (owner.paused) {
            const proven = world.leases[name] || mutation.trustAfterPause === true ? owner.proven : false;
            steps.push({ name: `${name} wakes`, next: withOwner(world, name, { paused: false, proven }) });
        }
        if (owner.alive && world.left.crashes > 0) {
            const crashed = lose(take(world, "crashes"), name);
            steps.push({
                name: `${name} crashes`,
                next: withOwner(crashed, name, { alive: false, proven: false, paused: false }),
            });
        }
        if (world.leases[name] && (!owner.alive || owner.paused || !owner.proven)) {
            steps.push({
                name: `the lease of ${name} ends`,
                next: { ...world, leases: { ...world.leases, [name]: false } },
            });
        }
        return steps;
    });

/** All steps that may come next. */
export const protocolSteps = (world: World, mutation: Mutation): Step<World>[] => [
    ...storeSteps(world, mutation),
    ...ownerNames.flatMap(name => ownerSteps(world, name, mutation)),
    ...sendSteps(world, mutation),
    ...faultSteps(world, mutation),
];
