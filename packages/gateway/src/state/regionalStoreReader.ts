/**
 * Reads changes of the store through a few instances of the region. Load pattern: a change that dozens of instances
 * wait for, such as a configuration with many routes, which each of them would otherwise read over the narrow link
 * between regions.
 */
import { asError, isDeadlineExceeded, ProblemError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import type {
    ChangeBatch,
    RangeOptions,
    Snapshot,
    StoreChange,
    TransferOptions,
    VersionedStore,
} from "@marigolddrift/store";
import { deflateRawSync, inflateRawSync } from "node:zlib";

import type { Duties } from "../fleet/duties.js";
import type { PeerClient } from "../peers/peerClient.js";
import { packChanges, unpackChanges } from "../peers/peerMessages.js";
import type { LocalInstance, PackedChangeBatch, PeerRequest } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import type { ChangeFeed } from "./changeFeed.js";

/** Number of leaders per region. All are asked at once, since some may have lost their connection unnoticed. */
const leaderCount = 3;

/** Size of a region up to which every instance reads the store itself: leaders would save few reads. */
const maxIndependentInstances = 2 * leaderCount;

/** Minimum size of changes that are compressed between instances. */
const compressionThresholdBytes = 16 * 1024;

/** Time that a peer may take to respond beyond the requested wait. */
const peerSlackMs = 400;

/** Wait of a question to a leader, and of a leader's read, as a share of the time within which a change must arrive. */
const waitShare = 0.3;

/** Age that a leader's view reaches between two reads of the store: a response over a slow link, and a short pause. */
const readIntervalSlackMs = 300;

/** The fastest level suffices, since the text of a configuration is repetitive. */
const compressionLevel = 1;

/** Name of the store as the source of a batch, where a peer has its own name. */
export const directSource = "store";

type PackedChanges = Omit<PackedChangeBatch, "revision">;

/** How an instance reads the changes of a prefix. */
type ReadingRole =
    | { readonly kind: "independent"; }
    /** The instance reads the store for itself and its peers. */
    | { readonly kind: "leader"; }
    | { readonly kind: "follower"; readonly leaders: readonly PeerClient[]; };

/**
 * The store reads of a {@link PrefixWatcher} for one key prefix. Changes are read from the region's leaders, the
 * instances that read the store directly; from the store if this instance is a leader, the region is small, or no leader
 * responds with a recent view. A leader that has lost the store or its connections does not delay the others beyond the
 * time limit for changes: it passes on an empty batch only while its own view is recent, and is asked for short waits.
 */
export class RegionalStoreReader implements Pick<VersionedStore, "range" | "changes"> {
    /** The store or the name of the peer that sent the last batch. */
    source = directSource;
    private isReadingDirectly = true;
    private leaderNames = "";
    /** Monotonic time of the last sign of the store in reads of this instance. */
    private confirmedAt = -Infinity;
    private readonly failedLeaders = new Set<string>();
    private readonly leaderWaitMs: number;
    /** The last encoded batch, since all peers wait for the same one. */
    private lastPacked: { readonly key: string; readonly packed: PackedChanges; } | undefined;

    /** @param changeDelayLimitMs Time within which a change must arrive at an instance that reaches the store. */
    constructor(
        private readonly localInstance: LocalInstance,
        private readonly store: Pick<VersionedStore, "range" | "changes">,
        private readonly duties: Pick<Duties, "carriers" | "order">,
        private readonly peers: Pick<Peers, "isReachable" | "getByName">,
        private readonly feed: ChangeFeed,
        changeDelayLimitMs: number,
        private readonly log: Logger,
    ) {
        this.leaderWaitMs = Math.round(waitShare * changeDelayLimitMs);
    }

    /** Whether this instance reads from the store directly. */
    get readsDirectly(): boolean {
        return this.isReadingDirectly;
    }

    /** Time for which peers may still rely on this instance's view of the store. */
    private get recentForMs(): number {
        return this.confirmedAt + this.leaderWaitMs + readIntervalSlackMs - performance.now();
    }

    async range(prefix: string, progress: Progress, options: RangeOptions = {}): Promise<Snapshot> {
        const startedAt = performance.now();
        const snapshot = await this.store.range(prefix, progress, options);
        this.confirmedAt = startedAt;
        return snapshot;
    }

    async changes(
        prefix: string,
        revision: number,
        waitMs: number,
        progress: Progress,
        options: TransferOptions = {},
    ): Promise<ChangeBatch> {
        const startedAt = performance.now();
        const role: ReadingRole = waitMs > 0 ? this.findRole(prefix) : { kind: "independent" };
        const leaderWaitMs = Math.min(waitMs, this.leaderWaitMs);
        this.isReadingDirectly = role.kind !== "follower";
        if (role.kind === "follower") {
            try {
                return await this.readFromAnyPeer(role.leaders, prefix, revision, leaderWaitMs, progress);
            }
            catch (err) {
                progress.throwIfAborted();
                const reason = asError(err instanceof AggregateError ? err.errors[0] : err).message;
                this.log.info("store followed directly, because the leading peers failed", {
                    prefix,
                    revision,
                    reason,
                });
                this.isReadingDirectly = true;
            }
        }
        const leftMs = Math.max(0, waitMs - (performance.now() - startedAt));
        const storeWaitMs = role.kind === "leader" ? leaderWaitMs : leftMs;
        return await this.readFromStore(prefix, revision, storeWaitMs, progress, options);
    }

    /** Reads changes for a peer that watches the prefix through this instance. */
    async readForPeer(
        prefix: string,
        revision: number,
        waitMs: number,
        progress: Progress,
    ): Promise<PackedChangeBatch> {
        if (!this.isReadingDirectly) {
            throw new ProblemError("not_durable", "notRun", "This instance does not follow the store itself.");
        }
        const endsAt = performance.now() + waitMs;
        for (;;) {
            const leftMs = Math.max(0, endsAt - performance.now());
            const batch = await this.feed.next(revision, Math.min(leftMs, Math.max(0, this.recentForMs)), progress);
            if (batch.changes.length > 0) {
                return { ...this.packCached(batch.changes), revision: batch.revision };
            }
            if (this.recentForMs <= 0) {
                throw new ProblemError("not_durable", "notRun", "This instance's view of the store is not recent.");
            }
            if (performance.now() >= endsAt) {
                return { ...pack([]), revision: batch.revision };
            }
        }
    }

    private async readFromStore(
        prefix: string,
        revision: number,
        waitMs: number,
        progress: Progress,
        options: TransferOptions,
    ): Promise<ChangeBatch> {
        const onBytes = (): void => {
            this.confirmedAt = performance.now();
            options.onBytes?.();
        };
        const batch = await this.store.changes(prefix, revision, waitMs, progress, { onBytes });
        this.confirmedAt = performance.now();
        this.source = directSource;
        return batch;
    }

    private packCached(changes: readonly StoreChange[]): PackedChanges {
        const revisions = changes.map(change => change.kind === "put" ? change.stored.revision : change.revision);
        const key = revisions.join();
        if (this.lastPacked?.key !== key) {
            this.lastPacked = { key, packed: pack(changes) };
        }
        return this.lastPacked.packed;
    }

    /** Asks all leaders and returns the first reply: a batch of changes, or an empty one after the whole wait. */
    private async readFromAnyPeer(
        leaders: readonly PeerClient[],
        prefix: string,
        revision: number,
        waitMs: number,
        progress: Progress,
    ): Promise<ChangeBatch> {
        const attempt = progress.child(waitMs + peerSlackMs);
        const request = { kind: "followed" as const, prefix, revision, waitMs };
        let batch: ChangeBatch | undefined;
        try {
            const replies = leaders.map(async peer => ({ peer, packed: await this.askLeader(peer, request, attempt) }));
            const { peer, packed } = await Promise.any(replies);
            batch = unpack(packed);
            this.source = peer.name;
            return batch;
        }
        finally {
            // After an empty batch the other leaders are due as well: those that do not respond in time have failed.
            if (batch === undefined || batch.changes.length > 0) {
                attempt.abort(new Error("the question was answered by another peer"));
            }
        }
    }

    private async askLeader(
        peer: PeerClient,
        request: Extract<PeerRequest, { kind: "followed"; }>,
        attempt: Progress,
    ): Promise<PackedChangeBatch> {
        const { prefix } = request;
        try {
            const packed = await peer.ask(request, attempt);
            if (this.failedLeaders.delete(peer.name)) {
                this.log.info("leading instance responds again", { prefix, peer: peer.name });
            }
            return packed;
        }
        catch (err) {
            const error = asError(err).message;
            const wasAnswered = attempt.isAborted && !isDeadlineExceeded(attempt.abortReason);
            if (!wasAnswered && !this.failedLeaders.has(peer.name)) {
                this.failedLeaders.add(peer.name);
                this.log.info("leading instance failed", { prefix, peer: peer.name, error });
            }
            throw err;
        }
    }

    private findRole(prefix: string): ReadingRole {
        if (this.duties.order(prefix).length <= maxIndependentInstances) {
            return { kind: "independent" };
        }
        const localName = this.localInstance.address();
        const isReachable = (name: string): boolean => name === localName || this.peers.isReachable(name);
        const names = this.duties.carriers(prefix, leaderCount, isReachable);
        this.logLeaders(prefix, names.join());
        return names.includes(localName) ?
            { kind: "leader" } :
            { kind: "follower", leaders: names.map(name => this.peers.getByName(name)!) };
    }

    private logLeaders(prefix: string, names: string): void {
        if (names !== this.leaderNames) {
            this.leaderNames = names;
            this.log.info("leading instances", { prefix, names });
        }
    }
}

const pack = (changes: readonly StoreChange[]): PackedChanges => {
    const bytes = packChanges(changes);
    return bytes.length < compressionThresholdBytes ?
        { changes: bytes, isCompressed: false } :
        { changes: deflateRawSync(bytes, { level: compressionLevel }), isCompressed: true };
};

const unpack = ({ changes, revision, isCompressed }: PackedChangeBatch): ChangeBatch => ({
    changes: unpackChanges(isCompressed ? inflateRawSync(changes) : changes),
    revision,
});
