/** Keeps the entry of an instance that lends shares in the list of members, and finds out whether the others count with it. */
import type { Logger, Progress } from "@marigolddrift/common";
import type { StoredValue } from "@marigolddrift/store";

import { currentMoment, elapsedMs } from "../elapsed.js";
import type { Moment } from "../elapsed.js";
import type { MemberList } from "./memberList.js";
import { memberKey, parseMember } from "./memberList.js";
import { maxListAgeMs } from "./memberRemoval.js";
import type { PeerClient } from "./peerClient.js";
import type { PeerAddress } from "./peerMessages.js";
import { Recognition } from "./recognition.js";

/** Interval at which the current list is read, not an older one. */
const currentReadIntervalMs = 120_000;

/** Dependencies of an {@link OwnListing}. */
export interface OwnListingOptions {
    readonly machine: string;
    readonly localAddress: () => PeerAddress;
    readonly members: MemberList;
    /** The other front instances that are listed. */
    readonly fronts: () => readonly PeerClient[];
    /** Reads the current list, and applies it. */
    readonly readCurrent: (progress: Progress) => Promise<readonly StoredValue[]>;
    /** Reads the list, which may be some seconds old, and applies what it has. */
    readonly readRecent: (progress: Progress) => Promise<readonly StoredValue[]>;
    /** Whether a peer is needed with its connection open. */
    readonly isNeeded: (peer: PeerClient) => boolean;
    readonly random: () => number;
    readonly log: Logger;
}

/** What the list says of this instance. */
export class OwnListing {
    private recognition: Recognition | undefined;
    /** Moment before the last read of the list in which the entry of this instance was in order. */
    private readAt: Moment | undefined;
    /** Monotonic time of the last read of the current list since this instance was registered. */
    private currentReadAt = -Infinity;
    private isClosed = false;

    constructor(private readonly options: OwnListingOptions) {}

    /** Whether all instances that may lend shares count with this one, and go on to do so. */
    get isCountedByAll(): boolean {
        const isRecent = this.readAt !== undefined && elapsedMs(this.readAt) < maxListAgeMs;
        return isRecent && this.options.members.isRecognized;
    }

    /** Reads the list of members. */
    async read(progress: Progress): Promise<void> {
        const readAt = currentMoment();
        const isCurrent = readAt.monotonicMs - this.currentReadAt >= currentReadIntervalMs;
        const { readCurrent, readRecent } = this.options;
        const values = await (isCurrent ? readCurrent(progress) : readRecent(progress));
        if (!await this.checkEntry(values, isCurrent, progress)) {
            return;
        }
        this.readAt = readAt;
        if (isCurrent) {
            this.currentReadAt = readAt.monotonicMs;
            this.seekRecognition();
        }
    }

    close(): void {
        this.isClosed = true;
        this.recognition?.close();
    }

    /** Whether the list has the entry of this process, without a doubt that could not be taken out. */
    private async checkEntry(
        values: readonly StoredValue[],
        isCurrent: boolean,
        progress: Progress,
    ): Promise<boolean> {
        const { machine, localAddress, members } = this.options;
        const own = values.find(({ key }) => key === memberKey(machine));
        const entry = own && parseMember(own.value);
        if (entry?.instance !== localAddress().instance) {
            if (isCurrent) {
                this.onUnlisted(own === undefined);
            }
            return false;
        }
        return !entry.doubted || await members.takeDoubtOut(progress);
    }

    /** Shares are lent no more: others do not count with this instance, or count with another process of its machine. */
    private onUnlisted(isRemoved: boolean): void {
        const { log, machine, members } = this.options;
        log.warn("no longer listed", { machine, isRemoved });
        this.currentReadAt = -Infinity;
        this.recognition?.close();
        this.recognition = undefined;
        members.onUnlisted(isRemoved);
    }

    /** Called when the list has this instance; others that register later find it there. */
    private seekRecognition(): void {
        const { fronts, log, members, readCurrent } = this.options;
        if (members.isRecognized || this.recognition !== undefined || this.isClosed) {
            return;
        }
        this.recognition = new Recognition({
            ...this.options,
            readList: readCurrent,
            onRecognized: () => log.info("recognized by all instances", { instances: fronts().length }),
        });
        this.recognition.start();
    }
}
