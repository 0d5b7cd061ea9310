/**
 * Reads changes of the store through a few instances of the region. Load pattern: a change that dozens of instances
 * wait for, such as a configuration with many routes, which each of them would otherwise read over the narrow link
 * between regions.
 */
import { asError, ProblemError, rendezvous } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import type { ChangeBatch, RangeOptions, Snapshot, StoreChange, VersionedStore } from "@marigolddrift/store";
import { deflateRawSync, inflateRawSync } from "node:zlib";

import type { PeerClient } from "../peers/peerClient.js";
import { packChanges, unpackChanges } from "../peers/peerMessages.js";
import type { LocalInstance, PackedChangeBatch } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import type { ChangeFeed } from "./changeFeed.js";

/** Number of leaders per region. All are asked at once, since some may have lost their connection unnoticed. */
const leaderCount = 3;

/** Minimum size of changes that are compressed between instances. */
const compressionThresholdBytes = 16 * 1024;

/** Time that a peer may take to respond beyond the requested wait. */
const peerSlackMs = 400;

/** Time reserved for the store's response to a read that does not wait. */
const storeResponseMs = 900;

/** The fastest level suffices, since the text of a configuration is repetitive. */
const compressionLevel = 1;

/** Name of the store as the source of a batch, where a peer has its own name. */
export const directSource = "store";

type PackedChanges = Omit<PackedChangeBatch, "revision">;

/**
 * The store reads of a {@link PrefixWatcher} for one key prefix. Changes are read from the region's leaders, the
 * instances that read the store directly; from the store if this instance is a leader or all leaders fail.
 */
export class RegionalStoreReader implements Pick<VersionedStore, "range" | "changes"> {
    /** The store or the name of the peer that sent the last batch. */
    source = directSource;
    private isReadingDirectly = true;
    private leaderNames = "";
    /** The last encoded batch, since all peers wait for the same one. */
    private lastPacked: { readonly key: string; readonly packed: PackedChanges; } | undefined;

    constructor(
        private readonly localInstance: LocalInstance,
        private readonly store: VersionedStore,
        private readonly peers: Pick<Peers, "usableInRegion">,
        private readonly feed: ChangeFeed,
        private readonly log: Logger,
    ) {}

    /** Whether this instance reads from the store directly. */
    get readsDirectly(): boolean {
        return this.isReadingDirectly;
    }

    range(prefix: string, progress: Progress, options?: RangeOptions): Promise<Snapshot> {
        return this.store.range(prefix, progress, options);
    }

    async changes(prefix: string, revision: number, waitMs: number, progress: Progress): Promise<ChangeBatch> {
        const leaders = waitMs > 0 ? this.findLeaders(prefix) : [];
        this.isReadingDirectly = leaders.length === 0;
        if (!this.isReadingDirectly) {
            try {
                return await this.readFromAnyPeer(leaders, prefix, revision, waitMs, progress);
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
        const leftMs = Math.max(0, progress.leftMs - storeResponseMs);
        const batch = await this.store.changes(prefix, revision, Math.min(waitMs, leftMs), progress);
        this.source = directSource;
        return batch;
    }

    /** Reads changes for a peer that watches the prefix through this instance. */
    async readForPeer(
        prefix: string,
        revision: number,
        waitMs: number,
        progress: Progress,
    ): Promise<PackedChangeBatch> {
        if (!this.isReadingDirectly) {
            throw new ProblemError(
                "not_durable",
                "notRun",
                "This instance does not follow the store itself.",
            );
        }
        const { changes, revision: lastRevision } = await this.feed.next(revision, waitMs, progress);
        return { ...this.packCached(changes), revision: lastRevision };
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
        try {
            const request = { kind: "followed" as const, prefix, revision, waitMs };
            const answers = leaders.map(async peer => ({ peer, packed: await peer.ask(request, attempt) }));
            const { peer, packed } = await Promise.any(answers);
            this.source = peer.name;
            return unpack(packed);
        }
        finally {
            attempt.abort(new Error("the question was answered by another peer"));
        }
    }

    /** Returns the peers that read the store for the region; none if this instance is one of them. */
    private findLeaders(prefix: string): PeerClient[] {
        const connected = this.peers.usableInRegion(this.localInstance.region).filter(({ isConnected }) => isConnected);
        const byName = new Map(connected.map(peer => [peer.name, peer]));
        const names = rendezvous(prefix, [this.localInstance.address(), ...byName.keys()]).slice(0, leaderCount);
        this.logLeaders(prefix, names.join());
        return names.includes(this.localInstance.address()) ? [] : names.map(name => byName.get(name)!);
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
