/**
 * Follows the store through a few instances of the region. Load pattern: a change that dozens of instances wait for, such as a
 * configuration of many routes, which each of them would otherwise fetch over the narrow link between regions.
 */
import { asError, ProblemError, rendezvous } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import type { ChangeBatch, RangeOptions, Snapshot, StoreChange, VersionedStore } from "@marigolddrift/store";
import { deflateRawSync, inflateRawSync } from "node:zlib";

import type { PeerClient } from "../peers/peerClient.js";
import { packChanges, unpackChanges } from "../peers/peerMessages.js";
import type { FollowedBatch, LocalInstance } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import type { ChangeFeed } from "./changeFeed.js";

/** Instances of a region that follow the store themselves: all are asked at once, as some may be cut off without a sign. */
const leaders = 3;

/** Size from which on changes are compressed between instances, in bytes. */
const compressedFromBytes = 16 * 1024;

/** Time that a peer may take beyond the wait, in milliseconds. */
const slackMs = 400;

/** Time that the store may take for an answer without a wait, in milliseconds. */
const answerMs = 900;

/** Fastest level: the text of a configuration repeats itself. */
const compressionLevel = 1;

type Packed = Omit<FollowedBatch, "revision">;

/** The calls that a {@link Follower} makes, for one prefix. */
export class RegionReads implements Pick<VersionedStore, "range" | "changes"> {
    private isLeader = true;
    /** The last batch as it was sent, since all peers wait for the same one. */
    private lastSent: { readonly key: string; readonly packed: Packed; } | undefined;

    constructor(
        private readonly self: LocalInstance,
        private readonly store: VersionedStore,
        private readonly peers: Pick<Peers, "usableInRegion">,
        private readonly feed: ChangeFeed,
        private readonly log: Logger,
    ) {}

    /** Whether this instance asks the store itself. */
    get followsDirectly(): boolean {
        return this.isLeader;
    }

    range(prefix: string, progress: Progress, options?: RangeOptions): Promise<Snapshot> {
        return this.store.range(prefix, progress, options);
    }

    async changes(prefix: string, revision: number, waitMs: number, progress: Progress): Promise<ChangeBatch> {
        const leading = waitMs > 0 ? this.findLeaders(prefix) : [];
        this.isLeader = leading.length === 0;
        if (!this.isLeader) {
            try {
                return await this.askAll(leading, prefix, revision, waitMs, progress);
            }
            catch (err) {
                progress.check();
                const reason = asError(err instanceof AggregateError ? err.errors[0] : err).message;
                this.log.info("followed without peers", { prefix, revision, reason });
                this.isLeader = true;
            }
        }
        const leftMs = Math.max(0, progress.leftMs - answerMs);
        return await this.store.changes(prefix, revision, Math.min(waitMs, leftMs), progress);
    }

    /** Answers a peer that follows through this instance. */
    async answer(prefix: string, revision: number, waitMs: number, progress: Progress): Promise<FollowedBatch> {
        if (!this.isLeader) {
            throw new ProblemError("not_durable", "notRun", "This instance does not follow the store itself.");
        }
        const { changes, revision: reached } = await this.feed.next(revision, waitMs, progress);
        return { ...this.pack(changes), revision: reached };
    }

    private pack(changes: readonly StoreChange[]): Packed {
        const revisions = changes.map(change => change.kind === "put" ? change.stored.revision : change.revision);
        const key = revisions.join();
        if (this.lastSent?.key !== key) {
            this.lastSent = { key, packed: pack(changes) };
        }
        return this.lastSent.packed;
    }

    /** The first peer that has changes, or has waited for the whole time without one. */
    private async askAll(
        asked: readonly PeerClient[],
        prefix: string,
        revision: number,
        waitMs: number,
        progress: Progress,
    ): Promise<ChangeBatch> {
        const own = progress.child(waitMs + slackMs);
        try {
            const question = { kind: "followed" as const, prefix, revision, waitMs };
            return unpack(await Promise.any(asked.map(peer => peer.ask(question, own))));
        }
        finally {
            own.abort(new Error("the question was answered by another peer"));
        }
    }

    /** Peers that follow the store for the region; none if this instance is one of them. */
    private findLeaders(prefix: string): PeerClient[] {
        const connected = this.peers.usableInRegion(this.self.region).filter(({ isConnected }) => isConnected);
        const byName = new Map(connected.map(peer => [peer.name, peer]));
        const names = rendezvous(prefix, [this.self.address(), ...byName.keys()]).slice(0, leaders);
        return names.includes(this.self.address()) ? [] : names.map(name => byName.get(name)!);
    }
}

const pack = (changes: readonly StoreChange[]): Packed => {
    const bytes = packChanges(changes);
    return bytes.length < compressedFromBytes ?
        { changes: bytes, isCompressed: false } :
        { changes: deflateRawSync(bytes, { level: compressionLevel }), isCompressed: true };
};

const unpack = ({ changes, revision, isCompressed }: FollowedBatch): ChangeBatch => ({
    changes: unpackChanges(isCompressed ? inflateRawSync(changes) : changes),
    revision,
});
