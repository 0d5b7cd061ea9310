/** The other instances: found through the store, remembered while it is away. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { StoredValue, VersionedStore } from "@marigolddrift/store";
import { randomBytes } from "node:crypto";
import { z } from "zod";

import { PeerClient } from "./peerClient.js";
import type { PeerAddress } from "./peerMessages.js";

const membersPrefix = "marigolddrift/members/";
const keyName = "marigolddrift/peer-key";
const keyBytes = 24;

/** Period at which the list of instances is read again, in milliseconds. */
const refreshMs = 8_000;

/** Period while the instance is not registered yet, in milliseconds. */
const retryMs = 500;

const callTimeoutMs = 1_000;

/** Period at which lost connections are looked for, in milliseconds. */
const connectedMs = 500;

/** Period at which one missing connection to a near peer is opened, in milliseconds: opening many at once stalls a small machine. */
const prepareMs = 150;

const addressSchema = z.object({
    instance: z.string(),
    host: z.string(),
    port: z.number(),
    zone: z.string(),
    region: z.string(),
    keepsTurns: z.boolean().default(false),
});

const parseAddress = (value: Buffer): PeerAddress | undefined => {
    try {
        return addressSchema.parse(JSON.parse(value.toString()));
    }
    catch {
        return undefined; // The caller logs it.
    }
};

/** Registers this instance and keeps connections to the others. */
export class Peers {
    private readonly clients = new Map<string, PeerClient>();
    private sharedKey: string | undefined;
    private registered = false;
    private stopped = false;
    private timer: NodeJS.Timeout | undefined;
    private prepareTimer: NodeJS.Timeout | undefined;

    constructor(
        private readonly machine: string,
        private readonly self: () => PeerAddress,
        private readonly store: VersionedStore,
        private readonly log: Logger,
        private readonly random: () => number = Math.random,
    ) {}

    /** Whether the list names this instance. */
    get isRegistered(): boolean {
        return this.registered;
    }

    /** Key that proves that a peer can read the same store. */
    get key(): string | undefined {
        return this.sharedKey;
    }

    start(): void {
        void this.refresh();
        this.prepareNext();
    }

    stop(): void {
        this.stopped = true;
        clearTimeout(this.timer);
        clearTimeout(this.prepareTimer);
        this.clients.forEach(client => client.close());
    }

    /** The peer with an instance id. */
    get(instance: string): PeerClient | undefined {
        return [...this.clients.values()].find(client => client.address.instance === instance);
    }

    /** Peers of a region that serve callers and may be asked. */
    usableInRegion(region: string): PeerClient[] {
        return [...this.clients.values()].filter(({ address, isUsable }) =>
            !address.keepsTurns && address.region === region && isUsable
        );
    }

    /** All machines that keep turns. */
    get journals(): PeerClient[] {
        return [...this.clients.values()].filter(({ address }) => address.keepsTurns);
    }

    /** A peer by its host and port. */
    named(name: string): PeerClient | undefined {
        return [...this.clients.values()].find(client => client.name === name);
    }

    /** Resolves once the list is known to hold all machines that are registered now. */
    async reload(progress: Progress): Promise<void> {
        const { values } = await progress.race(this.store.range(membersPrefix, progress));
        this.onMembers(values);
        this.forgetOthers(new Set(values.map(({ key }) => key)));
    }

    /** Removes this instance from the list, so that nobody looks for it. */
    async unregister(progress: Progress): Promise<void> {
        await progress.race(this.store.txn([], [], progress, [`${membersPrefix}${this.machine}`]));
    }

    /** A peer that may be asked, of the own region if there is one. */
    pick(except: ReadonlySet<PeerClient> = new Set()): PeerClient | undefined {
        const usable = [...this.clients.values()].filter(client => client.mayRelay && !except.has(client));
        const near = usable.filter(client => client.address.region === this.self().region);
        const candidates = near.length > 0 ? near : usable;
        return candidates[Math.floor(this.random() * candidates.length)];
    }

    /** Another instance of the region that serves callers, and to which a connection is open. */
    pickFront(): PeerClient | undefined {
        const fronts = this.usableInRegion(this.self().region).filter(({ isConnected }) => isConnected);
        return fronts[Math.floor(this.random() * fronts.length)];
    }

    /** Reads the list of instances now. */
    async refresh(): Promise<void> {
        clearTimeout(this.timer);
        const progress = new Progress(callTimeoutMs);
        try {
            this.sharedKey ??= await progress.race(this.loadKey(progress));
            await progress.race(this.register(progress));
            const { values } = await progress.race(this.store.range(membersPrefix, progress, { mayBeStale: true }));
            this.onMembers(values);
        }
        catch (err) {
            this.log.info("peers not refreshed", { error: asError(err).message, known: this.clients.size });
        }
        finally {
            progress.dispose();
        }
        if (!this.stopped) {
            this.timer = setTimeout(() => void this.refresh(), this.registered ? refreshMs : retryMs);
        }
    }

    /** Opens the next missing connection that a call would otherwise wait for. */
    private prepareNext(): void {
        const missing = [...this.clients.values()].filter(client =>
            this.isNeeded(client.address) && client.isUsable && !client.isConnected && !client.isOpening
        );
        // Turns wait for the machines that keep them.
        const next = missing.find(({ address }) => address.keepsTurns) ?? missing[0];
        void next?.prepare();
        this.prepareTimer = setTimeout(() => this.prepareNext(), next === undefined ? connectedMs : prepareMs);
    }

    /** Peers that most calls need: journals, and instances of the region that may keep budgets. */
    private isNeeded({ keepsTurns, region }: PeerAddress): boolean {
        const self = this.self();
        return keepsTurns || (!self.keepsTurns && region === self.region);
    }

    /** Reads the shared key, or writes a new one; of several writers one wins. */
    private async loadKey(progress: Progress): Promise<string | undefined> {
        const stored = await this.store.get(keyName, progress);
        if (stored === undefined) {
            const value = Buffer.from(randomBytes(keyBytes).toString("hex"));
            const result = await this.store.txn([{ key: keyName, revision: 0 }], [{ key: keyName, value }], progress);
            return result.succeeded ? value.toString() : (await this.store.get(keyName, progress))?.value.toString();
        }
        return stored.value.toString();
    }

    private async register(progress: Progress): Promise<void> {
        if (this.registered) {
            return;
        }
        const value = Buffer.from(JSON.stringify(this.self()));
        await this.store.txn([], [{ key: `${membersPrefix}${this.machine}`, value }], progress);
        this.registered = true;
        this.log.info("registered", { machine: this.machine });
    }

    /** Machines that were emptied have left the list. */
    private forgetOthers(listed: ReadonlySet<string>): void {
        for (const [key, client] of this.clients) {
            if (!listed.has(key)) {
                this.clients.delete(key);
                client.close();
                this.log.info("peer left", { peer: client.address.instance });
            }
        }
    }

    private onMembers(values: readonly StoredValue[]): void {
        const own = this.self().instance;
        for (const { key, value } of values) {
            const address = parseAddress(value);
            const known = this.clients.get(key);
            if (address === undefined) {
                this.log.warn("peer entry ignored", { key, reason: "it is not an address" });
            }
            else if (address.instance !== own && known?.address.instance !== address.instance) {
                known?.close();
                this.clients.set(key, new PeerClient(address, () => this.sharedKey));
                this.log.info("peer found", { peer: address.instance, zone: address.zone });
            }
        }
    }
}
