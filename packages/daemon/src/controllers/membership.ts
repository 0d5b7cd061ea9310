/** Knows the live instances: from the platform's list, the seeds of the settings, and heartbeats. */
import { asError, Progress, rendezvous } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { InstanceList, ListedInstance } from "@marigolddrift/store";
import { createInstanceLifecycle } from "../lifecycles/instanceLifecycle.js";
import type { InstanceLifecycle, InstanceState } from "../lifecycles/instanceLifecycle.js";
import type { HandshakeKeys } from "../peers/handshake.js";
import { instanceName } from "../peers/identity.js";
import type { Identity } from "../peers/identity.js";
import type { Heartbeat, Hello, PeerMessage } from "../peers/messages.js";
import { PeerLink } from "../peers/peerLink.js";
import type { TlsFiles } from "../peers/tls.js";

const listTimeoutMs = 2_000;

/** Heartbeats of peers in other zones are so many times rarer. */
const otherZoneFactor = 3;
const otherRegionFactor = 5;

/** Bytes per second that this instance's heartbeats may take; with more peers they become rarer. */
const maxHeartbeatBytesPerSecond = 6_000;

/** Bytes of an ordinary heartbeat, with the loads of two workers and the frame around it. */
const heartbeatBytes = 115;

/** Missed heartbeats after which an instance is suspect, and dead. */
const suspectAfter = 2;
const deadAfter = 4;

/** A peer. */
export interface Peer {
    readonly address: string;
    readonly link: PeerLink;
    lifecycle: InstanceLifecycle;
    instance: string | undefined;
    zone: string;
    region: string;
    lastHeartbeat: number;
    /** Time until its next heartbeat, as it said, in milliseconds. */
    periodMs: number;
    bundle: number;
}

/** What membership tells other controllers. */
export interface MembershipEvents {
    onPeerUp(peer: Peer): void;
    onPeerDead(instance: string): void;
    onListed(instances: readonly ListedInstance[]): void;
    onHeartbeat(peer: Peer, heartbeat: Heartbeat): void;
    /** Contents of this instance's own heartbeat to a peer. */
    heartbeat(peer: Peer): Heartbeat;
}

/** A live instance that may own slots. */
export interface Member {
    readonly instance: string;
    readonly zone: string;
    readonly region: string;
}

/** Settings of {@link Membership}. */
export interface MembershipOptions {
    readonly heartbeatMs: number;
    readonly listPollMs: number;
    readonly seeds: readonly string[];
}

/** Tracks peers and their lifecycles. */
export class Membership {
    leaving = false;
    private readonly peers = new Map<string, Peer>();
    private readonly timers: NodeJS.Timeout[] = [];
    private beat = 0;
    /** Factor by which all heartbeats are rarer, so that they stay within their budget. */
    private stretch = 1;

    constructor(
        private readonly self: Identity,
        private readonly keys: HandshakeKeys,
        private readonly tls: TlsFiles | undefined,
        private readonly list: InstanceList,
        private readonly options: MembershipOptions,
        private readonly events: MembershipEvents,
        private readonly log: Logger,
    ) {}

    async start(): Promise<void> {
        this.options.seeds.forEach(address => this.addPeer(address, "", ""));
        await this.pollList();
        this.timers.push(setInterval(() => void this.pollList(), this.options.listPollMs));
        this.timers.push(setInterval(() => this.tick(), this.options.heartbeatMs));
    }

    stop(): void {
        this.timers.forEach(timer => clearInterval(timer));
        this.peers.forEach(peer => peer.link.close());
    }

    all(): Peer[] {
        return [...this.peers.values()];
    }

    /** Peers that are reachable now. */
    ready(): Peer[] {
        return this.all().filter(peer => peer.link.isReady);
    }

    peerOf(instance: string): Peer | undefined {
        return this.all().find(peer => peer.instance === instance && peer.link.isReady);
    }

    /** Whether an instance shows signs of life, as far as this one can tell. */
    isAlive(instance: string): boolean {
        const peer = this.all().find(other => other.instance === instance);
        return peer !== undefined && (peer.link.isReady || isPresent(peer.lifecycle.state));
    }

    /** Instances that may own slots, this one included unless it is leaving. */
    members(): Member[] {
        const own = this.leaving ? [] : [this.self];
        const others = this.all().filter(peer => peer.instance !== undefined && mayOwn(peer.lifecycle.state));
        return [...own, ...others.map(({ instance, zone, region }) => ({ instance: instance!, zone, region }))];
    }

    /** Instances of this zone that are up, this one included. */
    zoneMembers(): string[] {
        return this.members().filter(member => member.zone === this.self.zone).map(member =>
            instanceName(member.instance)
        );
    }

    /** Instance that should own a slot: the zones are tried in the slot's own order. */
    preferredOwner(slot: number, zones: readonly string[]): Member | undefined {
        const members = this.members();
        for (const zone of rendezvous(`slot-${slot}`, zones)) {
            const byName = new Map(
                members.filter(member => member.zone === zone).map(member => [instanceName(member.instance), member]),
            );
            const [first] = rendezvous(`slot-${slot}`, [...byName.keys()]);
            if (first !== undefined) {
                return byName.get(first);
            }
        }
        return undefined;
    }

    /** Sends a control message to all peers. */
    broadcast(message: PeerMessage): void {
        this.peers.forEach(peer => peer.link.send(message));
    }

