/** Access to the platform's store, either directly or relayed through a peer that can still reach it. */
import type { Logger, Progress } from "@marigolddrift/common";
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

/** Delay without a response before another attempt is started. */
const hedgeMs = 180;

/** Hedge delay of `range`, whose responses may be long: measured from the last byte received. */
const rangeHedgeMs = 900;

/** Hedge delay of `changes`, in addition to the time for which the call itself waits for changes. */
const changesHedgeMs = 500;

/** Time after a failed direct call for which peers are tried first; then a direct call probes the store again. */
const directSuspicionMs = 1_000;

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
    private directFailedAt = -Infinity;

    constructor(
        private readonly direct: VersionedStore,
        private readonly pickPeer: (excluded: ReadonlySet<PeerClient>) => PeerClient | undefined,
        private readonly log: Logger,
    ) {}

    get(key: string, progress: Progress): Promise<StoredValue | undefined> {
        return this.call(
            callProgress => this.direct.get(key, callProgress),
            askPeer({ kind: "get", key }),
            hedgeMs,
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
            this.direct.txn(compares, puts, callProgress, removals);
        return this.call(direct, askPeer(request), hedgeMs, progress);
    }

    private get isDirectSuspect(): boolean {
        return performance.now() - this.directFailedAt < directSuspicionMs;
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
            return callPeer(peer, callProgress).then(value => value as T, (err: unknown) => {
                if (!callProgress.signal.aborted) {
                    peer.onRelayFailed();
                }
                throw err;
            });
        };
        let isDirectUntried = true;
        const startDirectCall = (callProgress: Progress): Promise<T> | undefined => {
            if (!isDirectUntried) {
                return undefined;
            }
            isDirectUntried = false;
            return direct(callProgress).catch((err: unknown) => {
                if (!isDefinitive(err) && !callProgress.signal.aborted) {
                    this.onDirectFailure(err);
                }
                throw err;
            });
        };
        const startNext = this.isDirectSuspect ?
            (callProgress: Progress) => startPeerCall(callProgress) ?? startDirectCall(callProgress) :
            (callProgress: Progress) => startDirectCall(callProgress) ?? startPeerCall(callProgress);
        return hedgedCall(startNext, hedgeAfterMs, progress, transfer);
    }

    private onDirectFailure(err: unknown): void {
        if (!this.isDirectSuspect) {
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
                return;
            }
            start();
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
