/** What instances ask each other. */
import type { WorkerLoad } from "@marigolddrift/policy";
import type { Compare, Put, StoreChange, StoredValue } from "@marigolddrift/store";
import { Packr } from "msgpackr";

/** Changes that a peer has followed. */
export interface FollowedBatch {
    /** As {@link packChanges} makes them. */
    readonly changes: Buffer;
    readonly revision: number;
    readonly isCompressed: boolean;
}

const packr = new Packr({ useRecords: false });

/** Encodes changes of the store. */
export const packChanges = (changes: readonly StoreChange[]): Buffer => packr.pack(changes);

/** Decodes changes of the store. */
export const unpackChanges = (bytes: Buffer): StoreChange[] => packr.unpack(bytes) as StoreChange[];

/** A turn as it is handed to a machine that keeps it on its disk. */
export interface JournalTurn {
    readonly id: string;
    /** The packed record. */
    readonly record: Buffer;
    /** Time for which the turn can be continued, in milliseconds. */
    readonly keepMs: number;
    /** Place of this copy among the copies; the first one goes to the store. */
    readonly copy: number;
    /** Names of the peers that got the copies. */
    readonly holders: readonly string[];
}

/** What a journal says of a turn. */
export interface JournalAnswer {
    readonly record: Buffer | undefined;
    /** Whether the journal has seen all that it acknowledged in the time for which turns are kept. */
    readonly complete: boolean;
}

/** A question to a peer: calls to the store that it makes for an instance that cannot reach it, and budgets. */
export type PeerQuestion =
    | { readonly kind: "get"; readonly key: string; }
    | { readonly kind: "range"; readonly prefix: string; readonly mayBeStale: boolean; }
    | { readonly kind: "changes"; readonly prefix: string; readonly revision: number; readonly waitMs: number; }
    | {
        readonly kind: "txn";
        readonly compares: readonly Compare[];
        readonly puts: readonly Put[];
        readonly removals: readonly string[];
    }
    /** Changes that the peer has followed itself, without a call to the store. */
    | { readonly kind: "followed"; readonly prefix: string; readonly revision: number; readonly waitMs: number; }
    /** The asking instance's calls by upstream; the answer has those of all others that report to the same peer. */
    | { readonly kind: "shareLoad"; readonly instance: string; readonly load: WorkerLoad; }
    /** Find a turn for an instance that does not reach the machines that keep turns. */
    | { readonly kind: "loadTurn"; readonly id: string; readonly program: string; }
    /** Return what is not in use of a program's budget. */
    | { readonly kind: "returnBudget"; readonly program: string; }
    /** Reserve tokens of a program's budget for a turn of the asking instance. */
    | {
        readonly kind: "reserveTokens";
        readonly reservation: string;
        readonly program: string;
        readonly total: number;
        readonly needed: number;
    }
    /** The turn of a reservation has ended. */
    | { readonly kind: "settleTokens"; readonly reservation: string; readonly spent: number; };

/** What instances ask machines that keep turns on their disks. */
export type JournalQuestion =
    | { readonly kind: "keepTurn"; readonly turn: JournalTurn; }
    | { readonly kind: "findTurn"; readonly id: string; }
    /** Another holder has brought these turns into the store. */
    | { readonly kind: "turnsFlushed"; readonly ids: readonly string[]; };

/** Answers to {@link PeerQuestion} and {@link JournalQuestion}, by kind. */
export interface PeerAnswers {
    get: StoredValue | undefined;
    range: { readonly values: readonly StoredValue[]; readonly revision: number; };
    changes: { readonly changes: readonly StoreChange[]; readonly revision: number; };
    txn: { readonly succeeded: boolean; readonly revision: number; readonly current?: readonly StoredValue[]; };
    /** The packed record; a missing one does not say that there is no such turn. */
    loadTurn: Buffer | undefined;
    followed: FollowedBatch;
    shareLoad: WorkerLoad;
    returnBudget: boolean;
    /** `elsewhere` if the asked instance does not keep budgets for others now. */
    reserveTokens: "reserved" | "spent" | "storeAway" | "elsewhere";
    settleTokens: boolean;
    /** False if the machine takes no turns now. */
    keepTurn: boolean;
    findTurn: JournalAnswer;
    turnsFlushed: boolean;
}

/** A question on the wire. */
export interface QuestionFrame {
    readonly id: number;
    readonly leftMs: number;
    readonly question: PeerQuestion | JournalQuestion;
}

/** An answer on the wire. */
export interface AnswerFrame {
    readonly id: number;
    readonly value?: unknown;
    /** Set if the question failed; `historyGone` asks for a new snapshot. */
    readonly error?: { readonly name: "historyGone" | "failed"; readonly detail: string; };
}

/** Where an instance listens for its peers. */
export interface PeerAddress {
    readonly instance: string;
    readonly host: string;
    readonly port: number;
    readonly zone: string;
    readonly region: string;
    /** Whether the machine keeps turns on its disk; others serve callers. */
    readonly keepsTurns: boolean;
}

/** Who an instance is to the peers of its region. */
export interface PeerSelf {
    readonly instance: string;
    readonly region: string;
    /** Host and port for peers, the same after a restart. */
    address(): string;
}

/** Host and port of a peer, which stay the same when it restarts. */
export const peerName = ({ host, port }: Pick<PeerAddress, "host" | "port">): string => `${host}:${port}`;
