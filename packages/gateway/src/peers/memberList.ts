/** The list of the instances in the store, in which each one registers itself. */
import type { Logger, Progress } from "@marigolddrift/common";
import type { RangeOptions, StoredValue, VersionedStore } from "@marigolddrift/store";
import { randomBytes } from "node:crypto";
import { z } from "zod";

import type { PeerAddress } from "./peerMessages.js";

const membersPrefix = "marigolddrift/members/";
const sharedKeyName = "marigolddrift/peer-key";
const keyBytes = 24;

const addressSchema = z.object({
    instance: z.string(),
    host: z.string(),
    port: z.number(),
    zone: z.string(),
    region: z.string(),
    keepsTurns: z.boolean().default(false),
});

/** Returns the address that an entry names; undefined if the entry is not valid. */
export const parseMember = (value: Buffer): PeerAddress | undefined => {
    try {
        return addressSchema.parse(JSON.parse(value.toString()));
    }
    catch {
        return undefined; // The caller logs it.
    }
};

/** Registers this instance, and reads the registered ones. */
export class MemberList {
    private sharedKey: string | undefined;
    private registered = false;
    private restarted = false;

    constructor(
        private readonly machine: string,
        private readonly localAddress: () => PeerAddress,
        private readonly store: VersionedStore,
        private readonly log: Logger,
        private readonly detectsRestart: boolean,
    ) {}

    /** Whether this instance has been added to the list. */
    get isRegistered(): boolean {
        return this.registered;
    }

    /** Whether another process of this machine is known to have been registered before. */
    get hasRestarted(): boolean {
        return this.restarted;
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
        const key = `${membersPrefix}${this.machine}`;
        if (this.detectsRestart) {
            const stored = await this.store.get(key, progress);
            const previous = stored && parseMember(stored.value);
            this.restarted ||= previous !== undefined && previous.instance !== local.instance;
        }
        await this.store.txn([], [{ key, value: Buffer.from(JSON.stringify(local)) }], progress);
        this.registered = true;
        this.log.info("registered", { machine: this.machine });
    }

    /** Removes this instance from the list. */
    async unregister(progress: Progress): Promise<void> {
        await progress.race(this.store.txn([], [], progress, [`${membersPrefix}${this.machine}`]));
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
