/** Changes of the world that several steps share. */
import { beginWrite, onReserved, openWriter, recoverAccount } from "@marigolddrift/ledger";

import type { BudgetAccount, SlotRecord, StoredRecord, WriterState } from "@marigolddrift/ledger";

import type { Mutation } from "./mutants.js";
import { budgetChunk, programBudget, programName } from "./state.js";
import type { FlyingWrite, OwnerName, OwnerState, SendState, World } from "./state.js";

export const ownerNames: readonly OwnerName[] = ["a", "b"];

/** Changes one owner. */
export const withOwner = (world: World, name: OwnerName, change: Partial<OwnerState>): World => ({
    ...world,
    owners: { ...world.owners, [name]: { ...world.owners[name], ...change } },
});

/** Changes one send. */
export const withSend = (world: World, index: number, change: Partial<SendState>): World => ({
    ...world,
    sends: world.sends.map((send, at) => at === index ? { ...send, ...change } : send),
});

/** Uses up one step of a kind. */
export const take = (world: World, kind: keyof World["left"]): World => ({
    ...world,
    left: { ...world.left, [kind]: world.left[kind] - 1 },
});

/** Starts a write: it flies until the store applies, refuses or loses it. */
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
    const write: FlyingWrite = {
        from: name,
        revision: writer.stored.revision,
        next: writer.next,
        fence,
        awaited: true,
    };
    return withOwner({ ...world, flying: [...world.flying, write] }, name, { writer, nonce: owner.nonce + 1 });
};

/** Sends a write again that the read-back showed as not applied. */
export const resend = (world: World, name: OwnerName, writer: WriterState): World => {
    if (writer.kind !== "writing") {
        return withOwner(world, name, { writer });
    }
    const write: FlyingWrite = {
        from: name,
        revision: writer.stored.revision,
        next: writer.next,
        fence: undefined,
        awaited: true,
    };
    return withOwner({ ...world, flying: [...world.flying, write] }, name, { writer });
};

/** Makes an owner forget the slot, and answer what it was working on. */
export const lose = (world: World, name: OwnerName): World => {
    const next = withOwner(world, name, { writer: undefined, account: undefined, claiming: 0, reserving: 0 });
    const ended = next.sends.map(send =>
        send.at === name && send.phase !== "ended" && send.phase !== "idle" ?
            {
                ...send,
                phase: "ended" as const,
                told: send.told ?? (send.phase === "dispatched" ? "mayHaveRun" as const : "notRun" as const),
            } :
            send
    );
    return { ...next, sends: ended };
};

const inherit = (record: SlotRecord, mutation: Mutation): BudgetAccount => {
    const entry = record.programs[programName];
    const reserved = mutation.forgetSpending ? Math.floor((entry?.reserved ?? 0) / 2) : entry?.reserved ?? 0;
    return recoverAccount(programBudget, budgetChunk, reserved);
};

/** Continues an owner's work after its writer has become idle. */
export const afterStored = (world: World, name: OwnerName, mutation: Mutation): World => {
    const owner = world.owners[name];
    if (owner.writer?.kind === "lost") {
        return lose(world, name);
    }
    if (owner.writer?.kind !== "idle") {
        return world;
    }
    const { record } = owner.writer.stored;
    let next = world;
    if (owner.claiming > 0) {
        next = withOwner(next, name, { claiming: 0, account: inherit(record, mutation) });
    }
    if (owner.reserving > 0 && owner.account !== undefined) {
        next = withOwner(next, name, { reserving: 0, account: onReserved(owner.account, owner.reserving) });
    }
    const sends = next.sends.map(send =>
        send.at === name && send.phase === "storing" ? { ...send, phase: "stored" as const } : send
    );
    return { ...next, sends };
};
