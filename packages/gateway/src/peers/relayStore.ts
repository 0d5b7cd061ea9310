/** Access to the platform's store, either directly or relayed through a peer that can still reach it. */
import type { Logger, Progress } from "@marigolddrift/common";
import { LatencyEstimate, RetryBudget } from "@marigolddrift/policy";
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

import type { PeerClient } from "./peerClient.js";
import type { PeerRequest } from "./peerMessages.js";

/** Minimum delay without a response before another attempt is started. */
const minHedgeMs = 180;

/** Maximum delay of that kind, although responses are usually later. */
const maxHedgeMs = 500;

/** Rate at which a write is expected to cross a busy link between regions; a long write is not late before it has arrived. */
const minUploadBytesPerMs = 250;

/**
 * Hedges per call, over many calls. Above the share of responses that a faulty store loses; if nearly all calls are late,
 * the link is slow, and further attempts make it slower.
 */
const hedgeShare = 0.5;

/** Hedge delay of `range`, whose responses may be long: measured from the last byte received. */
const rangeHedgeMs = 900;

/** Hedge delay of `changes`, in addition to the time for which the call itself waits for changes. */
const changesHedgeMs = 500;

/** Time after a failed direct call for which peers are tried first; then one direct call at a time probes the store. */
const directSuspicionMs = 1_000;

/** Number of direct calls of which the fastest counts. */
const recentCalls = 16;

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
    /** Monotonic time of the last failure of a direct call; undefined since a direct call succeeded. */
    private directFailedAt: number | undefined;
    private nextProbeAt = -Infinity;
    private readonly latency = new LatencyEstimate();
    private readonly recentMs: number[] = [];
    private readonly hedgeBudget = new RetryBudget(hedgeShare);

    constructor(
        private readonly direct: VersionedStore,
        private readonly pickPeer: (excluded: ReadonlySet<PeerClient>) => PeerClient | undefined,
        private readonly log: Logger,
    ) {}

    get(key: string, progress: Progress): Promise<StoredValue | undefined> {
        return this.call(
            callProgress => this.measure(this.direct.get(key, callProgress)),
            askPeer({ kind: "get", key }),
            this.hedgeDelayMs(0),
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
            this.measure(this.direct.txn(compares, puts, callProgress, removals));
        const bytes = puts.reduce((sum, { value }) => sum + value.length, 0);
        return this.call(direct, askPeer(request), this.hedgeDelayMs(bytes), progress);
    }

    /** Time of the fastest recent direct call, which tells how far the store is; undefined before the first one. */
    get fastestMs(): number | undefined {
        return this.recentMs.length === 0 ? undefined : Math.min(...this.recentMs);
    }

    /** Time after which a response to a call with a body of this size is later than usual. */
    private hedgeDelayMs(bytes: number): number {
        return Math.min(maxHedgeMs, this.latency.hedgeDelayMs(minHedgeMs)) + bytes / minUploadBytesPerMs;
    }

    private async measure<T>(response: Promise<T>): Promise<T> {
        const startedAt = performance.now();
        const value = await response;
        const ms = performance.now() - startedAt;
        this.latency.record(ms);
        this.recentMs.push(ms);
        this.recentMs.splice(0, this.recentMs.length - recentCalls);
        return value;
    }

    /** Whether to try peers first. After the suspicion time, one call at a time probes whether the store responds again. */
    private isDirectSuspect(hedgeAfterMs: number): boolean {
        const now = performance.now();
        if (this.directFailedAt === undefined) {
            return false;
        }
        if (now - this.directFailedAt < directSuspicionMs || now < this.nextProbeAt) {
            return true;
        }
        this.nextProbeAt = now + Math.min(hedgeAfterMs, maxHedgeMs);
        return false;
    }

    private call<T>(
        direct: DirectCall<T>,
        callPeer: PeerCall,
        hedgeAfterMs: number,
        progress: Progress,
        transfer = new Transfer(),
    ): Promise<T> {
        const askedPeers = new Set<PeerClient>();
        const startPeerCall = (callProgress: Progress): Promise<T> | undefined => {
            const peer = askedPeers.size < maxRelayPeers ? this.pickPeer(askedPeers) : undefined;
            if (peer === undefined) {
                return undefined;
            }
            askedPeers.add(peer);
            return callPeer(peer, callProgress).then(value => {
                if (isDirectOpen) {
                    this.onDirectFailure(new Error("no response before that of a peer"));
                }
                return value as T;
            }, (err: unknown) => {
                if (!callProgress.signal.aborted) {
                    peer.onRelayFailed();
                }
                throw err;
            });
        };
        this.hedgeBudget.onRequest();
        let isDirectUntried = true;
        let isDirectOpen = false;
        const startDirectCall = (callProgress: Progress): Promise<T> | undefined => {
            if (!isDirectUntried) {
                return undefined;
            }
            isDirectUntried = false;
            isDirectOpen = true;
            return direct(callProgress).then(value => {
                this.directFailedAt = undefined;
                return value;
            }, (err: unknown) => {
                if (!isDefinitive(err) && !callProgress.signal.aborted) {
                    this.onDirectFailure(err);
                }
                throw err;
            }).finally(() => isDirectOpen = false);
        };
        const startNext = this.isDirectSuspect(hedgeAfterMs) ?
            (callProgress: Progress) => startPeerCall(callProgress) ?? startDirectCall(callProgress) :
            (callProgress: Progress) => startDirectCall(callProgress) ?? startPeerCall(callProgress);
        return hedgedCall(startNext, () => this.hedgeBudget.tryAcquire(), hedgeAfterMs, progress, transfer);
    }

    private onDirectFailure(err: unknown): void {
        if (this.directFailedAt === undefined) {
            this.log.info("store call relayed", {
                error: String(err),
                reason: "direct store call failed",
            });
        }
        this.directFailedAt = performance.now();
    }
}

