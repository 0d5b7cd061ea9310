/** State of the protocol model: two instances, one slot, one program and one idempotency key. */
import type { BudgetAccount, SlotRecord, StoredRecord, WriterState } from "@marigolddrift/ledger";

export type OwnerName = "a" | "b";

/** Outcome of a request as reported to its caller; undefined while the caller waits. */
export type ReportedOutcome = "notRun" | "mayHaveRun" | "ran";

/** A caller's request for the non-idempotent call. */
export interface SendState {
    /** Instance that received the request. */
    readonly at: OwnerName | undefined;
    readonly phase: "idle" | "storing" | "stored" | "dispatched" | "ended";
    readonly reportedOutcome: ReportedOutcome | undefined;
}

/** A write in transit, which the store may apply at any later time. */
export interface PendingWrite {
    readonly issuer: OwnerName;
    readonly revision: number;
    readonly next: SlotRecord;
    /** Instance whose lease key must not exist for the write to be applied. */
    readonly fence: OwnerName | undefined;
    /** Whether the issuer still waits for the reply. */
    readonly awaited: boolean;
}

/** State of one instance. */
export interface OwnerState {
    readonly alive: boolean;
    readonly paused: boolean;
    /** Whether the instance considers its lease valid; the store may have expired it already. */
    readonly hasProvenLease: boolean;
    /** Writer of the slot; defined while the instance considers itself the owner or is claiming the slot. */
    readonly writer: WriterState | undefined;
    /** Epoch of the claim in progress; 0 if there is none. */
    readonly claimEpoch: number;
    readonly account: BudgetAccount | undefined;
    /** Tokens of the reservation that is being stored; 0 if there is none. */
    readonly pendingReservation: number;
    readonly nonce: number;
}

/** State of the whole model. */
export interface World {
    readonly store: StoredRecord | undefined;
    readonly revision: number;
    /** Whether the store holds each instance's lease. */
    readonly leases: Readonly<Record<OwnerName, boolean>>;
    readonly owners: Readonly<Record<OwnerName, OwnerState>>;
    readonly pendingWrites: readonly PendingWrite[];
    readonly sends: readonly SendState[];
    /** Number of times that the service executed the call. */
    readonly executions: number;
    /** Index of the request that caused each execution. */
    readonly executedBy: readonly number[];
    /** Tokens that the program actually spent. */
    readonly spent: number;
    /** First instance that wrote the record in each epoch. */
    readonly writersByEpoch: Readonly<Record<number, OwnerName>>;
    /** Whether two instances wrote in the same epoch. */
    readonly hasSharedEpoch: boolean;
    /** Remaining number of steps of each kind; bounds the state space. */
    readonly remainingSteps: {
        readonly replyLosses: number;
        readonly pauses: number;
        readonly crashes: number;
        readonly spends: number;
        readonly callerTimeouts: number;
        readonly claims: number;
        readonly leaseLapses: number;
    };
}

export const callKey = "k";
export const callRequest = "r";
export const programName = "p";
export const programBudget = 3;
export const budgetChunk = 1;
const deadline = 1_000_000;

/** Deadline of the program; it is never reached in the model. */
export const programDeadline = deadline;

const initialOwner: OwnerState = {
    alive: true,
    paused: false,
    hasProvenLease: true,
    writer: undefined,
    claimEpoch: 0,
    account: undefined,
    pendingReservation: 0,
    nonce: 0,
};
const initialSend: SendState = { at: undefined, phase: "idle", reportedOutcome: undefined };

const initialWorld: World = {
    store: undefined,
    revision: 0,
    leases: { a: true, b: true },
    owners: { a: initialOwner, b: initialOwner },
    pendingWrites: [],
    sends: [],
    executions: 0,
    executedBy: [],
    spent: 0,
    writersByEpoch: {},
    hasSharedEpoch: false,
    remainingSteps: { replyLosses: 1, pauses: 1, crashes: 1, spends: 0, callerTimeouts: 1, claims: 2, leaseLapses: 2 },
};

const withRemainingSteps = (left: Partial<World["remainingSteps"]>): World["remainingSteps"] => ({
    ...initialWorld.remainingSteps,
    ...left,
});

/** Scopes that are explored separately, because their combination has too many states. */
export const scopes: Readonly<Record<"leases" | "deadlines" | "budget", World>> = {
    leases: {
        ...initialWorld,
        sends: [initialSend, initialSend],
        remainingSteps: withRemainingSteps({ crashes: 0, callerTimeouts: 0, leaseLapses: 1 }),
    },
    deadlines: {
        ...initialWorld,
        sends: [initialSend, initialSend],
        remainingSteps: withRemainingSteps({ leaseLapses: 0 }),
    },
    budget: { ...initialWorld, remainingSteps: withRemainingSteps({ leaseLapses: 0, spends: 4, callerTimeouts: 0 }) },
};
