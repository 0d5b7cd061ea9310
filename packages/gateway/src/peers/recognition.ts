/**
 * Finds out whether all instances that may lend shares of the quotas count with this one. Load pattern: a machine is added while others cannot
 * read the list of members, so that neither an entry in the list nor the time since says what the others know.
 */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { StoredValue } from "@marigolddrift/store";

import type { MemberList } from "./memberList.js";
import { memberKey, parseMember } from "./memberList.js";
import type { PeerClient } from "./peerClient.js";
import { peerName } from "./peerMessages.js";
import type { PeerAddress } from "./peerMessages.js";

/** Timeout of a question to a peer, and of a call to the store. */
const askTimeoutMs = 1_000;

/** Peers that are asked at once: each may need a connection. */
const maxAskedAtOnce = 16;

/** Pauses before those that have not confirmed are asked again. */
const minPauseMs = 100;
const maxPauseMs = 5_000;

/** Time after which instances of earlier versions, which do not know the question, have read the list of members. */
const legacyRefreshMs = 10_000;

/** Time without an answer after which a member that lends no share is passed over, and spread of it: many instances may wait for one. */
const passOverAfterMs = 3_000;
const passOverSpreadMs = 2_000;

/** Interval at which the list is read again meanwhile, as members that are gone are removed from it. */
const rereadIntervalMs = 30_000;

/** Dependencies of a {@link Recognition}. */
export interface RecognitionOptions {
    readonly machine: string;
    readonly localAddress: () => PeerAddress;
    readonly members: Pick<MemberList, "registeredRevision" | "doubt" | "markRecognized" | "onRecognized">;
    /** The other front instances that are listed. */
    readonly fronts: () => readonly PeerClient[];
    /** Reads the current list, not an older one. */
    readonly readList: (progress: Progress) => Promise<readonly StoredValue[]>;
    /** Whether a peer is needed with its connection open. */
    readonly isNeeded: (peer: PeerClient) => boolean;
    readonly onRecognized: () => void;
    readonly random: () => number;
    readonly log: Logger;
}

/**
 * The recognition of one process. A peer that has confirmed once counts with the name of this instance for good.
 *
 * A member that does not answer is passed over if its entry says that it is not recognized itself, and has changed since this instance was
 * registered: it can't be recognized before it has read the list again, in which it finds this instance.
 */
export class Recognition {
    private readonly confirmed = new Set<string>();
    private readonly startedAt = performance.now();
    private readonly passOverAt: number;
    private list: readonly StoredValue[] = [];
    private readAt = -Infinity;
    private pauseMs = minPauseMs;
    private timer: NodeJS.Timeout | undefined;
    private isClosed = false;

    constructor(private readonly options: RecognitionOptions) {
        this.passOverAt = this.startedAt + passOverAfterMs + passOverSpreadMs * options.random();
    }

    /** Asks the others until all have confirmed. Called once this instance is registered. */
    start(): void {
        void this.advance();
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
    }

    private async advance(): Promise<void> {
        let isRecognized = false;
        try {
            await this.withProgress(progress => this.readIfDue(progress));
            await this.askAll();
            await this.withProgress(progress => this.passOverSilent(progress));
            isRecognized = await this.withProgress(progress => this.concludeIfAllCount(progress));
        }
        catch (err) {
            this.readAt = -Infinity;
            this.options.log.info("recognition not settled", { error: asError(err).message });
        }
        if (this.isClosed) {
            return;
        }
        if (isRecognized) {
            this.options.onRecognized();
            return;
        }
        this.logMissing();
        this.timer = setTimeout(() => void this.advance(), this.pauseMs).unref();
        this.pauseMs = Math.min(maxPauseMs, 2 * this.pauseMs);
    }

    private async withProgress<T>(run: (progress: Progress) => Promise<T>): Promise<T> {
        const progress = new Progress(askTimeoutMs);
        try {
            return await run(progress);
        }
        finally {
            progress.dispose();
        }
    }

    /** Peers that have not confirmed and can't be passed over. */
    private missing(): PeerClient[] {
        return this.options.fronts().filter(({ name }) => !this.confirmed.has(name) && !this.mayPassOver(name));
    }

    private listedAs(name: string): StoredValue | undefined {
        return this.list.find(({ value }) => {
            const entry = parseMember(value);
            return entry !== undefined && peerName(entry) === name;
        });
    }

    private mayPassOver(name: string): boolean {
        const stored = this.listedAs(name);
        return performance.now() >= this.passOverAt && stored !== undefined &&
            parseMember(stored.value)?.recognized === false &&
            stored.revision > this.options.members.registeredRevision;
    }

    private logMissing(): void {
        if (this.pauseMs >= maxPauseMs) {
            const peers = this.missing().map(({ address }) => address.instance);
            this.options.log.info("not recognized by all instances yet", { missing: peers.length, peers });
        }
    }

    private async readIfDue(progress: Progress): Promise<void> {
        const now = performance.now();
        if (now - this.readAt >= rereadIntervalMs) {
            this.list = await this.options.readList(progress);
            this.readAt = now;
        }
    }

    private async askAll(): Promise<void> {
        const remaining = this.missing();
        const askNext = async (): Promise<void> => {
            for (let peer = remaining.pop(); peer !== undefined && !this.isClosed; peer = remaining.pop()) {
                await this.ask(peer);
            }
        };
        await Promise.all(Array.from({ length: maxAskedAtOnce }, askNext));
    }

    private async ask(peer: PeerClient): Promise<void> {
        const { machine, localAddress, isNeeded } = this.options;
        const wasConnected = peer.isConnected;
        const request = { kind: "recognize" as const, machine, address: localAddress() };
        try {
            const answer = await this.withProgress(progress => peer.ask(request, progress));
            if (answer ?? performance.now() - this.startedAt >= legacyRefreshMs) {
                this.confirmed.add(peer.name);
            }
        }
        catch {
            // Asked again; who is missing is logged.
        }
        finally {
            if (!wasConnected && !isNeeded(peer)) {
                peer.closeIfIdle();
            }
        }
    }

    /** Changes the entries of silent members that lend no shares, unless somebody else has. The list is read again after it. */
    private async passOverSilent(progress: Progress): Promise<void> {
        if (performance.now() < this.passOverAt) {
            return;
        }
        const { members } = this.options;
        for (const { name } of this.missing()) {
            const stored = this.listedAs(name);
            const entry = stored && parseMember(stored.value);
            if (stored !== undefined && entry?.recognized === false) {
                this.readAt = -Infinity;
                await members.doubt(stored, entry, progress);
            }
        }
    }

    /** Writes that this instance is recognized if all others count with it; resolves to whether it is. */
    private async concludeIfAllCount(progress: Progress): Promise<boolean> {
        const { machine, localAddress, members } = this.options;
        const own = this.list.find(({ key }) => key === memberKey(machine));
        const entry = own && parseMember(own.value);
        if (own === undefined || entry?.instance !== localAddress().instance || this.missing().length > 0) {
            return false;
        }
        if (entry.recognized) {
            members.onRecognized(); // The reply to the write was lost.
            return true;
        }
        this.readAt = -Infinity;
        return await members.markRecognized(own.revision, progress);
    }
}
