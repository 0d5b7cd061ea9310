/**
 * Spreads facts between the instances of all regions without messages between all of them: each instance exchanges with
 * two relays of its region, and these with the relays of the other regions.
 */
import { asError, delay, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import { duties } from "../fleet/duties.js";
import type { Duties } from "../fleet/duties.js";
import type { PeerClient } from "../peers/peerClient.js";
import type { LocalInstance, PeerRequest, PeerResponses } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import type { FactClock, FactSource } from "./factTable.js";

/** Number of relays of a region: one may be silent before it is known to be. */
const relaysPerRegion = 2;

/** Time for which a relay holds a request until there are new facts. */
const waitMs = 2_000;

/** Time allowed for a response beyond the wait. */
const responseTimeoutMs = 500;

/** Time in which facts that are learnt together are collected before they are sent. */
const collectMs = 10;

/** Interval at which the relays are chosen again. */
const checkIntervalMs = 250;

/** What this instance and a relay have of each other's facts. */
interface Position {
    /** The relay's process; after a restart it has none of the facts that it had. */
    instance: string | undefined;
    /** Sequence number of this instance up to which the relay has its facts. */
    sent: number;
    /** Sequence number of the relay up to which this instance has its facts. */
    received: number;
}

/** Sends this instance's facts to its relays, and takes theirs. */
export class FactExchange {
    private readonly positions = new Map<string, Position>();
    /** Names of the relays from which a response is awaited. */
    private readonly following = new Set<string>();
    private readonly unsubscribe: () => void;
    private readonly timer: NodeJS.Timeout;
    private pushTimer: NodeJS.Timeout | undefined;
    private stopped = false;

    constructor(
        private readonly localInstance: LocalInstance,
        private readonly duties: Pick<Duties, "carriers">,
        private readonly peers: Pick<Peers, "getByName" | "namesInRegion" | "regions">,
        private readonly clock: FactClock,
        private readonly sources: Readonly<Record<string, FactSource>>,
        private readonly log: Logger,
    ) {
        this.unsubscribe = clock.subscribe(() => this.schedulePush());
        this.timer = setInterval(() => this.followRelays(), checkIntervalMs).unref();
    }

    /** Takes the facts of a peer, and responds with those that it does not have, once there are any or the wait ends. */
    async onRequest(
        request: Extract<PeerRequest, { kind: "shareFacts"; }>,
        progress: Progress,
    ): Promise<PeerResponses["shareFacts"]> {
        this.merge(request.facts);
        const since = request.sinceOf === this.localInstance.instance ? request.since : 0;
        if (this.clock.sequence <= since && request.waitMs > 0) {
            await this.nextChange(Math.min(request.waitMs, progress.leftMs));
        }
        return { ...this.changedSince(since), instance: this.localInstance.instance };
    }

    close(): void {
        this.stopped = true;
        this.unsubscribe();
        clearInterval(this.timer);
        clearTimeout(this.pushTimer);
    }

    private followRelays(): void {
        for (const relay of this.relays()) {
            if (!this.following.has(relay.name)) {
                this.following.add(relay.name);
                void this.follow(relay).finally(() => this.following.delete(relay.name));
            }
        }
        this.forgetGonePeers();
    }

    private async follow(relay: PeerClient): Promise<void> {
        while (!this.stopped && this.relays().includes(relay)) {
            if (!await this.exchange(relay, waitMs)) {
                await delay(checkIntervalMs);
            }
        }
    }

    /** Resolves to false if the relay did not respond. */
    private async exchange(relay: PeerClient, wait: number): Promise<boolean> {
        const position = this.positions.get(relay.name) ?? { instance: undefined, sent: 0, received: 0 };
        this.positions.set(relay.name, position);
        const { sequence, facts } = this.changedSince(position.sent);
        const progress = new Progress(wait + responseTimeoutMs);
        try {
            const response = await relay.ask(
                { kind: "shareFacts", facts, since: position.received, sinceOf: position.instance, waitMs: wait },
                progress,
            );
            // Peers of an older version do not know the request.
            if (response === undefined) {
                return false;
            }
            this.merge(response.facts);
            this.advance(position, response, sequence);
            return true;
        }
        catch (err) {
            this.log.info("facts not exchanged", { peer: relay.address.instance, error: asError(err).message });
            return false;
        }
        finally {
            progress.dispose();
        }
    }

    /** Exchanges with one relay overlap, so that positions only move forward, except when the relay has restarted. */
    private advance(position: Position, response: NonNullable<PeerResponses["shareFacts"]>, sent: number): void {
        if (position.instance !== response.instance) {
            const isFirst = position.instance === undefined;
            Object.assign(position, {
                instance: response.instance,
                sent: isFirst ? sent : 0,
                received: response.sequence,
            });
            return;
        }
        position.sent = Math.max(position.sent, sent);
        position.received = Math.max(position.received, response.sequence);
    }

    private schedulePush(): void {
        this.pushTimer ??= setTimeout(() => {
            this.pushTimer = undefined;
            const unsent = this.relays().filter(({ name }) =>
                (this.positions.get(name)?.sent ?? 0) < this.clock.sequence
            );
            unsent.forEach(relay => void this.exchange(relay, 0));
        }, collectMs).unref();
    }

    private nextChange(timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            const done = (): void => {
                unsubscribe();
                clearTimeout(timer);
                resolve();
            };
            const timer = setTimeout(done, timeoutMs);
            const unsubscribe = this.clock.subscribe(done);
        });
    }

    private changedSince(sequence: number): Pick<NonNullable<PeerResponses["shareFacts"]>, "facts" | "sequence"> {
        const changed = Object.entries(this.sources).map(([name, source]) => [name, source.changedSince(sequence)]);
        return { sequence: this.clock.sequence, facts: Object.fromEntries(changed) as Record<string, unknown[]> };
    }

    private merge(facts: Readonly<Record<string, readonly unknown[]>>): void {
        for (const [name, source] of Object.entries(this.sources)) {
            source.merge(facts[name] ?? []);
        }
    }

    /** The relays of this region, and for a relay those of the other regions, too. */
    private relays(): PeerClient[] {
        const { region } = this.localInstance;
        const localName = this.localInstance.address();
        const { names, clients } = this.relaysOf(region);
        const others = this.peers.regions().filter(other => other !== region);
        const remote = names.includes(localName) ? others.flatMap(other => this.relaysOf(other).clients) : [];
        return [...clients, ...remote];
    }

    private relaysOf(region: string): { names: string[]; clients: PeerClient[]; } {
        const localName = this.localInstance.address();
        const isUsable = (name: string): boolean => name === localName || this.peers.getByName(name)?.isUsable === true;
        const names = this.duties.carriers(duties.factRelay, relaysPerRegion, isUsable, region);
        return { names, clients: names.map(name => this.peers.getByName(name)).filter(peer => peer !== undefined) };
    }

    private forgetGonePeers(): void {
        const known = new Set(this.peers.regions().flatMap(region => this.peers.namesInRegion(region)));
        for (const name of this.positions.keys()) {
            if (!known.has(name)) {
                this.positions.delete(name);
            }
        }
    }
}
