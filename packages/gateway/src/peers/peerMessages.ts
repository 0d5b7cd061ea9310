/** Requests and responses between instances. */
import type { StreamPart, WorkerLoad } from "@marigolddrift/policy";
import type { Compare, Put, StoreChange, StoredValue } from "@marigolddrift/store";
import { Packr } from "msgpackr";

import type { PartUpdate } from "../beginnings/beginningRecords.js";

/** Store changes that a peer has read from the store, encoded for the wire. */
export interface PackedChangeBatch {
    /** Encoded by {@link packChanges}; deflated if `isCompressed`. */
    readonly changes: Buffer;
    readonly revision: number;
    readonly isCompressed: boolean;
}

const packr = new Packr({ useRecords: false });

/** Encodes store changes. */
export const packChanges = (changes: readonly StoreChange[]): Buffer => packr.pack(changes);

/** Decodes store changes. */
export const unpackChanges = (bytes: Buffer): StoreChange[] => packr.unpack(bytes) as StoreChange[];

/** A copy of a turn as it is sent to a journal server. */
export interface JournaledTurn {
    readonly id: string;
    /** The encoded turn record. */
    readonly record: Buffer;
    /** Time for which the turn can be continued. */
    readonly keepMs: number;
    /** Index of this copy. The copy with index 0 is flushed to the store; the others are flushed only if it was not. */
    readonly copy: number;
    /** Names of the peers to which the copies were sent first. */
    readonly holders: readonly string[];
}

/** Response of a journal server to the lookup of a turn. */
export interface FindTurnResponse {
    readonly record: Buffer | undefined;
    /** Whether the journal holds all turns that it has acknowledged within the retention time. */
    readonly complete: boolean;
}

/** Requests to any peer: relayed store calls, and coordination of state between instances. */
export type PeerRequest =
    | { readonly kind: "get"; readonly key: string; }
    | { readonly kind: "range"; readonly prefix: string; readonly mayBeStale: boolean; }
    | { readonly kind: "changes"; readonly prefix: string; readonly revision: number; readonly waitMs: number; }
    | {
        readonly kind: "txn";
        readonly compares: readonly Compare[];
        readonly puts: readonly Put[];
        readonly removals: readonly string[];
    }
    /** Returns changes that the peer has received from its own watch, without a store call. */
    | { readonly kind: "followed"; readonly prefix: string; readonly revision: number; readonly waitMs: number; }
    /** Reports the sender's load by upstream; the response has the load of all others that report to the same peer. */
    | { readonly kind: "shareLoad"; readonly instance: string; readonly load: WorkerLoad; }
    /** Passes on facts, and asks for those that changed after a sequence number of the peer. */
    | {
        readonly kind: "shareFacts";
        readonly facts: Readonly<Record<string, readonly unknown[]>>;
        readonly since: number;
        /** The process of the peer that gave the sequence number; undefined for the first exchange. */
        readonly sinceOf: string | undefined;
        readonly waitMs: number;
    }
    /** Asks for permits to send calls to an upstream whose limit all instances share. */
    | {
        readonly kind: "takePermits";
        readonly upstream: string;
        readonly region: string;
        readonly perSecond: number;
        readonly count: number;
        readonly instance: string;
        /** Whether another instance passes the request on, which may be done only once. */
        readonly relayed: boolean;
    }
    /** Asks a granting instance for permits of workspaces, and renews the lease of the sender's share. */
    | {
        readonly kind: "takeQuota";
        readonly renewal: QuotaRenewal;
        /** Missing if there are none. */
        readonly asks?: readonly QuotaAsk[];
        /** What the sender, a granting instance itself, would borrow of what is idle here; missing if there is nothing. */
        readonly borrows?: readonly QuotaBorrow[];
    }
    /** Looks up a turn for an instance that cannot reach the journal servers. */
    | { readonly kind: "loadTurn"; readonly id: string; readonly program: string; }
    /** Asks the peer to return its unspent tokens of a program's budget. */
    | { readonly kind: "returnBudget"; readonly program: string; }
    /** Says that builds have come that are not declared yet, and asks the peer to record its streams of the service. */
    | { readonly kind: "prepareBuilds"; readonly service: string; readonly builds: readonly string[]; }
    /**
     * Says that the sender is registered, and asks whether the peer counts with it for all shares that are lent. The peer does so from now
     * on, also if it can't read the list of members.
     */
    | { readonly kind: "recognize"; readonly machine: string; readonly address: PeerAddress; }
    /** Asks whether the peer takes calls. */
    | { readonly kind: "standing"; }
    /** Reserves tokens of a program's budget for a turn of the sender. */
    | {
        readonly kind: "reserveTokens";
        readonly reservation: string;
        readonly program: string;
        readonly total: number;
        readonly needed: number;
    }
    /** Settles a reservation after its turn has ended. */
    | { readonly kind: "settleTokens"; readonly reservation: string; readonly spent: number; };

