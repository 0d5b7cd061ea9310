/** Discovers peers through the platform's list and the configured seeds, and detects their failures by heartbeats. */
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
import { crossRegionPeriodFactor, HeartbeatSchedule } from "./heartbeatSchedule.js";

const listTimeoutMs = 2_000;

/** Missed heartbeat periods after which an instance counts as suspect, and as dead. */
const suspectAfterMissed = 2;
const deadAfterMissed = 4;

/** A peer instance and the link to it. */
export interface Peer {
    readonly address: string;
    readonly link: PeerLink;
    lifecycle: InstanceLifecycle;
    instance: string | undefined;
    zone: string;
    region: string;
    lastSeenAt: number;
    /** Heartbeat period that the peer last announced. */
    periodMs: number;
    bundle: number;
}

/** Callbacks by which {@link Membership} notifies other controllers. */
export interface MembershipEvents {
    onPeerUp(peer: Peer): void;
    onPeerDead(instance: string): void;
    onInstanceList(instances: readonly ListedInstance[]): void;
    onHeartbeat(peer: Peer, heartbeat: Heartbeat): void;
    /** Builds this instance's heartbeat to a peer. */
    heartbeat(peer: Peer): Heartbeat;
}

/** An instance that may own slots. */
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
    private readonly schedule: HeartbeatSchedule;

    constructor(
        private readonly identity: Identity,
        private readonly keys: HandshakeKeys,
        private readonly tls: TlsFiles | undefined,
        private readonly instanceList: InstanceList,
        private readonly options: MembershipOptions,
        private readonly events: MembershipEvents,
        private readonly log: Logger,
    ) {
        this.schedule = new HeartbeatSchedule(identity, options.heartbeatMs);
    }

    async start(): Promise<void> {
        this.options.seeds.forEach(address => this.addPeer(address, "", ""));
        await this.pollInstanceList();
        this.timers.push(setInterval(() => void this.pollInstanceList(), this.options.listPollMs));
        this.timers.push(setInterval(() => this.tick(), this.options.heartbeatMs));
    }

    stop(): void {
        this.timers.forEach(timer => clearInterval(timer));
        this.peers.forEach(peer => peer.link.close());
    }

    all(): Peer[] {
        return [...this.peers.values()];
    }

    /** Peers whose link is ready. */
    connectedPeers(): Peer[] {
        return this.all().filter(peer => peer.link.isReady);
    }

    connectedPeer(instance: string): Peer | undefined {
        return this.all().find(peer => peer.instance === instance && peer.link.isReady);
    }

    /** Whether another instance counts as alive: its link is ready, or its state is live, suspect or leaving. */
    isAlive(instance: string): boolean {
        const peer = this.all().find(other => other.instance === instance);
        return peer !== undefined && (peer.link.isReady || isConsideredAlive(peer.lifecycle.state));
    }

    /** Instances that may own slots, including this one unless it is leaving. */
    members(): Member[] {
        const local = this.leaving ? [] : [this.identity];
        const others = this.all().filter(peer => peer.instance !== undefined && mayOwnSlots(peer.lifecycle.state));
        return [...local, ...others.map(({ instance, zone, region }) => ({ instance: instance!, zone, region }))];
    }

    /** Names of the members in this instance's zone. */
    zoneMembers(): string[] {
        return this.members().filter(member => member.zone === this.identity.zone).map(member =>
            instanceName(member.instance)
        );
    }

    /**
     * Instance that should own a slot: rendezvous hashing ranks the zones for each slot, and then the members of the
     * first zone that has any.
     */
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

    /** Sends a heartbeat to all connected peers immediately, for example when this instance starts to leave. */
    sendHeartbeatsNow(): void {
        this.connectedPeers().forEach(peer => peer.link.send(this.events.heartbeat(peer)));
    }

    /** Called when a peer has connected to this instance. */
    onHello(hello: Hello): void {
        const peer = this.addPeer(hello.address, hello.zone, hello.region);
        if (peer !== undefined) {
            this.setInstance(peer, hello.instance);
            peer.zone = hello.zone;
            peer.region = hello.region;
            this.markAlive(peer);
        }
    }

    /** Called when a connection from a peer was closed. */
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
        this.markAlive(peer);
        peer.bundle = heartbeat.bundle;
        peer.periodMs = heartbeat.periodMs;
        if (heartbeat.leaving) {
            peer.lifecycle.send("leave");
        }
        this.events.onHeartbeat(peer, heartbeat);
    }

    private addPeer(address: string, zone: string, region: string): Peer | undefined {
        if (address === this.identity.address) {
            return undefined;
        }
        const existing = this.peers.get(address);
        if (existing !== undefined) {
            existing.zone ||= zone;
            existing.region ||= region;
            return existing;
        }
        const link = new PeerLink(address, this.identity, this.keys, this.tls, {
            onConnected: instance => this.onLinkUp(address, instance),
            onDisconnected: refused => this.onLinkDown(address, refused),
        }, this.log);
        const lifecycle = this.createLifecycle(address);
        const lastSeenAt = Date.now();
        const periodMs = this.options.heartbeatMs * crossRegionPeriodFactor;
        const peer: Peer = {
            address,
            link,
            lifecycle,
            instance: undefined,
            zone,
            region,
            lastSeenAt,
            periodMs,
            bundle: 0,
        };
        this.peers.set(address, peer);
        return peer;
    }

    private createLifecycle(address: string): InstanceLifecycle {
        return createInstanceLifecycle(state => {
            const peer = this.peers.get(address);
            this.log.info("instance state changed", { peer: peer?.instance ?? address, state });
            if (state === "dead" && peer?.instance !== undefined) {
                this.events.onPeerDead(peer.instance);
            }
        });
    }

    private onLinkUp(address: string, instance: string): void {
        const peer = this.peers.get(address)!;
        this.setInstance(peer, instance);
        this.markAlive(peer);
        this.events.onPeerUp(peer);
        peer.link.send(this.events.heartbeat(peer));
    }

    private onLinkDown(address: string, refused: boolean): void {
        const peer = this.peers.get(address);
        peer?.lifecycle.send(refused ? "lose" : "miss");
    }

    /** Sets the instance id of a peer. A new id at the same address means that the previous instance is dead. */
    private setInstance(peer: Peer, instance: string): void {
        if (peer.instance === instance) {
            return;
        }
        const previous = peer.instance;
        peer.instance = instance;
        if (previous !== undefined) {
            peer.lifecycle = this.createLifecycle(peer.address);
            this.events.onPeerDead(previous);
        }
    }

    private markAlive(peer: Peer): void {
        peer.lastSeenAt = Date.now();
        peer.lifecycle.send("heartbeat");
    }

    private tick(): void {
        this.schedule.tick(this.all());
        for (const peer of this.peers.values()) {
            if (this.schedule.isDue(peer)) {
                peer.link.send(this.events.heartbeat(peer));
            }
            this.checkLiveness(peer);
        }
    }

    /** Time between two heartbeats to a peer. */
    heartbeatPeriodMs(peer: Peer): number {
        return this.schedule.periodMs(peer);
    }

    private checkLiveness(peer: Peer): void {
        const missed = (Date.now() - peer.lastSeenAt) / peer.periodMs;
        if (missed > deadAfterMissed) {
            peer.lifecycle.send("lose");
        }
        else if (missed > suspectAfterMissed) {
            peer.lifecycle.send("miss");
        }
    }

    private async pollInstanceList(): Promise<void> {
        const progress = new Progress(listTimeoutMs);
        try {
            const listed = await this.instanceList.read(progress);
            listed.filter(entry => entry.kind === "daemon")
                .forEach(entry => this.addPeer(entry.address, entry.zone, entry.region));
            this.events.onInstanceList(listed);
        }
        catch (err) {
            this.log.debug("instance list unavailable", { error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }
}

const isConsideredAlive = (state: InstanceState): boolean =>
    state === "live" || state === "suspect" || state === "leaving";
const mayOwnSlots = (state: InstanceState): boolean => state === "live" || state === "suspect";
