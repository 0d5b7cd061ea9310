/** State changes shared by several steps. */
import { beginWrite, onReserved, openWriter, recoverAccount } from "@marigolddrift/ledger";

import type { BudgetAccount, SlotRecord, StoredRecord, WriterState } from "@marigolddrift/ledger";

import type { Mutation } from "./mutants.js";
import { budgetChunk, programBudget, programName } from "./state.js";
import type { OwnerName, OwnerState, PendingWrite, SendState, World } from "./state.js";

export const ownerNames: readonly OwnerName[] = ["a", "b"];

/** Returns the state with one instance changed. */
export const withOwner = (world: World, name: OwnerName, change: Partial<OwnerState>): World => ({
    ...world,
    owners: { ...world.owners, [name]: { ...world.owners[name], ...change } },
});

/** Returns the state with one request changed. */
export const withSend = (world: World, index: number, change: Partial<SendState>): World => ({
    ...world,
    sends: world.sends.map((send, at) => at === index ? { ...send, ...change } : send),
});

/** Decrements the remaining number of steps of a kind. */
export const consumeStep = (world: World, kind: keyof World["remainingSteps"]): World => ({
    ...world,
    remainingSteps: { ...world.remainingSteps, [kind]: world.remainingSteps[kind] - 1 },
});

/** Issues a write; it stays pending until the store applies or refuses it. */
export const startWrite = (
    world: World,
    name: OwnerName,
    next: SlotRecord,
    fence?: OwnerName,
    base?: StoredRecord,
): World => {
    const owner = world.owners[name];
    const from = base === undefined ? owner.writer! : openWriter(base);
    const writer = beginWrite(from, next, `${name}${owner.nonce + 1}`);
    if (writer.kind !== "writing") {
        return world;
    }
    const write: PendingWrite = {
        issuer: name,
        revision: writer.stored.revision,
        next: writer.next,
        fence,
        awaited: true,
    };
    return withOwner({ ...world, pendingWrites: [...world.pendingWrites, write] }, name, {
        writer,
        nonce: owner.nonce + 1,
    });
};

/** Sets an instance's writer and, if the read-back showed that its write was not applied, sends the write again. */
export const applyWriterState = (world: World, name: OwnerName, writer: WriterState): World => {
    if (writer.kind !== "writing") {
        return withOwner(world, name, { writer });
    }
    const write: PendingWrite = {
        issuer: name,
        revision: writer.stored.revision,
        next: writer.next,
        fence: undefined,
        awaited: true,
    };
    return withOwner({ ...world, pendingWrites: [...world.pendingWrites, write] }, name, { writer });
};

/** Drops an instance's claim to the slot and answers its requests in progress. */
export const abandonSlot = (world: World, name: OwnerName): World => {
    const next = withOwner(world, name, {
        writer: undefined,
        account: undefined,
        claimEpoch: 0,
        pendingReservation: 0,
    });
    const ended = next.sends.map(send =>
        send.at === name && send.phase !== "ended" && send.phase !== "idle" ?
            {
                ...send,
                phase: "ended" as const,
                reportedOutcome: send.reportedOutcome ??
                    (send.phase === "dispatched" ? "mayHaveRun" as const : "notRun" as const),
            } :
            send
    );
    return { ...next, sends: ended };
};

const inheritBudget = (record: SlotRecord, mutation: Mutation): BudgetAccount => {
    const entry = record.programs[programName];
    const reserved = mutation.undercountReserved ? Math.floor((entry?.reserved ?? 0) / 2) : entry?.reserved ?? 0;
    return recoverAccount(programBudget, budgetChunk, reserved);
};

/** Continues an instance's work after its write has settled. */
export const continueAfterWrite = (world: World, name: OwnerName, mutation: Mutation): World => {
    const owner = world.owners[name];
    if (owner.writer?.kind === "lost") {
        return abandonSlot(world, name);
    }
    if (owner.writer?.kind !== "idle") {
        return world;
    }
    const { record } = owner.writer.stored;
    let next = world;
    if (owner.claimEpoch > 0) {
        next = withOwner(next, name, { claimEpoch: 0, account: inheritBudget(record, mutation) });
    }
    if (owner.pendingReservation > 0 && owner.account !== undefined) {
        next = withOwner(next, name, {
            pendingReservation: 0,
            account: onReserved(owner.account, owner.pendingReservation),
        });
    }
    const sends = next.sends.map(send =>
        send.at === name && send.phase === "storing" ? { ...send, phase: "stored" as const } : send
    );
    return { ...next, sends };
};
