/** The list of the instances in the store, in which each one registers itself. */
import type { Logger, Progress } from "@marigolddrift/common";
import type { RangeOptions, StoredValue, VersionedStore } from "@marigolddrift/store";
import { randomBytes } from "node:crypto";
import { z } from "zod";

import { peerName } from "./peerMessages.js";
import type { PeerAddress } from "./peerMessages.js";

const membersPrefix = "marigolddrift/members/";
const sharedKeyName = "marigolddrift/peer-key";
const keyBytes = 24;

const entrySchema = z.object({
    instance: z.string(),
    host: z.string(),
    port: z.number(),
    zone: z.string(),
    region: z.string(),
    keepsTurns: z.boolean().default(false),
    /** Whether all instances that may lend shares count with this one. It lends none before this stands here. */
    recognized: z.boolean().default(false),
    /** Whether another instance has not reached this one for long, and would remove it. */
    doubted: z.boolean().default(false),
});

/** An entry of the list. */
export type MemberEntry = z.infer<typeof entrySchema>;

/** Returns the key of a machine's entry. */
export const memberKey = (machine: string): string => `${membersPrefix}${machine}`;

/** Returns what an entry says; undefined if the entry is not valid. */
export const parseMember = (value: Buffer): MemberEntry | undefined => {
    try {
        return entrySchema.parse(JSON.parse(value.toString()));
    }
    catch {
        return undefined; // The caller logs it.
    }
};

const packMember = (entry: Partial<MemberEntry>): Buffer => Buffer.from(JSON.stringify(entry));

/** Registers this instance, and reads the registered ones. */
export class MemberList {
    private sharedKey: string | undefined;
    private registered = false;
    private recognized = false;
    /** Revision of the store at which this instance was registered. */
    registeredRevision = 0;

    /** @param tracksRecognition Whether entries say if an instance is recognized; then each change of an entry is conditional. */
    constructor(
        private readonly machine: string,
        private readonly localAddress: () => PeerAddress,
        private readonly store: VersionedStore,
        private readonly log: Logger,
        private readonly tracksRecognition: boolean,
    ) {}

    /** Whether this instance has been added to the list. */
    get isRegistered(): boolean {
        return this.registered;
    }

    /** Whether the entry of this instance says that it is recognized. */
    get isRecognized(): boolean {
        return this.recognized;
    }

    /** Shared key, which proves that a peer can read the same store; undefined until it has been read. */
    get key(): string | undefined {
        return this.sharedKey;
    }

    /** Reads the shared key unless it is known. */
    async loadKey(progress: Progress): Promise<void> {
        this.sharedKey ??= await progress.race(this.readOrCreateKey(progress));
    }

    async read(progress: Progress, options?: RangeOptions): Promise<readonly StoredValue[]> {
        const { values } = await progress.race(this.store.range(membersPrefix, progress, options));
        return values;
    }

    /** Registers this instance unless it is registered. */
    async register(progress: Progress): Promise<void> {
        if (this.registered) {
            return;
        }
        const local = this.localAddress();
        const key = memberKey(this.machine);
        if (this.tracksRecognition) {
            await this.registerAfter(await this.store.get(key, progress), progress);
        }
        else {
            await this.store.txn([], [{ key, value: packMember(local) }], progress);
        }
        this.registered = true;
        this.log.info("registered", { machine: this.machine, recognized: this.recognized });
    }

    /**
     * Notes that the list does not have the entry of this process.
     *
     * @param isRemoved Whether there is none of its machine, so that it is to be registered again.
     */
    onUnlisted(isRemoved: boolean): void {
        this.registered &&= !isRemoved;
        this.recognized = false;
    }

    /** Notes that the entry of this process, which has been read, says that it is recognized. */
    onRecognized(): void {
        this.recognized = true;
    }

    /**
     * Writes that this instance is recognized, unless its entry has changed since the list was read by which it is.
     *
     * @param revision Revision of the entry in that list.
     */
    async markRecognized(revision: number, progress: Progress): Promise<boolean> {
        const entry = { ...this.localAddress(), recognized: true };
        this.recognized = await this.replace({ key: memberKey(this.machine), revision }, entry, progress) !== undefined;
        return this.recognized;
    }

    /** Takes the doubt out of the entry of this process; resolves to whether there is none now. */
    async takeDoubtOut(progress: Progress): Promise<boolean> {
        const stored = await this.store.get(memberKey(this.machine), progress);
        const entry = stored && parseMember(stored.value);
        const local = this.localAddress();
        if (stored === undefined || entry?.instance !== local.instance) {
            return false;
        }
        const { recognized } = entry;
        return !entry.doubted || await this.replace(stored, { ...local, recognized }, progress) !== undefined;
    }

    /** Writes a doubt into the entry of another instance; resolves to whether the entry was still the given one. */
    async doubt(stored: StoredValue, entry: MemberEntry, progress: Progress): Promise<boolean> {
        return await this.replace(stored, { ...entry, doubted: true }, progress) !== undefined;
    }

    /** Removes the entry of another instance unless it has changed. */
    async removeUnchanged({ key, revision }: StoredValue, progress: Progress): Promise<boolean> {
        const { succeeded } = await progress.race(this.store.txn([{ key, revision }], [], progress, [key]));
        return succeeded;
    }

    /** Removes this instance from the list. */
    async unregister(progress: Progress): Promise<void> {
        await progress.race(this.store.txn([], [], progress, [memberKey(this.machine)]));
    }

    /** An earlier process of this machine was recognized under its address, and so this one is. */
    private async registerAfter(previous: StoredValue | undefined, progress: Progress): Promise<void> {
        const local = this.localAddress();
        const entry = previous && parseMember(previous.value);
        const recognized = entry?.recognized === true && peerName(entry) === peerName(local);
        const stored = previous ?? { key: memberKey(this.machine), revision: 0 };
        const revision = await this.replace(stored, { ...local, recognized }, progress);
        if (revision === undefined) {
            throw new Error("the entry of this machine has changed while it was registered");
        }
        this.registeredRevision = revision;
        this.recognized = recognized;
    }

    /** Resolves to the revision of the change; to undefined if the entry has changed before. */
    private async replace(
        { key, revision }: Pick<StoredValue, "key" | "revision">,
        entry: Partial<MemberEntry>,
        progress: Progress,
    ): Promise<number | undefined> {
        const puts = [{ key, value: packMember(entry) }];
        const result = await progress.race(this.store.txn([{ key, revision }], puts, progress));
        return result.succeeded ? result.revision : undefined;
    }

    /** Reads the shared key, or creates it. If several instances create it concurrently, the first write wins. */
    private async readOrCreateKey(progress: Progress): Promise<string | undefined> {
        const stored = await this.store.get(sharedKeyName, progress);
        if (stored !== undefined) {
            return stored.value.toString();
        }
        const value = Buffer.from(randomBytes(keyBytes).toString("hex"));
        const compares = [{ key: sharedKeyName, revision: 0 }];
        const { succeeded } = await this.store.txn(compares, [{ key: sharedKeyName, value }], progress);
        return succeeded ? value.toString() : (await this.store.get(sharedKeyName, progress))?.value.toString();
    }
}
