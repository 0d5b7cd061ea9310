/** Registry of the known upstreams and of this instance's calls on them. */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { slowStartWeight } from "@marigolddrift/policy";

import type { RouteTable } from "../routes.js";
import { tokensKey } from "./loadExchange.js";
import { UpstreamConnections } from "./upstreamConnections.js";
import type { UpstreamEntry } from "./upstreamEntry.js";

/** Time for which an unreachable upstream receives no calls. */
const ejectionMs = 1_000;

/** Time within which an upstream whose entry expired during a store outage may register again. */
const missingGraceMs = 2_200;

/** Number of processes that are remembered as leaving. */
const maxLeavingKeys = 1_000;

/** Time for which a connection is not missed after it has broken off. */
const brokenConnectionMs = 2_000;

/** Weight of a new measurement in the moving average of the duration of calls. */
const durationSmoothing = 0.1;

/** Number of instances assumed to share an upstream's connection limit. */
const assumedInstanceCount = 8;

/** Maximum number of connections from one instance to an upstream. */
const maxConnectionsPerUpstream = 24;

/** Number of connections that one instance opens to an upstream that accepts `maxConnections` from all together. */
export const connectionsPerInstance = (maxConnections: number): number =>
    Math.min(maxConnectionsPerUpstream, Math.floor(maxConnections / assumedInstanceCount));

/** A known upstream and its load from this instance. */
export class Upstream {
    inFlight = 0;
    /** Tokens of this instance's calls in flight. */
    heldTokens = 0;
    /** Monotonic time until which it receives no calls. */
    ejectedUntil = 0;
    /** Monotonic time since which its entry has been missing from the store. */
    missingSince: number | undefined;
    /** Moving average of the duration of calls, which run concurrently with others; undefined before the first one. */
    meanCallMs: number | undefined;
    /** Whether the process has said in a reply that it is about to stop. It does not take that back. */
    isLeaving = false;
    /** Monotonic time at which a call there last broke off, and with it its connection. */
    brokenAt = -Infinity;
    /** Monotonic time at which it became available, or becomes so after an ejection. */
    private availableSince = performance.now();

    /** Identifies the process: a restart may keep the id. */
    readonly key: string;

    constructor(public entry: UpstreamEntry, readonly connections: UpstreamConnections) {
        this.key = `${entry.id}#${entry.startedAt ?? ""}`;
        connections.onUnreachable = () => this.eject();
    }

    isAvailable(now: number): boolean {
        return !this.entry.draining && !this.isLeaving && this.missingSince === undefined && now >= this.ejectedUntil;
    }

    /** Whether another call would wait for a connection, and not be seen by whoever places calls. */
    get isOutOfConnections(): boolean {
        return this.inFlight >= this.connections.maxConnections;
    }

    /** Adds the duration of a call to the moving average. */
    recordDuration(ms: number): void {
        this.meanCallMs = this.meanCallMs === undefined ?
            ms :
            this.meanCallMs + durationSmoothing * (ms - this.meanCallMs);
    }

    /** Excludes the upstream from new calls for a short time, because it could not be reached. */
    eject(): void {
        this.ejectedUntil = performance.now() + ejectionMs;
        this.availableSince = this.ejectedUntil;
    }

    /** Notes that its entry has come back. */
    onReturned(): void {
        this.missingSince = undefined;
        this.availableSince = performance.now();
    }

    /**
     * Whether a call would need a connection that could be saved by sending it elsewhere. A connection that broke off with a call does
     * not count: how the upstream fails calls is weighed by itself.
     */
    needsConnection(now: number): boolean {
        return !this.connections.hasIdleConnection && now - this.brokenAt > brokenConnectionMs;
    }

    /** Share of its usual calls that it gets, by how long it has been available. */
    startWeight(now: number): number {
        return slowStartWeight(now - this.availableSince, this.entry.coldLeftMs ?? 0);
    }
}

/** All known upstreams by id, with a connection pool for each process. */
export class Upstreams {
    /** Connections that were opened anew so that a refused call could be sent again. */
    reopenedConnections = 0;
    private readonly byId = new Map<string, Upstream>();
    /** Keys of processes that have said that they are leaving, since an entry may be removed and come back. */
    private readonly leavingKeys = new Set<string>();

    constructor(
        private readonly onRemoved: (upstream: Upstream) => void,
        private readonly routes: () => RouteTable | undefined,
        private readonly connectionLimit: (maxConnections: number) => number,
        private readonly log: Logger,
    ) {}

    get(id: string): Upstream | undefined {
        return this.byId.get(id);
    }

    get size(): number {
        return this.byId.size;
    }

    /** Returns all upstreams of a service, also those that get no calls now. */
    ofService(service: string): Upstream[] {
        return [...this.byId.values()].filter(({ entry }) => entry.service === service);
    }

