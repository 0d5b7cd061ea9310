/** The upstreams that are known, and how busy they are with this instance's calls. */
import type { Logger } from "@marigolddrift/common";

import type { RouteTable } from "../routes.js";
import { UpstreamConnections } from "./upstreamConnections.js";
import type { UpstreamEntry } from "./upstreamEntry.js";

/** Time for which an upstream that fails to connect is set aside, in milliseconds. */
const setAsideMs = 1_000;

/** Time after a store outage for which a missing upstream may still come back, in milliseconds. */
const returnGraceMs = 2_200;

/** Rate at which the observed duration of calls is followed. */
const learningRate = 0.1;

/** One upstream. */
export class Upstream {
    inFlight = 0;
    /** Time of the monotonic clock until which it gets no calls, in milliseconds. */
    asideUntil = 0;
    /** Missing from the store since a time of the monotonic clock. */
    missingSince: number | undefined;
    /** Observed duration of a call beside others, in milliseconds. */
    meanCallMs: number | undefined;

    constructor(public entry: UpstreamEntry, readonly connections: UpstreamConnections) {}

    mayServe(now: number): boolean {
        return !this.entry.draining && this.missingSince === undefined && now >= this.asideUntil;
    }

    /** Notes how long a call took. */
    onServed(ms: number): void {
        this.meanCallMs = this.meanCallMs === undefined ? ms : this.meanCallMs + learningRate * (ms - this.meanCallMs);
    }

    /** Takes it out for a while, after a sign that it cannot be reached. */
    setAside(): void {
        this.asideUntil = performance.now() + setAsideMs;
    }
}

/** All upstreams by their address and process. */
export class Upstreams {
    private readonly byId = new Map<string, Upstream>();

    constructor(
        private readonly onRemoved: (id: string) => void,
        private readonly routes: () => RouteTable | undefined,
        private readonly connectionShare: (maxConnections: number) => number,
        private readonly log: Logger,
    ) {}

    get(id: string): Upstream | undefined {
        return this.byId.get(id);
    }

    get size(): number {
        return this.byId.size;
    }

    /** Calls of this instance by upstream, without those that have none. */
    ownLoad(): Record<string, number> {
        const busy = [...this.byId.values()].filter(({ inFlight }) => inFlight > 0);
        return Object.fromEntries(busy.map(({ entry, inFlight }) => [entry.id, inFlight]));
    }

    /** Upstreams of a service that may get calls now. */
    usable(service: string): Upstream[] {
        const now = performance.now();
        const all = [...this.byId.values()].filter(({ entry }) => entry.service === service);
        const usable = all.filter(upstream => upstream.mayServe(now));
        return usable.length > 0 ?
            usable :
            all.filter(({ entry, missingSince }) => lastChance(entry, missingSince, now));
    }

    /** Takes all entries of the store; others are gone. */
    onSnapshot(entries: readonly UpstreamEntry[], storeWasAway: boolean): void {
        const ids = new Set(entries.map(entry => entry.id));
        entries.forEach(entry => this.onEntry(entry));
        [...this.byId.keys()].filter(id => !ids.has(id)).forEach(id => this.onGone(id, storeWasAway));
    }

    /** Takes a new or changed entry. */
    onEntry(entry: UpstreamEntry): void {
        const known = this.byId.get(entry.id);
        const isSame = known?.entry.address === entry.address && known.entry.service === entry.service &&
            known.entry.startedAt === entry.startedAt;
        if (known !== undefined && isSame) {
            this.update(known, entry);
            return;
        }
        if (known !== undefined) {
            this.remove(known, "restarted");
        }
        const maxConnections = this.routes()?.service(entry.service)?.maxConnections ?? entry.slots * 8;
        const connections = new UpstreamConnections(entry.address, Math.max(2, this.connectionShare(maxConnections)));
        this.byId.set(entry.id, new Upstream(entry, connections));
        const { id, service, address, zone, draining } = entry;
        this.log.info("upstream added", { upstream: id, service, address, zone, draining });
    }

    /** Takes the removal of an entry; one that may have lapsed because the store was away gets time to come back. */
    onGone(id: string, storeWasAway: boolean): void {
        const upstream = this.byId.get(id);
        if (upstream === undefined || upstream.missingSince !== undefined) {
            return;
        }
        if (!storeWasAway || upstream.entry.draining) {
            this.remove(upstream, "gone");
            return;
        }
        upstream.missingSince = performance.now();
        this.log.info("upstream missing", { upstream: id, graceMs: returnGraceMs, reason: "the store was away" });
        setTimeout(() => {
            if (this.byId.get(id) === upstream && upstream.missingSince !== undefined) {
                this.remove(upstream, "not back after the store's return");
            }
        }, returnGraceMs).unref();
    }

    close(): void {
        this.byId.forEach(upstream => upstream.connections.close());
    }

    private update(known: Upstream, entry: UpstreamEntry): void {
        if (known.entry.draining !== entry.draining || known.missingSince !== undefined) {
            this.log.info("upstream changed", { upstream: entry.id, draining: entry.draining });
        }
        known.entry = entry;
        known.missingSince = undefined;
    }

    private remove(upstream: Upstream, reason: string): void {
        const { id } = upstream.entry;
        this.byId.delete(id);
        upstream.connections.closeWhenIdle();
        this.onRemoved(id);
        this.log.info("upstream removed", { upstream: id, reason, inFlight: upstream.inFlight });
    }
}

/** With nothing better at hand, an upstream whose entry may just have lapsed is tried. */
const lastChance = (entry: UpstreamEntry, missingSince: number | undefined, now: number): boolean =>
    !entry.draining && missingSince !== undefined && now - missingSince < returnGraceMs;
