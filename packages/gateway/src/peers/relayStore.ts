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

/** Time without an answer after which a peer is asked as well, in milliseconds. */
const hedgeMs = 180;

/** Time after a failure in which peers are asked at once, beside the direct call, in milliseconds. */
const doubtMs = 2_000;

type DirectCall<T> = (own: Progress) => Promise<T>;
type AskPeer = (peer: PeerClient, progress: Progress) => Promise<unknown>;

/**
 * Makes each call directly; on an error, a long silence, or at once after a recent failure, a peer makes it as well. The
 * first answer counts. Writes may so be made twice, which their conditions and unique values allow.
 */
export class RelayStore implements VersionedStore {
    private failedAt = -Infinity;

    constructor(
        private readonly direct: VersionedStore,
        private readonly pick: () => PeerClient | undefined,
        private readonly log: Logger,
    ) {}

    get(key: string, progress: Progress): Promise<StoredValue | undefined> {
        return this.call(own => this.direct.get(key, own), ask({ kind: "get", key }), hedgeMs, progress);
    }

    range(prefix: string, progress: Progress, options: RangeOptions = {}): Promise<Snapshot> {
        const question = { kind: "range" as const, prefix, mayBeStale: options.mayBeStale ?? false };
        return this.call(own => this.direct.range(prefix, own, options), ask(question), hedgeMs, progress);
    }

    changes(prefix: string, revision: number, waitMs: number, progress: Progress): Promise<ChangeBatch> {
        const question = { kind: "changes" as const, prefix, revision, waitMs };
        const direct = (own: Progress): Promise<ChangeBatch> => this.direct.changes(prefix, revision, waitMs, own);
        return this.call(direct, ask(question), waitMs + hedgeMs, progress);
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

    private call<T>(direct: DirectCall<T>, viaPeer: AskPeer, silenceMs: number, progress: Progress): Promise<T> {
        return new Promise<T>((resolve, reject) => {
            // Ends the other way when one has answered: a call left alone on a silent connection would hold it for ever.
            const own = progress.child(progress.leftMs);
            let open = 1;
            let asked = false;
            const finish = (settle: () => void): void => {
                clearTimeout(timer);
                settle();
                own.abort(new Error("the call was answered another way"));
            };
            const onError = (err: unknown): void => {
                open -= 1;
                if (isFinal(err) || open === 0) {
                    finish(() => reject(err));
                }
            };
            const askPeer = (): void => {
                const peer = asked ? undefined : this.pick();
                if (peer !== undefined && !own.signal.aborted) {
                    asked = true;
                    open += 1;
                    viaPeer(peer, own).then(value => finish(() => resolve(value as T)), onError);
                }
            };
            const timer = setTimeout(askPeer, this.isDoubtful ? 0 : silenceMs);
            own.race(direct(own)).then(value => finish(() => resolve(value)), (err: unknown) => {
                if (!isFinal(err) && !own.signal.aborted) {
                    this.onDirectFailure(err);
                    askPeer();
                }
                onError(err);
            });
        });
    }

    private onDirectFailure(err: unknown): void {
        if (!this.isDoubtful) {
            this.log.info("store call relayed", { error: String(err), reason: "the direct call failed" });
        }
        this.failedAt = performance.now();
    }
}

/** Answers that another way to the store would not change. */
const isFinal = (err: unknown): boolean =>
    err instanceof HistoryGoneError || (err instanceof StoreRefusalError && !err.isBusy);

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
