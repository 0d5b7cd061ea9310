/** Access to the platform's store, either directly or relayed through a peer that can still reach it. */
import type { Logger, Progress } from "@marigolddrift/common";
import { RetryBudget } from "@marigolddrift/policy";
import { HistoryGoneError, StoreRefusalError } from "@marigolddrift/store";
import type {
    ChangeBatch,
    Compare,
    Put,
    RangeOptions,
    Snapshot,
    StoredValue,
    TransferOptions,
    TxnResult,
    VersionedStore,
} from "@marigolddrift/store";

import { DirectStoreHealth } from "./directStoreHealth.js";
import { hedgedCall, Transfer } from "./hedgedCall.js";
import type { PeerClient } from "./peerClient.js";
import type { PeerRequest } from "./peerMessages.js";

/**
 * Hedges per call, over many calls. Above the share of responses that a faulty store loses; if nearly all calls are late,
 * the link is slow, and further attempts make it slower.
 */
const hedgeShare = 0.5;

/** Hedge delay of `range`, whose responses may be long: measured from the last byte received. */
const rangeHedgeMs = 900;

/** Hedge delay of `changes`, in addition to the time for which the call itself waits for changes. */
const changesHedgeMs = 500;

/** Maximum number of peers per call. More than one, because the store may reject calls of many peers, too. */
const maxRelayPeers = 3;

type DirectCall<T> = (callProgress: Progress) => Promise<T>;
type PeerCall = (peer: PeerClient, progress: Progress) => Promise<unknown>;

/**
 * Makes each call directly, or through a peer while the store rejects the calls of this instance. An error or the hedge
 * delay starts another attempt, and the first response wins. A write may therefore be made twice, which is safe because
 * writes are conditional and their values unique.
 */
export class RelayStore implements VersionedStore {
    private readonly health: DirectStoreHealth;
    private readonly hedgeBudget = new RetryBudget(hedgeShare);

    constructor(
        private readonly direct: VersionedStore,
        private readonly pickPeer: (excluded: ReadonlySet<PeerClient>) => PeerClient | undefined,
        log: Logger,
    ) {
        this.health = new DirectStoreHealth(log);
    }

    get(key: string, progress: Progress): Promise<StoredValue | undefined> {
        return this.call(
            callProgress => this.health.measure(this.direct.get(key, callProgress)),
            askPeer({ kind: "get", key }),
            this.health.hedgeDelayMs(0),
            progress,
        );
    }

    range(prefix: string, progress: Progress, options: RangeOptions = {}): Promise<Snapshot> {
        const request = { kind: "range" as const, prefix, mayBeStale: options.mayBeStale ?? false };
        const transfer = new Transfer(options);
        const direct = (callProgress: Progress): Promise<Snapshot> =>
            this.direct.range(prefix, callProgress, { ...options, onBytes: transfer.onBytes });
        return this.call(direct, askPeer(request), rangeHedgeMs, progress, transfer);
    }

    changes(
        prefix: string,
        revision: number,
        waitMs: number,
        progress: Progress,
        options: TransferOptions = {},
    ): Promise<ChangeBatch> {
        const request = { kind: "changes" as const, prefix, revision, waitMs };
        const transfer = new Transfer(options);
        const direct = (callProgress: Progress): Promise<ChangeBatch> =>
            this.direct.changes(prefix, revision, waitMs, callProgress, { onBytes: transfer.onBytes });
        return this.call(direct, askPeer(request), waitMs + changesHedgeMs, progress, transfer);
    }

    txn(
        compares: readonly Compare[],
        puts: readonly Put[],
        progress: Progress,
        removals: readonly string[] = [],
    ): Promise<TxnResult> {
        const request = { kind: "txn" as const, compares, puts, removals };
        const direct = (callProgress: Progress): Promise<TxnResult> =>
            this.health.measure(this.direct.txn(compares, puts, callProgress, removals));
        const bytes = puts.reduce((sum, { value }) => sum + value.length, 0);
        return this.call(direct, askPeer(request), this.health.hedgeDelayMs(bytes), progress);
    }

    /** Time of the fastest recent direct call, which tells how far the store is; undefined before the first one. */
    get fastestMs(): number | undefined {
        return this.health.fastestMs;
    }

    private call<T>(
        direct: DirectCall<T>,
        callPeer: PeerCall,
        hedgeAfterMs: number,
        progress: Progress,
        transfer = new Transfer(),
    ): Promise<T> {
        this.hedgeBudget.onRequest();
        const attempts = new CallAttempts(direct, callPeer, this.health, this.pickPeer);
        const triesPeersFirst = this.health.isSuspect(hedgeAfterMs);
        const startNext = (callProgress: Progress): Promise<T> | undefined =>
            triesPeersFirst ?
                attempts.startPeer(callProgress) ?? attempts.startDirect(callProgress) :
                attempts.startDirect(callProgress) ?? attempts.startPeer(callProgress);
        const mayHedge = (): boolean => this.hedgeBudget.tryAcquire();
        return hedgedCall({ startNext, mayHedge, hedgeAfterMs, isDefinitive, transfer }, progress);
    }
}

/** The attempts at one call: one made directly, and some through peers. */
class CallAttempts<T> {
    private readonly askedPeers = new Set<PeerClient>();
    private isDirectUntried = true;
    private isDirectOpen = false;

    constructor(
        private readonly direct: DirectCall<T>,
        private readonly callPeer: PeerCall,
        private readonly health: DirectStoreHealth,
        private readonly pickPeer: (excluded: ReadonlySet<PeerClient>) => PeerClient | undefined,
    ) {}

    /** Returns undefined if the call has been made directly. */
    startDirect(progress: Progress): Promise<T> | undefined {
        if (!this.isDirectUntried) {
            return undefined;
        }
        this.isDirectUntried = false;
        this.isDirectOpen = true;
        return this.direct(progress).then(value => {
            this.health.onSucceeded();
            return value;
        }, (err: unknown) => {
            if (!isDefinitive(err) && !progress.isAborted) {
                this.health.onFailed(err);
            }
            throw err;
        }).finally(() => this.isDirectOpen = false);
    }

    /** Returns undefined if no other peer can relay the call. */
    startPeer(progress: Progress): Promise<T> | undefined {
        const peer = this.askedPeers.size < maxRelayPeers ? this.pickPeer(this.askedPeers) : undefined;
        if (peer === undefined) {
            return undefined;
        }
        this.askedPeers.add(peer);
        return this.callPeer(peer, progress).then(value => {
            if (this.isDirectOpen) {
                this.health.onFailed(new Error("no response before that of a peer"));
            }
            return value as T;
        }, (err: unknown) => {
            if (!progress.isAborted) {
                peer.onRelayFailed();
            }
            throw err;
        });
    }
}

/** Whether an error is the definitive response of the store, which another attempt would not change. */
const isDefinitive = (err: unknown): boolean =>
    err instanceof HistoryGoneError || (err instanceof StoreRefusalError && !err.isRetryable);

const askPeer =
    <K extends PeerRequest["kind"]>(request: Extract<PeerRequest, { kind: K; }>): PeerCall => (peer, progress) =>
        peer.ask(request, progress);