/**
 * The arrival of a long response. If all instances hedged while one is arriving, the transfers would saturate a slow
 * link for good.
 */
class Transfer {
    /** Monotonic time at which the last chunk arrived. */
    lastByteAt = -Infinity;

    constructor(private readonly options: TransferOptions = {}) {}

    readonly onBytes = (): void => {
        this.lastByteAt = performance.now();
        this.options.onBytes?.();
    };
}

/** Starts one attempt after another until one succeeds or none is left. */
const hedgedCall = <T>(
    startNext: (callProgress: Progress) => Promise<T> | undefined,
    mayHedge: () => boolean,
    hedgeAfterMs: number,
    progress: Progress,
    transfer: Transfer,
): Promise<T> =>
    new Promise<T>((resolve, reject) => {
        // Aborts the other attempts when one has succeeded: an abandoned call would hold a silent connection forever.
        const callProgress = progress.child(progress.leftMs);
        let openAttempts = 0;
        let timer: NodeJS.Timeout | undefined;
        const finish = (settle: () => void): void => {
            clearTimeout(timer);
            settle();
            callProgress.abort(new Error("another attempt completed the call"));
        };
        const start = (): boolean => {
            const attempt = callProgress.signal.aborted ? undefined : startNext(callProgress);
            if (attempt === undefined) {
                return false;
            }
            openAttempts += 1;
            clearTimeout(timer);
            timer = setTimeout(onHedgeTimer, hedgeAfterMs);
            callProgress.race(attempt).then(value => finish(() => resolve(value)), onError);
            return true;
        };
        const onHedgeTimer = (): void => {
            const silentMs = performance.now() - transfer.lastByteAt;
            if (silentMs < hedgeAfterMs) {
                timer = setTimeout(onHedgeTimer, hedgeAfterMs - silentMs);
            }
            else if (mayHedge()) {
                start();
            }
            else {
                timer = setTimeout(onHedgeTimer, hedgeAfterMs);
            }
        };
        const onError = (err: unknown): void => {
            openAttempts -= 1;
            if (isDefinitive(err) || (!start() && openAttempts === 0)) {
                finish(() => reject(err));
            }
        };
        if (!start()) {
            finish(() => reject(progress.signal.reason));
        }
    });

/** Whether an error is the definitive response of the store, which another attempt would not change. */
const isDefinitive = (err: unknown): boolean =>
    err instanceof HistoryGoneError || (err instanceof StoreRefusalError && !err.isRetryable);

const askPeer =
    <K extends PeerRequest["kind"]>(request: Extract<PeerRequest, { kind: K; }>): PeerCall => (peer, progress) =>
        peer.ask(request, progress);

/** Makes a store call on behalf of a peer. The call is never relayed further. */
export const handleStoreRequest = async (
    store: VersionedStore,
    request: Extract<PeerRequest, { kind: "get" | "range" | "changes" | "txn"; }>,
    progress: Progress,
): Promise<unknown> => {
    switch (request.kind) {
        case "get":
            return await store.get(request.key, progress);
        case "range":
            return await store.range(request.prefix, progress, { mayBeStale: request.mayBeStale });
        case "changes":
            return await store.changes(request.prefix, request.revision, request.waitMs, progress);
        case "txn":
            return await store.txn(request.compares, request.puts, progress, request.removals);
    }
};
