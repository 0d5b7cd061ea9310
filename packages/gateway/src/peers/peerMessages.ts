/** What instances ask each other. */
import type { Compare, Put, StoreChange, StoredValue } from "@marigolddrift/store";

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

/** Answers to {@link PeerQuestion}, by kind. */
export interface PeerAnswers {
    get: StoredValue | undefined;
    range: { readonly values: readonly StoredValue[]; readonly revision: number; };
    changes: { readonly changes: readonly StoreChange[]; readonly revision: number; };
    txn: { readonly succeeded: boolean; readonly revision: number; readonly current?: readonly StoredValue[]; };
    returnBudget: boolean;
    /** `elsewhere` if the asked instance does not keep budgets for others now. */
    reserveTokens: "reserved" | "spent" | "storeAway" | "elsewhere";
    settleTokens: boolean;
}

/** A question on the wire. */
export interface QuestionFrame {
    readonly id: number;
    readonly leftMs: number;
    readonly question: PeerQuestion;
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
}

/** Host and port of a peer, which stay the same when it restarts. */
export const peerName = ({ host, port }: Pick<PeerAddress, "host" | "port">): string => `${host}:${port}`;
