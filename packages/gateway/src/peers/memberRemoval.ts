/**
 * Removes members that are gone for good from the list, as nobody can lend their share of the quotas, and new members wait for them. An instance
 * lends only if it has read the list within {@link maxListAgeMs}: one that still does finds the doubt in its own entry, and takes it out.
 */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import { currentMoment, elapsedMs } from "../elapsed.js";
import type { Moment } from "../elapsed.js";
import type { MemberList } from "./memberList.js";
import { parseMember } from "./memberList.js";
import type { PeerClient } from "./peerClient.js";

/** Age of what an instance has read of the list from which it lends no share. Longer than the platform's store is away. */
export const maxListAgeMs = 3_600_000;

/** Time beyond that for which a doubted member is kept: reads may be seconds old, and leases last some seconds. */
const removalMarginMs = 300_000;

/** Interval of the checks, and time without an answer after which a member is doubted. */
const checkIntervalMs = 60_000;
const doubtAfterMs = 300_000;

const askTimeoutMs = 1_000;
const storeTimeoutMs = 2_000;

/** Dependencies of a {@link MemberRemoval}. */
export interface MemberRemovalOptions {
    readonly members: Pick<MemberList, "read" | "doubt" | "removeUnchanged">;
    /** The front instances of this region, by the keys of their entries. */
    readonly fronts: () => ReadonlyMap<string, PeerClient>;
    /** Whether this instance is the one of its region that does it. */
    readonly isResponsible: () => boolean;
    readonly log: Logger;
}

/** A doubt that this instance has found or written. */
interface Doubt {
    readonly revision: number;
    readonly since: Moment;
}

/** Looks after the members of one region. */
export class MemberRemoval {
    private readonly silentSince = new Map<string, Moment>();
    private readonly doubts = new Map<string, Doubt>();
    private readonly timer = setInterval(() => void this.check(), checkIntervalMs).unref();

    constructor(private readonly options: MemberRemovalOptions) {}

    close(): void {
        clearInterval(this.timer);
    }

    /** Doubts members that have been silent for long, and removes those that did not take the doubt out in time. */
    async check(): Promise<void> {
        if (!this.options.isResponsible()) {
            this.silentSince.clear();
            this.doubts.clear();
            return;
        }
        const silent = await this.findSilent();
        if (silent.length === 0) {
            this.doubts.clear();
            return;
        }
        const progress = new Progress(storeTimeoutMs);
        try {
            await this.handle(silent, progress);
        }
        catch (err) {
            this.options.log.info("silent members not handled", { error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }

    /** Keys of the entries whose instances have been silent for long. */
    private async findSilent(): Promise<string[]> {
        const fronts = [...this.options.fronts()];
        await Promise.all(fronts.map(async ([key, peer]) => {
            if (await responds(peer)) {
                this.silentSince.delete(key);
            }
            else if (!this.silentSince.has(key)) {
                this.silentSince.set(key, currentMoment());
            }
        }));
        return fronts.map(([key]) => key).filter(key => {
            const since = this.silentSince.get(key);
            return since !== undefined && elapsedMs(since) >= doubtAfterMs;
        });
    }

    private async handle(silent: readonly string[], progress: Progress): Promise<void> {
        const { members, log } = this.options;
        const values = await members.read(progress);
        for (const stored of values.filter(({ key }) => silent.includes(key))) {
            const entry = parseMember(stored.value);
            const doubt = this.doubts.get(stored.key);
            if (entry !== undefined && !entry.doubted) {
                await members.doubt(stored, entry, progress);
                log.info("member doubted", { peer: entry.instance });
            }
            else if (doubt?.revision !== stored.revision) {
                this.doubts.set(stored.key, { revision: stored.revision, since: currentMoment() });
            }
            else if (performance.now() - doubt.since.monotonicMs >= maxListAgeMs + removalMarginMs) {
                const removed = await members.removeUnchanged(stored, progress);
                log.warn("member removed", { peer: entry?.instance, removed });
            }
        }
    }
}

const responds = async (peer: PeerClient): Promise<boolean> => {
    const progress = new Progress(askTimeoutMs);
    const wasConnected = peer.isConnected;
    try {
        await peer.ask({ kind: "standing" }, progress);
        if (!wasConnected) {
            peer.closeIfIdle();
        }
        return true;
    }
    catch {
        return false;
    }
    finally {
        progress.dispose();
    }
};