    /** Sends a heartbeat to all peers at once, for example when this instance begins to leave. */
    beatNow(): void {
        this.ready().forEach(peer => peer.link.send(this.events.heartbeat(peer)));
    }

    /** A peer connected to this instance. */
    onHello(hello: Hello): void {
        const peer = this.addPeer(hello.address, hello.zone, hello.region);
        if (peer !== undefined) {
            this.identify(peer, hello.instance);
            peer.zone = hello.zone;
            peer.region = hello.region;
            this.seen(peer);
        }
    }

    /** A connection from a peer was closed. */
    onClosed(hello: Hello): void {
        const peer = this.peers.get(hello.address);
        if (peer?.instance === hello.instance) {
            peer.lifecycle.send("miss");
        }
    }

    onHeartbeat(hello: Hello, heartbeat: Heartbeat): void {
        const peer = this.peers.get(hello.address);
        if (peer === undefined || peer.instance !== hello.instance) {
            return;
        }
        this.seen(peer);
        peer.bundle = heartbeat.bundle;
        peer.periodMs = heartbeat.periodMs;
        if (heartbeat.leaving) {
            peer.lifecycle.send("leave");
        }
        this.events.onHeartbeat(peer, heartbeat);
    }

    private addPeer(address: string, zone: string, region: string): Peer | undefined {
        if (address === this.self.address) {
            return undefined;
        }
        const known = this.peers.get(address);
        if (known !== undefined) {
            known.zone ||= zone;
            known.region ||= region;
            return known;
        }
        const link = new PeerLink(address, this.self, this.keys, this.tls, {
            onConnected: instance => this.onUp(address, instance),
            onDisconnected: refused => this.onDown(address, refused),
        }, this.log);
        const lifecycle = this.createLifecycle(address);
        const lastHeartbeat = Date.now();
        const periodMs = this.options.heartbeatMs * otherRegionFactor;
        const peer: Peer = {
            address,
            link,
            lifecycle,
            instance: undefined,
            zone,
            region,
            lastHeartbeat,
            periodMs,
            bundle: 0,
        };
        this.peers.set(address, peer);
        return peer;
    }

    private createLifecycle(address: string): InstanceLifecycle {
        return createInstanceLifecycle(state => {
            const peer = this.peers.get(address);
            this.log.info("instance state", { peer: peer?.instance ?? address, state });
            if (state === "dead" && peer?.instance !== undefined) {
                this.events.onPeerDead(peer.instance);
            }
        });
    }

    private onUp(address: string, instance: string): void {
        const peer = this.peers.get(address)!;
        this.identify(peer, instance);
        this.seen(peer);
        this.events.onPeerUp(peer);
        peer.link.send(this.events.heartbeat(peer));
    }

    private onDown(address: string, refused: boolean): void {
        const peer = this.peers.get(address);
        peer?.lifecycle.send(refused ? "lose" : "miss");
    }

    /** Notes who a peer is; a new instance at the same address means that the former one is gone. */
    private identify(peer: Peer, instance: string): void {
        if (peer.instance === instance) {
            return;
        }
        const former = peer.instance;
        peer.instance = instance;
        if (former !== undefined) {
            peer.lifecycle = this.createLifecycle(peer.address);
            this.events.onPeerDead(former);
        }
    }

    private seen(peer: Peer): void {
        peer.lastHeartbeat = Date.now();
        peer.lifecycle.send("heartbeat");
    }

    private tick(): void {
        this.beat += 1;
        this.stretch = stretchFor(this.all().map(peer => this.factor(peer)), this.options.heartbeatMs);
        for (const peer of this.peers.values()) {
            if (this.beat % (this.factor(peer) * this.stretch) === 0) {
                peer.link.send(this.events.heartbeat(peer));
            }
            this.checkHeartbeat(peer);
        }
    }

    /** Time between two heartbeats to a peer, in milliseconds. */
    periodOf(peer: Peer): number {
        return this.options.heartbeatMs * this.factor(peer) * this.stretch;
    }

    private factor(peer: Peer): number {
        if (peer.zone === this.self.zone) {
            return 1;
        }
        return peer.region === this.self.region ? otherZoneFactor : otherRegionFactor;
    }

    private checkHeartbeat(peer: Peer): void {
        const missed = (Date.now() - peer.lastHeartbeat) / peer.periodMs;
        if (missed > deadAfter) {
            peer.lifecycle.send("lose");
        }
        else if (missed > suspectAfter) {
            peer.lifecycle.send("miss");
        }
    }

    private async pollList(): Promise<void> {
        const progress = new Progress(listTimeoutMs);
        try {
            const listed = await this.list.read(progress);
            listed.filter(entry => entry.kind === "daemon")
                .forEach(entry => this.addPeer(entry.address, entry.zone, entry.region));
            this.events.onListed(listed);
        }
        catch (err) {
            this.log.debug("instance list unavailable", { error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }
}

const isPresent = (state: InstanceState): boolean => state === "live" || state === "suspect" || state === "leaving";
const mayOwn = (state: InstanceState): boolean => state === "live" || state === "suspect";

/**
 * Factor by which heartbeats must be rarer to stay within their budget.
 *
 * @param factors Heartbeat periods of the peers, as multiples of `heartbeatMs`.
 */
export const stretchFor = (factors: readonly number[], heartbeatMs: number): number => {
    const perSecond = factors.reduce((sum, factor) => sum + 1000 / (heartbeatMs * factor), 0);
    return Math.max(1, Math.ceil(perSecond * heartbeatBytes / maxHeartbeatBytesPerSecond));
};
