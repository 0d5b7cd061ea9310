/** Discovers the other instances through the store. Known peers are retained while the store is unavailable. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { StoredValue, VersionedStore } from "@marigolddrift/store";

import type { TrafficRecorder } from "../trafficMeter.js";
import { memberKey, MemberList, parseMember } from "./memberList.js";
import { MemberRemoval } from "./memberRemoval.js";
import { OwnListing } from "./ownListing.js";
import { PeerClient } from "./peerClient.js";
import { peerName } from "./peerMessages.js";
import type { PeerAddress } from "./peerMessages.js";
import { Preconnector } from "./preconnector.js";

/** Interval at which the member list is refreshed. */
const refreshIntervalMs = 8_000;

/** Refresh interval until the instance is registered. */
const registrationRetryMs = 500;

/** Times of the refreshes after the registration: others of a fleet that starts at once register a little later. */
const firstRefreshesMs = [700, 1_500, 3_000];

/** Minimum time between reads of the member list for peers that are not known. */
const newPeerRefreshMs = 1_000;

/** Time after the first registration until the other instances usually have found this one in the member list. */
const settlingMs = 10_000;

const callTimeoutMs = 1_000;

/** Optional parts of {@link Peers}. */
export interface PeersOptions {
    readonly recordTraffic?: TrafficRecorder | undefined;
    /** Returns the names of the front instances that are connected in advance: urgent ones, then the others. */
    readonly neededFronts?: () => readonly [readonly string[], readonly string[]];
    readonly random?: () => number;
    /** Set if the instance lends shares, for which all others must count with it. */
    readonly recognition?: {
        /** Whether this instance is the one of its region that removes members that are gone. */
        readonly isRemover: () => boolean;
    } | undefined;
}

/** Registers this instance, and maintains connections to its peers. */
export class Peers {
    /** Incremented when members are added, replaced or removed. */
    version = 0;
    private readonly clients = new Map<string, PeerClient>();
    private readonly clientsByName = new Map<string, PeerClient>();
    /** Monotonic times at which instances last said that they are registered, by the keys of their entries. */
    private readonly heardAt = new Map<string, number>();
    private readonly firstRefreshesMs = [...firstRefreshesMs];
    private readonly members: MemberList;
    private readonly preconnector = new Preconnector({
        version: () => this.version,
        listNeeded: () => this.listNeeded(),
    });
    private readonly removal: MemberRemoval | undefined;
    /** Undefined if this instance lends no shares. */
    private readonly ownListing: OwnListing | undefined;
    private stopped = false;
    private refreshedAt = -Infinity;
    /** Monotonic time of the first read of the list. */
    private membersReadAt: number | undefined;
    private refreshTimer: NodeJS.Timeout | undefined;

    constructor(
        private readonly machine: string,
        private readonly localAddress: () => PeerAddress,
        store: VersionedStore,
        private readonly log: Logger,
        private readonly options: PeersOptions = {},
    ) {
        const { recognition } = options;
        this.members = new MemberList(machine, localAddress, store, log, recognition !== undefined);
        this.removal = recognition && new MemberRemoval({
            members: this.members,
            fronts: () => this.frontsOfRegion(),
            isResponsible: recognition.isRemover,
            log,
        });
        this.ownListing = recognition && new OwnListing({
            machine,
            localAddress,
            members: this.members,
            fronts: () => this.fronts,
            readCurrent: progress => this.readCurrent(progress),
            readRecent: progress => this.readRecent(progress),
            isNeeded: peer => this.listNeeded().includes(peer),
            random: () => this.random(),
            log,
        });
    }

    /** Whether this instance has been added to the member list. */
    get isRegistered(): boolean {
        return this.members.isRegistered;
    }

    /**
     * Whether all instances that may count on this one do so. One that lends shares must have heard it from them, and must still be in the
     * list; for others, it is enough that they usually have read the list by now.
     */
    get isSettled(): boolean {
        const readAt = this.membersReadAt;
        return this.ownListing?.isCountedByAll ?? (readAt !== undefined && performance.now() - readAt >= settlingMs);
    }

