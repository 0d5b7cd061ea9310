/** The platform's store, directly or through a peer that still reaches it. */
import type { Logger, Progress } from "@marigolddrift/common";
import { HistoryGoneError, StoreRefusalError } from "@marigolddrift/store";
import type {
    ChangeBatch,
    Compare,
    Put,
    RangeOptions,
    Snapshot,
    StoredValue,
    TxnResult,
    VersionedStore,
} from "@marigolddrift/store";

import type { PeerClient } from "./peerClient.js";
import type { PeerQuestion } from "./peerMessages.js";

/** Time without an answer after which another way is tried as well, in milliseconds. */
const hedgeMs = 180;

/** The same for answers that may be long, in milliseconds: since the last part of the answer. */
const longHedgeMs = 900;

/** The same for changes, beyond the time for which the call waits for them, in milliseconds. */
const changesHedgeMs = 500;

/** Time after a failure in which calls go to peers first, in milliseconds; then one finds out whether the store answers. */
const doubtMs = 1_000;

/** Peers that are asked for one call at most: many of them may be turned away, too. */
const maxPeers = 3;

type DirectCall<T> = (own: Progress) => Promise<T>;
type AskPeer = (peer: PeerClient, progress: Progress) => Promise<unknown>;

/**
 * Makes each call directly, or through a peer while the store turns this instance away; another way is tried on an error and
 * after a silence. The first answer counts. Writes may so be made twice, which their conditions and unique values allow.
 */
export class RelayStore implements VersionedStore {
    private failedAt = -Infinity;

    constructor(
        private readonly direct: VersionedStore,
        private readonly pick: (except: ReadonlySet<PeerClient>) => PeerClient | undefined,
        private readonly log: Logger,
    ) {}

    get(key: string, progress: Progress): Promise<StoredValue | undefined> {
        return this.call(own => this.direct.get(key, own), ask({ kind: "get", key }), hedgeMs, progress);
    }

    range(prefix: string, progress: Progress, options: RangeOptions = {}): Promise<Snapshot> {
        const question = { kind: "range" as const, prefix, mayBeStale: options.mayBeStale ?? false };
        // Instances that all fetch a long answer once more through peers fill a narrow link for good.
        let lastByteAt = -Infinity;
        const onBytes = (): void => {
            lastByteAt = performance.now();
            options.onBytes?.();
        };
        const direct = (own: Progress): Promise<Snapshot> => this.direct.range(prefix, own, { ...options, onBytes });
        return this.call(direct, ask(question), longHedgeMs, progress, () => lastByteAt);
    }

    changes(prefix: string, revision: number, waitMs: number, progress: Progress): Promise<ChangeBatch> {
        const question = { kind: "changes" as const, prefix, revision, waitMs };
        const direct = (own: Progress): Promise<ChangeBatch> => this.direct.changes(prefix, revision, waitMs, own);
        return this.call(direct, ask(question), waitMs + changesHedgeMs, progress);
    }

    txn(
        compares: readonly Compare[],
        puts: readonly Put[],
        progress: Progress,
        removals: readonly string[] = [],
    ): Promise<TxnResult> {
        const question = { kind: "txn" as const, compares, puts, removals };
        const direct = (own: Progress): Promise<TxnResult> => this.direct.txn(compares, puts, own, removals);
        return this.call(direct, ask(question), hedgeMs, progress);
    }

    private get isDoubtful(): boolean {
        return performance.now() - this.failedAt < doubtMs;
    }

    private call<T>(
        direct: DirectCall<T>,
        viaPeer: AskPeer,
        silenceMs: number,
        progress: Progress,
        lastByteAt: () => number = () => -Infinity,
    ): Promise<T> {
        const asked = new Set<PeerClient>();
        const askPeer = (own: Progress): Promise<T> | undefined => {
            const peer = asked.size < maxPeers ? this.pick(asked) : undefined;
            if (peer === undefined) {
                return undefined;
            }
            asked.add(peer);
            return viaPeer(peer, own).then(value => value as T, (err: unknown) => {
                if (!own.signal.aborted) {
                    peer.onRelayFailed();
                }
                throw err;
            });
        };
        let isDirectOpen = true;
        const askStore = (own: Progress): Promise<T> | undefined => {
            if (!isDirectOpen) {
                return undefined;
            }
            isDirectOpen = false;
            return direct(own).catch((err: unknown) => {
                if (!isFinal(err) && !own.signal.aborted) {
                    this.onDirectFailure(err);
                }
                throw err;
            });
        };
        const next = this.isDoubtful ?
            (own: Progress) => askPeer(own) ?? askStore(own) :
            (own: Progress) => askStore(own) ?? askPeer(own);
        return firstAnswer(next, silenceMs, progress, lastByteAt);
    }

    private onDirectFailure(err: unknown): void {
        if (!this.isDoubtful) {
            this.log.info("store call relayed", { error: String(err), reason: "the direct call failed" });
        }
        this.failedAt = performance.now();
    }
}

/** Tries one way after the other until one answers. */
const firstAnswer = <T>(
    next: (own: Progress) => Promise<T> | undefined,
    silenceMs: number,
    progress: Progress,
    lastByteAt: () => number,
): Promise<T> =>
    new Promise<T>((resolve, reject) => {
        // Ends the other ways when one has answered: a call left alone on a silent connection would hold it for ever.
        const own = progress.child(progress.leftMs);
        let open = 0;
        let timer: NodeJS.Timeout | undefined;
        const finish = (settle: () => void): void => {
            clearTimeout(timer);
            settle();
            own.abort(new Error("the call was answered another way"));
        };
        const start = (): boolean => {
            const way = own.signal.aborted ? undefined : next(own);
            if (way === undefined) {
                return false;
            }
            open += 1;
            clearTimeout(timer);
            timer = setTimeout(onSilence, silenceMs);
            own.race(way).then(value => finish(() => resolve(value)), onError);
            return true;
        };
        const onSilence = (): void => {
            const quietMs = performance.now() - lastByteAt();
            if (quietMs < silenceMs) {
                timer = setTimeout(onSilence, silenceMs - quietMs);
                return;
            }
            start();
        };
        const onError = (err: unknown): void => {
            open -= 1;
            if (isFinal(err) || (!start() && open === 0)) {
                finish(() => reject(err));
            }
        };
        if (!start()) {
            finish(() => reject(progress.signal.reason));
        }
    });

/** Answers that another way to the store would not change. */
const isFinal = (err: unknown): boolean =>
    err instanceof HistoryGoneError || (err instanceof StoreRefusalError && !err.isRetryable);

const ask =
    <K extends PeerQuestion["kind"]>(question: Extract<PeerQuestion, { kind: K; }>): AskPeer => (peer, progress) =>
        peer.ask(question, progress);

/** Makes a peer's call to the store; never relayed further. */
export const answerStoreQuestion = async (
    store: VersionedStore,
    question: Extract<PeerQuestion, { kind: "get" | "range" | "changes" | "txn"; }>,
    progress: Progress,
): Promise<unknown> => {
    switch (question.kind) {
        case "get":
            return await store.get(question.key, progress);
        case "range":
            return await store.range(question.prefix, progress, { mayBeStale: question.mayBeStale });
        case "changes":
            return await store.changes(question.prefix, question.revision, question.waitMs, progress);
        case "txn":
            return await store.txn(question.compares, question.puts, progress, question.removals);
    }
};