/** Requests to journal servers. */
export type JournalRequest =
    | { readonly kind: "keepTurn"; readonly turn: JournaledTurn; }
    | { readonly kind: "findTurn"; readonly id: string; }
    /** Records which builds began streams. */
    | { readonly kind: "recordStreams"; readonly groups: readonly StreamGroup[]; }
    /** Asks which build began a stream. */
    | { readonly kind: "findStream"; readonly id: string; }
    /** Records what a call passes on of a stream. */
    | { readonly kind: "recordBeginning"; readonly update: PartUpdate; }
    /** Asks what a call, and those that went on from it, have passed on. */
    | { readonly kind: "findBeginnings"; readonly callId: string; }
    /** Notifies the server that another holder has flushed these turns to the store. */
    | { readonly kind: "turnsFlushed"; readonly ids: readonly string[]; };

/** Streams of a service that one build began. */
export interface StreamGroup {
    readonly service: string;
    /** Undefined if it is not certain which build that was. */
    readonly build: string | undefined;
    /** Digests of the ids of the calls that brought the first events. */
    readonly streams: readonly string[];
}

/** The record of a stream. */
export interface FoundBuild {
    readonly service: string;
    /** Undefined if it is not certain. */
    readonly build: string | undefined;
    /** Time since the stream was recorded. */
    readonly ageMs: number;
}

/** Facts that changed, by kind. */
export interface FactBatch {
    readonly facts: Readonly<Record<string, readonly unknown[]>>;
    readonly sequence: number;
    /** The process that numbers the facts. */
    readonly instance: string;
}

/** Permits granted to an instance. */
export interface PermitResponse {
    readonly granted: number;
    /** Time after which the instance may ask again if it was granted fewer permits than it asked for. */
    readonly retryInMs: number;
    /** Number of instances that asked for permits lately. */
    readonly sharers: number;
}

/** Who asks for permits, and the share that is lent with it. */
export type QuotaRenewal = readonly [
    /** Name of the sender. */
    from: string,
    /** Number of front instances that the sender knows, including itself. */
    members: number,
    /** Bit mask of the slots whose share the sender lends by accepting the offer. */
    slots: number,
    /** The latest offer of the granting instance; missing if nothing is lent. */
    ...offer: PackedOffer | [],
];

/** A {@link ShareOffer}. */
export type PackedOffer = readonly [issuer: number, until: number, leaseMs: number];

/** Permits of one workspace that an instance asks for and returns. Encoded without names, as each is sent several times a second. */
export type QuotaAsk = readonly [
    workspace: string,
    /** Permits for waiting calls of programs that have started. */
    continued: number,
    /** Permits for waiting calls of no program. */
    plain: number,
    /** Digests of the programs that the sender does not know, one for each of their waiting calls. */
    programs: readonly number[],
    /** Permits for calls that are expected soon. */
    ahead: number,
    /** Permits that are returned unused. */
    returned: number,
];

/** Response to a {@link QuotaAsk}. */
export type QuotaAnswer = readonly [
    /** Permits granted for calls of programs that have started, then for those of no program, then in advance. */
    granted: number,
    /** Indexes of the programs whose call was granted a permit. */
    programs: readonly number[],
    /** Time after which the first call that was refused may be served, and further time for each one after it. */
    retryInMs: number,
    spacingMs: number,
    /** Time for which new programs are held back; 0 if they are not. */
    startRetryInMs: number,
    /** Time after which permits are expected, for which calls should wait instead of being refused; 0 if there is none. */
    waitMs: number,
];