    /** Shared key, which proves that a peer can read the same store. */
    get key(): string | undefined {
        return this.members.key;
    }

    start(): void {
        void this.refresh();
        this.preconnector.start();
    }

    stop(): void {
        this.stopped = true;
        clearTimeout(this.refreshTimer);
        this.ownListing?.close();
        this.removal?.close();
        this.preconnector.stop();
        this.clients.forEach(client => client.close());
    }

    /** Returns the peer with an instance id. */
    get(instance: string): PeerClient | undefined {
        return [...this.clients.values()].find(client => client.address.instance === instance);
    }

    /** Front instances of a region to which requests may be sent. */
    usableInRegion(region: string): PeerClient[] {
        return [...this.clients.values()].filter(({ address, isUsable }) =>
            !address.keepsTurns && address.region === region && isUsable
        );
    }

    /** Whether a request can be sent to a peer at once, over an open connection. */
    isReachable(name: string): boolean {
        const client = this.getByName(name);
        return client !== undefined && client.isUsable && client.isConnected;
    }

    /** Names of the front instances of a region that are known, whether or not they respond. */
    namesInRegion(region: string): string[] {
        const known = [...this.clients.values()].filter(({ address }) =>
            !address.keepsTurns && address.region === region
        );
        return known.map(({ name }) => name);
    }

    /** Regions that have front instances. */
    regions(): string[] {
        const fronts = [...this.clients.values()].filter(({ address }) => !address.keepsTurns);
        return [...new Set(fronts.map(({ address }) => address.region))];
    }

    /** All other front instances. */
    get fronts(): PeerClient[] {
        return [...this.clients.values()].filter(({ address }) => !address.keepsTurns);
    }

    /** All journal servers. */
    get journals(): PeerClient[] {
        return [...this.clients.values()].filter(({ address }) => address.keepsTurns);
    }

    /** Returns the peer with a name, that is, its host and port. */
    getByName(name: string): PeerClient | undefined {
        return this.clientsByName.get(name);
    }

    /** Returns the peer with a name. If it is not known, it may be new, so that the member list is read again first. */
    async findByName(name: string): Promise<PeerClient | undefined> {
        if (this.getByName(name) === undefined && performance.now() - this.refreshedAt > newPeerRefreshMs) {
            await this.refresh();
        }
        return this.getByName(name);
    }

    /** Reads the current member list: adds all registered peers and removes those that are no longer registered. */
    async reload(progress: Progress): Promise<void> {
        await this.readCurrent(progress);
    }

    /** Adds an instance that has registered itself, and says so before this one has read the list again. */
    add(machine: string, address: PeerAddress): void {
        const key = memberKey(machine);
        this.applyMember(key, address);
        this.heardAt.set(key, performance.now());
    }

    /** Removes this instance from the member list. */
    async unregister(progress: Progress): Promise<void> {
        await this.members.unregister(progress);
    }

    /** Picks a random peer to relay a store call, preferably in this region. */
    pickRelay(excluded: ReadonlySet<PeerClient> = new Set()): PeerClient | undefined {
        const usable = [...this.clients.values()].filter(client => client.mayRelay && !excluded.has(client));
        const sameRegion = usable.filter(client => client.address.region === this.localAddress().region);
        const candidates = sameRegion.length > 0 ? sameRegion : usable;
        return candidates[Math.floor(this.random() * candidates.length)];
    }

    /** Picks a random front instance of this region with an open connection. */
    pickFront(): PeerClient | undefined {
        const fronts = this.usableInRegion(this.localAddress().region).filter(({ isConnected }) => isConnected);
        return fronts[Math.floor(this.random() * fronts.length)];
    }

