/** Protocol-independent interface of a platform's key-value store. */
import type { Progress } from "@marigolddrift/common";
import VError from "verror";

/** A value with the revision at which it was written. */
export interface StoredValue {
    readonly key: string;
    readonly value: Buffer;
    readonly revision: number;
}

/** All values under a prefix, and the store revision from which to read later changes. */
export interface Snapshot {
    readonly values: readonly StoredValue[];
    readonly revision: number;
}

/** A change of one key: a put or a removal. */
export type StoreChange =
    | { readonly kind: "put"; readonly stored: StoredValue; }
    | { readonly kind: "removed"; readonly key: string; readonly revision: number; };

/** Changes in revision order; the batch holds every change up to `revision`. */
export interface ChangeBatch {
    readonly changes: readonly StoreChange[];
    readonly revision: number;
}

/** A transaction condition: the expected revision of a key, or 0 if the key must not exist. */
export interface Compare {
    readonly key: string;
    readonly revision: number;
}

/** A write of one key in a transaction, optionally attached to a lease. */
export interface Put {
    readonly key: string;
    readonly value: Buffer;
    readonly lease?: string;
}

/** Result of a transaction. */
export interface TxnResult {
    readonly succeeded: boolean;
    readonly revision: number;
    /** Current values of the compared keys, if a condition failed and the store returned them. */
    readonly current?: readonly StoredValue[];
}

/** A failed call to the store; `applied` tells whether it may still have taken effect. */
export class StoreError extends VError {
    constructor(readonly applied: "no" | "unknown", detail: string, cause?: Error) {
        super({ name: "StoreError", ...(cause ? { cause } : {}) }, "%s", detail);
    }
}

/** The store rejected a call, because it is overloaded or because the call is invalid. */
export class StoreRefusalError extends StoreError {
    constructor(call: string, readonly status: number) {
        super("no", `the store refused ${call} with ${status}`);
    }

    /** Whether the same call may succeed later: the status is 429 or 5xx. */
    get isRetryable(): boolean {
        return this.status === 429 || this.status >= 500;
    }
}

/** The store has compacted the requested changes; the reader must load a new snapshot. */
export class HistoryGoneError extends VError {
    constructor(revision: number) {
        super({ name: "HistoryGoneError" }, "the store no longer has the change history after revision %d", revision);
    }
}

/** Options for reading a response that may be long. */
export interface TransferOptions {
    /** Called for each chunk of the response, so that a long response does not count as an idle connection. */
    readonly onBytes?: () => void;
}

/** Options for reading a snapshot. */
export interface RangeOptions extends TransferOptions {
    /** Allows values that are some seconds old; such reads cost the store less. */
    readonly mayBeStale?: boolean;
}

/** A key-value store with conditional writes and a change history. */
export interface VersionedStore {
    get(key: string, progress: Progress): Promise<StoredValue | undefined>;
    range(prefix: string, progress: Progress, options?: RangeOptions): Promise<Snapshot>;
    /**
     * Long-polls for changes under a prefix; the batch is empty if none arrive within `waitMs`.
     *
     * @throws HistoryGoneError if the changes after `revision` are no longer available.
     */
    changes(
        prefix: string,
        revision: number,
        waitMs: number,
        progress: Progress,
        options?: TransferOptions,
    ): Promise<ChangeBatch>;
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
    /** Renews a lease; returns false if it has expired. */
    keepAlive(lease: string, progress: Progress): Promise<boolean>;
    revokeLease(lease: string, progress: Progress): Promise<void>;
    /** Calls `onChange` for each put under a prefix until the signal aborts or the connection ends; no reconnects. */
    watch(prefix: string, onChange: (value: StoredValue) => void, signal: AbortSignal): Promise<void>;
}

const notSentCodes = new Set(["ECONNREFUSED", "ENOTFOUND", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Classifies a transport error: `no` if the request was certainly not sent, otherwise `unknown`. */
export const appliedStatus = (err: unknown): "no" | "unknown" => {
    const code = (err as { code?: string; }).code ?? "";
    return notSentCodes.has(code) ? "no" : "unknown";
};