/** Permits that a granting instance asks another region's for. */
export type QuotaBorrow = readonly [workspace: string, count: number];

/** Response of a granting instance. */
export interface QuotaResponse {
    readonly offer: PackedOffer;
    /** In the order of the asks; missing if there were none. */
    readonly answers?: readonly QuotaAnswer[];
    /** Permits lent, and the time after which there may be more, in the order of the borrows; missing if there were none. */
    readonly lent?: readonly (readonly [count: number, retryInMs: number])[];
}

/** What an instance has done for builds that are to be declared. */
export interface BuildReadiness {
    /** Whether all of its streams that have begun have records, and those that begin later will. */
    readonly isRecorded: boolean;
    /** Time since its start: streams that its machine began before may have no records. */
    readonly upMs: number;
}

/** Whether an instance takes calls. */
export interface Standing {
    readonly takesCalls: boolean;
    /** Time since its stop signal; undefined if there was none. */
    readonly stoppingForMs: number | undefined;
}

/** Responses to {@link PeerRequest} and {@link JournalRequest}, by kind. */
export interface PeerResponses {
    get: StoredValue | undefined;
    range: { readonly values: readonly StoredValue[]; readonly revision: number; };
    changes: { readonly changes: readonly StoreChange[]; readonly revision: number; };
    txn: { readonly succeeded: boolean; readonly revision: number; readonly current?: readonly StoredValue[]; };
    /** The encoded turn record; undefined does not mean that the turn does not exist. */
    loadTurn: Buffer | undefined;
    followed: PackedChangeBatch;
    shareLoad: WorkerLoad;
    returnBudget: boolean;
    /** Undefined from instances that do not know the request. */
    shareFacts: FactBatch | undefined;
    takePermits: PermitResponse | undefined;
    /** Undefined from instances that do not know the request. */
    takeQuota: QuotaResponse | undefined;
    /** `elsewhere` if the peer does not reserve tokens for others; the sender then reserves them itself. */
    reserveTokens: "reserved" | "spent" | "storeAway" | "elsewhere";
    settleTokens: boolean;
    /** Undefined from instances that do not know the request. */
    prepareBuilds: BuildReadiness | undefined;
    /** Undefined from instances that do not know the request. */
    recognize: boolean | undefined;
    /** Undefined from instances that do not know the request. */
    standing: Standing | undefined;
    /**
     * False if the server currently accepts no turns; `uncounted` if it has the turn, but its disk may be lost in addition
     * to the tolerated losses. Instances that do not know `uncounted` take it for true.
     */
    keepTurn: boolean | "uncounted";
    findTurn: FindTurnResponse;
    turnsFlushed: boolean;
    recordStreams: boolean;
    /** False if the server lacks earlier events; undefined from servers that do not know the request. */
    recordBeginning: boolean | undefined;
    /** Undefined from servers that do not know the request. */
    findBeginnings: readonly StreamPart[] | undefined;
    /** Undefined if the server has no record of the stream. */
    findStream: FoundBuild | undefined;
}

/** A request on the wire. */
export interface RequestFrame {
    readonly id: number;
    readonly leftMs: number;
    readonly question: PeerRequest | JournalRequest;
}

/** A response on the wire. */
export interface ResponseFrame {
    readonly id: number;
    readonly value?: unknown;
    /** Set if the request failed; after `historyGone`, the sender must read a new snapshot. */
    readonly error?: { readonly name: "historyGone" | "failed"; readonly detail: string; };
}

/** Address at which an instance listens for its peers, and its location. */
export interface PeerAddress {
    readonly instance: string;
    readonly host: string;
    readonly port: number;
    readonly zone: string;
    readonly region: string;
    /** Whether the instance is a journal server; otherwise it is a front instance that serves callers. */
    readonly keepsTurns: boolean;
}

/** Identity of this instance towards the peers of its region. */
export interface LocalInstance {
    readonly instance: string;
    readonly region: string;
    /** Host and port for peers, stable across restarts. */
    address(): string;
}

/** Host and port of a peer, which are stable across restarts. */
export const peerName = ({ host, port }: Pick<PeerAddress, "host" | "port">): string => `${host}:${port}`;
