/** What the project needs of a platform's key-value service, whichever protocol it speaks. */
import type { Progress } from "@marigolddrift/common";
import VError from "verror";

/** A value with the revision at which it was written. */
export interface StoredValue {
    readonly key: string;
    readonly value: Buffer;
    readonly revision: number;
}

/** All values below a prefix, and the store's revision from which to follow their changes. */
export interface Snapshot {
    readonly values: readonly StoredValue[];
    readonly revision: number;
}

/** A change of one key: its new value, or its removal. */
export type StoreChange =
    | { readonly kind: "put"; readonly stored: StoredValue; }
    | { readonly kind: "removed"; readonly key: string; readonly revision: number; };

/** Changes in order, and the revision up to which they are complete. */
export interface ChangeBatch {
    readonly changes: readonly StoreChange[];
    readonly revision: number;
}

/** A condition of a transaction: the revision of a key, 0 meaning that it does not exist. */
export interface Compare {
    readonly key: string;
    readonly revision: number;
}

/** A change made by a transaction. */
export interface Put {
    readonly key: string;
    readonly value: Buffer;
    readonly lease?: string;
}

/** Result of a transaction. */
export interface TxnResult {
    readonly succeeded: boolean;
    readonly revision: number;
    /** Present values of the compared keys, if a condition failed and the store returned them. */
    readonly current?: readonly StoredValue[];
}

/** A call to the store that failed; `applied` says whether it may have taken effect. */
export class StoreError extends VError {
    constructor(readonly applied: "no" | "unknown", detail: string, cause?: Error) {
        super({ name: "StoreError", ...(cause ? { cause } : {}) }, "%s", detail);
    }
}

/** The store answered that it will not do a call: it is busy, or the call is not acceptable. */
export class StoreRefusalError extends StoreError {
    constructor(call: string, readonly status: number) {
        super("no", `the store refused ${call} with ${status}`);
    }

    /** Whether the same call may be accepted later. */
    get isBusy(): boolean {
        return this.status === 429 || this.status >= 500;
    }
}

/** The store no longer has the changes that were asked for: a new snapshot is needed. */
export class HistoryGoneError extends VError {
    constructor(revision: number) {
        super({ name: "HistoryGoneError" }, "the store dropped its history after revision %d", revision);
    }
}

/** How exact a snapshot must be. */
export interface RangeOptions {
    /** Whether values may be seconds old, which costs the store less. */
    readonly mayBeStale?: boolean;
    /** Called for each part of the answer that arrives, so that a long answer is not taken for silence. */
    readonly onBytes?: () => void;
}

/** Values under conditions, and their changes. */
export interface VersionedStore {
    get(key: string, progress: Progress): Promise<StoredValue | undefined>;
    range(prefix: string, progress: Progress, options?: RangeOptions): Promise<Snapshot>;
    /**
     * Waits for changes below a prefix; the batch is empty if there were none in `waitMs`.
     *
     * @throws HistoryGoneError if the changes after `revision` are no longer available.
     */
    changes(prefix: string, revision: number, waitMs: number, progress: Progress): Promise<ChangeBatch>;
    /** Applies the puts and removals if all conditions hold. */
    txn(
        compares: readonly Compare[],
        puts: readonly Put[],
        progress: Progress,
        removals?: readonly string[],
    ): Promise<TxnResult>;
}

/** A versioned store with leases and long-lived watches. */
export interface Store extends VersionedStore {
    grantLease(ttlSeconds: number, progress: Progress): Promise<string>;
    /** Returns false if the lease has lapsed. */
    keepAlive(lease: string, progress: Progress): Promise<boolean>;
    revokeLease(lease: string, progress: Progress): Promise<void>;
    /** Calls back for each change below a prefix, until the signal aborts; reconnects by itself. */
    watch(prefix: string, onChange: (value: StoredValue) => void, signal: AbortSignal): Promise<void>;
}

const notSentCodes = new Set(["ECONNREFUSED", "ENOTFOUND", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Whether a call that ended with a connection error may have taken effect. */
export const mayHaveApplied = (err: unknown): "no" | "unknown" => {
    const code = (err as { code?: string; }).code ?? "";
    return notSentCodes.has(code) ? "no" : "unknown";
};