    /** Returns the calls of this instance in flight, and their tokens, by upstream, without idle upstreams. */
    localLoad(): Record<string, number> {
        const busy = [...this.byId.values()].filter(({ inFlight }) => inFlight > 0);
        return Object.fromEntries(busy.flatMap(({ entry, inFlight, heldTokens }) => [
            [entry.id, inFlight] as [string, number],
            ...(heldTokens > 0 ? [[tokensKey(entry.id), Math.round(heldTokens)] as [string, number]] : []),
        ]));
    }

    /** Returns the available upstreams of a service; if there are none, those whose entry went missing recently. */
    usable(service: string): Upstream[] {
        const now = performance.now();
        const all = this.ofService(service);
        const usable = all.filter(upstream => upstream.isAvailable(now));
        return usable.length > 0 ?
            usable :
            all.filter(upstream => isRecentlyMissing(upstream, now));
    }

    /** Replaces all entries by those of a snapshot of the store. */
    onSnapshot(entries: readonly UpstreamEntry[], storeWasUnavailable: boolean): void {
        const ids = new Set(entries.map(entry => entry.id));
        entries.forEach(entry => this.onEntryPut(entry));
        [...this.byId.keys()].filter(id => !ids.has(id)).forEach(id => this.onEntryRemoved(id, storeWasUnavailable));
    }

    /** Handles a new or changed entry. */
    onEntryPut(entry: UpstreamEntry): void {
        const known = this.byId.get(entry.id);
        const isSameProcess = known?.entry.address === entry.address && known.entry.service === entry.service &&
            known.entry.startedAt === entry.startedAt && known.entry.build === entry.build;
        if (known !== undefined && isSameProcess) {
            this.update(known, entry);
            return;
        }
        if (known !== undefined) {
            this.remove(known, "restarted");
        }
        const connections = this.tryConnect(entry);
        if (connections === undefined) {
            return;
        }
        const upstream = new Upstream(entry, connections);
        upstream.isLeaving = this.leavingKeys.has(upstream.key);
        this.byId.set(entry.id, upstream);
        const { id, service, build, address, zone, draining } = entry;
        this.log.info("upstream added", { upstream: id, service, build, address, zone, draining });
    }

    /** Handles the removal of an entry; if a store outage may be the cause, the upstream may register again. */
    onEntryRemoved(id: string, storeWasUnavailable: boolean): void {
        const upstream = this.byId.get(id);
        if (upstream === undefined || upstream.missingSince !== undefined) {
            return;
        }
        if (!storeWasUnavailable || upstream.entry.draining) {
            this.remove(upstream, "entry removed from the store");
            return;
        }
        upstream.missingSince = performance.now();
        this.log.info("upstream missing", {
            upstream: id,
            graceMs: missingGraceMs,
            reason: "its entry may have expired because of a store outage",
        });
        setTimeout(() => {
            if (this.byId.get(id) === upstream && upstream.missingSince !== undefined) {
                this.remove(upstream, "not registered again after a store outage");
            }
        }, missingGraceMs).unref();
    }

    /** Sends no further calls to a process that has said in a reply that it is leaving, whatever its entry says. */
    onLeaving(upstream: Upstream): void {
        if (upstream.isLeaving) {
            return;
        }
        upstream.isLeaving = true;
        this.leavingKeys.add(upstream.key);
        if (this.leavingKeys.size > maxLeavingKeys) {
            this.leavingKeys.delete(this.leavingKeys.values().next().value!);
        }
        this.log.info("upstream leaving", { upstream: upstream.entry.id, inFlight: upstream.inFlight });
    }

    close(): void {
        this.byId.forEach(upstream => upstream.connections.close());
    }

    /** Creates the connection pool of an entry; undefined if its address is none that the HTTP client accepts. */
    private tryConnect(entry: UpstreamEntry): UpstreamConnections | undefined {
        const maxConnections = this.routes()?.service(entry.service)?.maxConnections ?? entry.slots * 8;
        try {
            const connections = new UpstreamConnections(
                entry.address,
                Math.max(2, this.connectionLimit(maxConnections)),
            );
            connections.onReopened = () => this.reopenedConnections += 1;
            return connections;
        }
        catch (err) {
            this.log.warn("upstream not added", { upstream: entry.id, error: asError(err).message });
            return undefined;
        }
    }

    private update(known: Upstream, entry: UpstreamEntry): void {
        if (known.entry.draining !== entry.draining || known.missingSince !== undefined) {
            this.log.info("upstream changed", { upstream: entry.id, draining: entry.draining });
        }
        known.entry = entry;
        if (known.missingSince !== undefined) {
            known.onReturned();
        }
    }

    private remove(upstream: Upstream, reason: string): void {
        const { id } = upstream.entry;
        this.byId.delete(id);
        upstream.connections.closeWhenIdle();
        this.onRemoved(upstream);
        this.log.info("upstream removed", { upstream: id, reason, inFlight: upstream.inFlight });
    }
}

/** Whether the entry has only just gone missing, so that the upstream is still used if no other is available. */
const isRecentlyMissing = ({ entry, isLeaving, missingSince }: Upstream, now: number): boolean =>
    !entry.draining && !isLeaving && missingSince !== undefined && now - missingSince < missingGraceMs;
