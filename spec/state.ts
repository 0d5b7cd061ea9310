/** State of the small world that the explorer walks through: two owners, one slot, one program, one key. */
import type { BudgetAccount, SlotRecord, StoredRecord, WriterState } from "@marigolddrift/ledger";

export type OwnerName = "a" | "b";

/** What a caller was told of a send, or undefined while it waits. */
export type Told = "notRun" | "mayHaveRun" | "ran";

/** A caller's send of the call that must not be repeated. */
export interface SendState {
    /** Owner that received it. */
    readonly at: OwnerName | undefined;
    readonly phase: "idle" | "storing" | "stored" | "dispatched" | "ended";
    readonly told: Told | undefined;
}

/** A write that the store may apply at any later moment. */
export interface FlyingWrite {
    readonly from: OwnerName;
    readonly revision: number;
    readonly next: SlotRecord;
    /** Instance whose key must not exist. */
    readonly fence: OwnerName | undefined;
    /** Whether its owner still waits for the reply. */
    readonly awaited: boolean;
}

/** One instance. */
export interface OwnerState {
    readonly alive: boolean;
    readonly paused: boolean;
    /** Whether the instance believes that its lease holds. */
    readonly proven: boolean;
    /** Whether it believes to own the slot, or is claiming it. */
    readonly writer: WriterState | undefined;
    /** Epoch that a claim under way will have; 0 if there is none. */
    readonly claiming: number;
    readonly account: BudgetAccount | undefined;
    /** Reservation that is being stored; 0 if there is none. */
    readonly reserving: number;
    readonly nonce: number;
}

/** The whole world. */
export interface World {
    readonly store: StoredRecord | undefined;
    readonly revision: number;
    /** Instances whose lease the store holds. */
    readonly leases: Readonly<Record<OwnerName, boolean>>;
    readonly owners: Readonly<Record<OwnerName, OwnerState>>;
    readonly flying: readonly FlyingWrite[];
    readonly sends: readonly SendState[];
    /** Executions of the call at its service. */
    readonly executions: number;
    /** Send by which the call was executed. */
    readonly executedBy: readonly number[];
    /** Tokens that the program really spent. */
    readonly spent: number;
    /** Owners that changed the record, by epoch. */
    readonly writers: Readonly<Record<number, OwnerName>>;
    /** Whether two owners wrote under the same epoch. */
    readonly epochShared: boolean;
    /** Steps that are still allowed of each kind. */
    readonly left: {
        readonly lost: number;
        readonly pauses: number;
        readonly crashes: number;
        readonly spends: number;
        readonly gaveUp: number;
        readonly claims: number;
        readonly lapses: number;
    };
}

export const callKey = "k";
export const callRequest = "r";
export const programName = "p";
export const programBudget = 3;
export const budgetChunk = 1;
const deadline = 1_000_000;

/** Deadline of the program; it does not pass in the model. */
export const programDeadline = deadline;

const newOwner: OwnerState = {
    alive: true,
    paused: false,
    proven: true,
    writer: undefined,
    claiming: 0,
    account: undefined,
    reserving: 0,
    nonce: 0,
};
const newSend: SendState = { at: undefined, phase: "idle", told: undefined };

const emptyWorld: World = {
    store: undefined,
    revision: 0,
    leases: { a: true, b: true },
    owners: { a: newOwner, b: newOwner },
    flying: [],
    sends: [],
    executions: 0,
    executedBy: [],
    spent: 0,
    writers: {},
    epochShared: false,
    left: { lost: 1, pauses: 1, crashes: 1, spends: 0, gaveUp: 1, claims: 2, lapses: 2 },
};

const withLeft = (left: Partial<World["left"]>): World["left"] => ({ ...emptyWorld.left, ...left });

/** Scopes that are explored one after the other; together they would have too many states. */
export const scopes: Readonly<Record<"leases" | "deadlines" | "budget", World>> = {
    leases: { ...emptyWorld, sends: [newSend, newSend], left: withLeft({ crashes: 0, gaveUp: 0, lapses: 1 }) },
    deadlines: { ...emptyWorld, sends: [newSend, newSend], left: withLeft({ lapses: 0 }) },
    budget: { ...emptyWorld, left: withLeft({ lapses: 0, spends: 4, gaveUp: 0 }) },
};