    /** Registers this instance if necessary, and refreshes the member list; the result may be stale. */
    async refresh(): Promise<void> {
        clearTimeout(this.refreshTimer);
        this.refreshedAt = performance.now();
        const progress = new Progress(callTimeoutMs);
        try {
            await this.members.loadKey(progress);
            await progress.race(this.members.register(progress));
            await (this.ownListing?.read(progress) ?? this.readRecent(progress));
            this.membersReadAt ??= performance.now();
        }
        catch (err) {
            this.log.info("failed to refresh peers", { error: asError(err).message, known: this.clients.size });
        }
        finally {
            progress.dispose();
        }
        if (!this.stopped) {
            this.refreshTimer = setTimeout(
                () => void this.refresh(),
                this.isRegistered ? this.firstRefreshesMs.shift() ?? refreshIntervalMs : registrationRetryMs,
            );
        }
    }

    private random(): number {
        return (this.options.random ?? Math.random)();
    }

    /** The other front instances of this region, by the keys of their entries. */
    private frontsOfRegion(): Map<string, PeerClient> {
        const { region } = this.localAddress();
        const isFront = ({ address }: PeerClient): boolean => !address.keepsTurns && address.region === region;
        return new Map([...this.clients].filter(([, client]) => isFront(client)));
    }

    private async readRecent(progress: Progress): Promise<readonly StoredValue[]> {
        const values = await this.members.read(progress, { mayBeStale: true });
        this.applyMembers(values);
        return values;
    }

    private async readCurrent(progress: Progress): Promise<readonly StoredValue[]> {
        const startedAt = performance.now();
        const values = await this.members.read(progress);
        this.applyMembers(values);
        this.removeUnlisted(new Set(values.map(({ key }) => key)), startedAt);
        return values;
    }

    /** Peers that are connected in advance, most urgent first. */
    private listNeeded(): PeerClient[] {
        const { region } = this.localAddress();
        const [urgent, others] = this.options.neededFronts?.() ?? [[], []];
        const find = (names: readonly string[]): PeerClient[] =>
            names.map(name => this.getByName(name)).filter(client => client !== undefined);
        // Turns wait for the journal servers of the region; those of other regions are rarely asked.
        const near = this.journals.filter(({ address }) => address.region === region);
        const far = this.journals.filter(({ address }) => address.region !== region);
        return [...new Set([...find(urgent), ...near, ...find(others), ...far])];
    }

    /**
     * Removes peers that are no longer registered, such as drained journal servers.
     *
     * @param readAt Monotonic time before the list was read: it may lack an instance that has said since that it is registered.
     */
    private removeUnlisted(listed: ReadonlySet<string>, readAt: number): void {
        for (const [key, client] of this.clients) {
            if (!listed.has(key) && (this.heardAt.get(key) ?? -Infinity) < readAt) {
                this.clients.delete(key);
                this.heardAt.delete(key);
                this.forgetName(client);
                this.version += 1;
                client.close();
                this.log.info("peer removed", { peer: client.address.instance });
            }
        }
    }

    private replaceClient(key: string, known: PeerClient | undefined, client: PeerClient): void {
        if (known !== undefined) {
            known.close();
            this.forgetName(known);
        }
        this.clients.set(key, client);
        this.clientsByName.set(client.name, client);
        this.version += 1;
    }

    /** Another machine may have taken over the address of one that is gone. */
    private forgetName(client: PeerClient): void {
        if (this.clientsByName.get(client.name) === client) {
            this.clientsByName.delete(client.name);
        }
    }

    private createClient(address: PeerAddress): PeerClient {
        const link = address.region === this.localAddress().region ? "region" : "otherRegion";
        return new PeerClient(address, () => this.key, exchange => this.options.recordTraffic?.({ ...exchange, link }));
    }

    private applyMembers(values: readonly StoredValue[]): void {
        for (const { key, value } of values) {
            const address = parseMember(value);
            if (address === undefined) {
                this.log.warn("peer entry ignored", { key, reason: "invalid address" });
            }
            else {
                this.applyMember(key, address);
            }
        }
    }

    /** A list that is not recent may have the process that ran at this address before. */
    private applyMember(key: string, address: PeerAddress): void {
        const known = this.clients.get(key);
        if (peerName(address) !== peerName(this.localAddress()) && known?.address.instance !== address.instance) {
            this.replaceClient(key, known, this.createClient(address));
            this.log.info("peer found", { peer: address.instance, zone: address.zone });
        }
    }
}
