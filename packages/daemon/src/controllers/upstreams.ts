/** All upstreams of the bundle: their circuits, loads, models, and whether they are leaving. */
import { asError, parseAddress, Progress, rendezvous } from "@marigolddrift/common";
import type { Bundle, Logger, Pool } from "@marigolddrift/common";

import { defaultCostModel } from "@marigolddrift/policy";
import type { CostModel } from "@marigolddrift/policy";

import type { ListedInstance } from "@marigolddrift/store";
import type { Identity } from "../peers/identity.js";
import { instanceName } from "../peers/identity.js";
import type { UpstreamNotice, WorkerLoad } from "../peers/messages.js";
import type { EngineClient } from "../upstreams/engineClient.js";
import type { Membership } from "./membership.js";
import { Upstream } from "./upstream.js";

const loadTimeoutMs = 900;

/** What the upstreams need from the rest of the daemon. */
export interface UpstreamsOptions {
    readonly loadPollMs: number;
    bundle(): Bundle;
    /** A worker reported that it evicted a program's prefix. */
    onEvicted(worker: string, program: string): void;
}

/** Upstreams by address. */
export class Upstreams {
    private readonly upstreams = new Map<string, Upstream>();
    private readonly fresh = new Map<string, WorkerLoad>();
    private readonly eventsSeen = new Map<string, number>();
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly self: Identity,
        private readonly membership: Membership,
        private readonly engines: EngineClient,
        private readonly options: UpstreamsOptions,
        private readonly log: Logger,
    ) {}

    start(): void {
        this.timer = setInterval(() => this.poll(), this.options.loadPollMs);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    all(): Upstream[] {
        return [...this.upstreams.values()];
    }

    get(address: string): Upstream | undefined {
        return this.upstreams.get(address);
    }

    /** Takes the upstreams of a bundle; those that it no longer names are forgotten. */
    onBundle(bundle: Bundle): void {
        const named = new Map<string, string>();
        const pools = Object.values(bundle.pool).flatMap(pool => pool.workers);
        const services = Object.values(bundle.service).flatMap(service => service.upstreams);
        for (const text of [...pools, ...services]) {
            const { zone, address } = parseAddress(text);
            named.set(address, zone);
            if (!this.upstreams.has(address)) {
                this.upstreams.set(address, new Upstream(address, zone, upstream => this.onChange(upstream)));
            }
        }
        [...this.upstreams.keys()].filter(address => !named.has(address)).forEach(address =>
            this.upstreams.delete(address)
        );
    }

    /** Engines that serve a model. */
    workersFor(model: string): Upstream[] {
        const pools = Object.values(this.options.bundle().pool).filter(pool => pool.models.includes(model));
        const addresses = pools.flatMap(pool => pool.workers.map(text => parseAddress(text).address));
        return addresses.map(address => this.upstreams.get(address)).filter(upstream => upstream !== undefined)
            .filter(upstream => upstream.reported?.load.models.includes(model) ?? true);
    }

    /** Upstreams of a service. */
    forService(name: string): Upstream[] {
        const addresses = this.options.bundle().service[name]?.upstreams ?? [];
        return addresses.map(text => this.upstreams.get(parseAddress(text).address)).filter(upstream =>
            upstream !== undefined
        );
    }

    /** Cost model of a worker, from its pool. */
    costOf(worker: string): CostModel {
        const pools = Object.values(this.options.bundle().pool);
        const pool = pools.find(candidate => candidate.workers.some(text => parseAddress(text).address === worker));
        return pool === undefined ? defaultCostModel : poolCost(pool);
    }

    /** Calls that one worker runs at a time. */
    batchOf(model: string): number {
        const pools = Object.values(this.options.bundle().pool).filter(pool => pool.models.includes(model));
        return Math.max(0, ...pools.map(pool => pool.maxInFlightPerWorker));
    }

    regionOf(zone: string): string {
        return this.options.bundle().zone[zone]?.region ?? "";
    }

    /** Notes what a source says about leaving, and tells the peers what is new. */
    note(notices: readonly UpstreamNotice[]): void {
        const news = notices.filter(({ address, leaving, source }) =>
            this.upstreams.get(address)?.setLeaving(source, leaving)
        );
        if (news.length > 0) {
            this.log.info("upstreams leaving", { news });
            this.membership.broadcast({ type: "upstreams", states: news });
        }
    }

    /** Takes what peers found. */
    onNotices(notices: readonly UpstreamNotice[]): void {
        notices.forEach(({ address, leaving, source }) => this.upstreams.get(address)?.setLeaving(source, leaving));
    }

    onListed(instances: readonly ListedInstance[]): void {
        this.note(
            instances.filter(entry => entry.kind === "upstream")
                .map(({ address, state }) => ({ address, leaving: state === "leaving", source: "list" })),
        );
    }

    /** Takes the loads that a peer read. */
    onLoads(loads: readonly WorkerLoad[]): void {
        const now = Date.now();
        loads.forEach(load => this.upstreams.get(load.worker)?.onLoad(load, now));
    }

    /** Loads that this instance read since the last heartbeat round. */
    ownLoads(): WorkerLoad[] {
        return [...this.fresh.values()];
    }

    /** Workers that this instance polls, on behalf of its region. */
    private responsibleFor(): Upstream[] {
        const workers = Object.values(this.options.bundle().pool).flatMap(pool => pool.workers.map(parseAddress));
        const region = this.membership.members().filter(member => member.region === this.self.region);
        const own = instanceName(this.self.instance);
        const mine = workers.filter(({ zone, address }) => {
            const near = region.filter(member => member.zone === zone);
            const pollers = (near.length > 0 ? near : region).map(member => instanceName(member.instance));
            return this.regionOf(zone) === this.self.region && rendezvous(address, pollers)[0] === own;
        });
        return mine.map(({ address }) => this.upstreams.get(address)).filter(upstream => upstream !== undefined);
    }

    /** Workers that this instance sweeps and orders on behalf of its region. */
    ownWorkers(): string[] {
        return this.responsibleFor().map(upstream => upstream.address);
    }

    private poll(): void {
        this.fresh.clear();
        for (const upstream of this.responsibleFor()) {
            void this.pollOne(upstream);
        }
    }

    private async pollOne(upstream: Upstream): Promise<void> {
        const progress = new Progress(loadTimeoutMs);
        const worker = upstream.address;
        try {
            const report = await this.engines.load(worker, progress);
            const { running, waiting, heldTokens, memoryTokens, models } = report;
            const leaving = report.state === "leaving";
            const ageMs = Math.max(0, Date.now() - report.at);
            const load = { worker, running, waiting, heldTokens, memoryTokens, ageMs, leaving, models };
            this.fresh.set(worker, load);
            upstream.onLoad(load, Date.now());
            this.note([{ address: worker, leaving, source: "report" }]);
            await this.readEvents(worker, progress);
        }
        catch (err) {
            this.log.debug("load not read", { worker, error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }

    private async readEvents(worker: string, progress: Progress): Promise<void> {
        const since = this.eventsSeen.get(worker) ?? 0;
        const events = await this.engines.cacheEvents(worker, since, progress);
        const last = events.at(-1)?.seq;
        if (last !== undefined) {
            this.eventsSeen.set(worker, last);
        }
        const evicted = new Set(events.filter(event => event.kind === "evicted").map(event => event.key));
        evicted.forEach(program => this.options.onEvicted(worker, program));
    }

    private onChange(upstream: Upstream): void {
        this.log.info("upstream state", { upstream: upstream.address, state: upstream.lifecycle.state });
    }
}

/** Cost model of the engines of a pool. */
export const poolCost = (pool: Pool): CostModel => ({
    prefillMsPerToken: pool.prefillMsPerToken,
    decodeBaseMs: pool.decodeBaseMs,
    decodePerSequenceMs: pool.decodePerSequenceMs,
    maxBatch: pool.maxInFlightPerWorker,
    importMsPerToken: pool.importMsPerToken,
});
