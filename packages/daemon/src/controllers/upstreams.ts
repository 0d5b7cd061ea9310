/** Registry of the upstreams that the bundle names: circuit state, load, models, and whether each one is leaving. */
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

const loadReportTimeoutMs = 900;

/** Settings and callbacks of {@link Upstreams}. */
export interface UpstreamsOptions {
    readonly loadPollMs: number;
    bundle(): Bundle;
    /** Called when a worker reports that it evicted a program's prefix. */
    onEvicted(worker: string, program: string): void;
}

/** Tracks upstreams by address, and polls the workers assigned to this instance. */
export class Upstreams {
    private readonly upstreams = new Map<string, Upstream>();
    private readonly latestLoads = new Map<string, WorkerLoad>();
    private readonly lastEventSeq = new Map<string, number>();
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly identity: Identity,
        private readonly membership: Membership,
        private readonly engines: EngineClient,
        private readonly options: UpstreamsOptions,
        private readonly log: Logger,
    ) {}

    start(): void {
        this.timer = setInterval(() => this.pollWorkers(), this.options.loadPollMs);
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

    /** Adds the upstreams of a bundle, and removes those that the bundle no longer names. */
    onBundle(bundle: Bundle): void {
        const zoneByAddress = new Map<string, string>();
        const pools = Object.values(bundle.pool).flatMap(pool => pool.workers);
        const services = Object.values(bundle.service).flatMap(service => service.upstreams);
        for (const text of [...pools, ...services]) {
            const { zone, address } = parseAddress(text);
            zoneByAddress.set(address, zone);
            if (!this.upstreams.has(address)) {
                this.upstreams.set(address, new Upstream(address, zone, upstream => this.onChange(upstream)));
            }
        }
        [...this.upstreams.keys()].filter(address => !zoneByAddress.has(address)).forEach(address =>
            this.upstreams.delete(address)
        );
    }

    /** Engines whose pool lists a model, without those whose last load report shows that it is not loaded. */
    workersFor(model: string): Upstream[] {
        const pools = Object.values(this.options.bundle().pool).filter(pool => pool.models.includes(model));
        const addresses = pools.flatMap(pool => pool.workers.map(text => parseAddress(text).address));
        return addresses.map(address => this.upstreams.get(address)).filter(upstream => upstream !== undefined)
            .filter(upstream => upstream.reported?.load.models.includes(model) ?? true);
    }

    /** Upstreams of a service. */
    upstreamsFor(name: string): Upstream[] {
        const addresses = this.options.bundle().service[name]?.upstreams ?? [];
        return addresses.map(text => this.upstreams.get(parseAddress(text).address)).filter(upstream =>
            upstream !== undefined
        );
    }

    /** Cost model of a worker's pool; the default model if no pool contains the worker. */
    costOf(worker: string): CostModel {
        const pools = Object.values(this.options.bundle().pool);
        const pool = pools.find(candidate => candidate.workers.some(text => parseAddress(text).address === worker));
        return pool === undefined ? defaultCostModel : poolCostModel(pool);
    }

    /** Concurrency limit of one worker that serves a model; 0 if no pool serves it. */
    maxInFlightPerWorker(model: string): number {
        const pools = Object.values(this.options.bundle().pool).filter(pool => pool.models.includes(model));
        return Math.max(0, ...pools.map(pool => pool.maxInFlightPerWorker));
    }

    regionOf(zone: string): string {
        return this.options.bundle().zone[zone]?.region ?? "";
    }

    /** Records notices from this instance's own sources, and broadcasts those that change a state to the peers. */
    publishNotices(notices: readonly UpstreamNotice[]): void {
        const changed = notices.filter(({ address, leaving, source }) =>
            this.upstreams.get(address)?.setLeaving(source, leaving)
        );
        if (changed.length > 0) {
            this.log.info("leaving state of upstreams changed", { news: changed });
            this.membership.broadcast({ type: "upstreams", states: changed });
        }
    }

    /** Records notices from peers; they are not broadcast again. */
    onPeerNotices(notices: readonly UpstreamNotice[]): void {
        notices.forEach(({ address, leaving, source }) => this.upstreams.get(address)?.setLeaving(source, leaving));
    }

    onInstanceList(instances: readonly ListedInstance[]): void {
        this.publishNotices(
            instances.filter(entry => entry.kind === "upstream")
                .map(({ address, state }) => ({ address, leaving: state === "leaving", source: "list" })),
        );
    }

    /** Records the worker loads that a peer polled. */
    onPeerLoads(loads: readonly WorkerLoad[]): void {
        const now = Date.now();
        loads.forEach(load => this.upstreams.get(load.worker)?.onLoadReport(load, now));
    }

    /** Worker loads that this instance has read since its current poll began. */
    polledLoads(): WorkerLoad[] {
        return [...this.latestLoads.values()];
    }

    /**
     * Workers of this region that this instance polls. Rendezvous hashing assigns each worker to an instance of the
     * worker's zone, or of the region if that zone has no instance.
     */
    private assignedWorkers(): Upstream[] {
        const workers = Object.values(this.options.bundle().pool).flatMap(pool => pool.workers.map(parseAddress));
        const regionMembers = this.membership.members().filter(member => member.region === this.identity.region);
        const localName = instanceName(this.identity.instance);
        const assigned = workers.filter(({ zone, address }) => {
            const near = regionMembers.filter(member => member.zone === zone);
            const pollers = (near.length > 0 ? near : regionMembers).map(member => instanceName(member.instance));
            return this.regionOf(zone) === this.identity.region && rendezvous(address, pollers)[0] === localName;
        });
        return assigned.map(({ address }) => this.upstreams.get(address)).filter(upstream => upstream !== undefined);
    }

    /** Addresses of the workers that this instance polls and sweeps. */
    assignedWorkerAddresses(): string[] {
        return this.assignedWorkers().map(upstream => upstream.address);
    }

    private pollWorkers(): void {
        this.latestLoads.clear();
        for (const upstream of this.assignedWorkers()) {
            void this.pollWorker(upstream);
        }
    }

    private async pollWorker(upstream: Upstream): Promise<void> {
        const progress = new Progress(loadReportTimeoutMs);
        const worker = upstream.address;
        try {
            const report = await this.engines.load(worker, progress);
            const { running, waiting, heldTokens, memoryTokens, models } = report;
            const leaving = report.state === "leaving";
            const ageMs = Math.max(0, Date.now() - report.at);
            const load = { worker, running, waiting, heldTokens, memoryTokens, ageMs, leaving, models };
            this.latestLoads.set(worker, load);
            upstream.onLoadReport(load, Date.now());
            this.publishNotices([{ address: worker, leaving, source: "report" }]);
            await this.readEvents(worker, progress);
        }
        catch (err) {
            this.log.debug("worker load poll failed", { worker, error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }

    private async readEvents(worker: string, progress: Progress): Promise<void> {
        const since = this.lastEventSeq.get(worker) ?? 0;
        const events = await this.engines.cacheEvents(worker, since, progress);
        const lastSeq = events.at(-1)?.seq;
        if (lastSeq !== undefined) {
            this.lastEventSeq.set(worker, lastSeq);
        }
        const evicted = new Set(events.filter(event => event.kind === "evicted").map(event => event.key));
        evicted.forEach(program => this.options.onEvicted(worker, program));
    }

    private onChange(upstream: Upstream): void {
        this.log.info("upstream state changed", { upstream: upstream.address, state: upstream.lifecycle.state });
    }
}

/** Cost model of a pool's engines. */
export const poolCostModel = (pool: Pool): CostModel => ({
    prefillMsPerToken: pool.prefillMsPerToken,
    decodeBaseMs: pool.decodeBaseMs,
    decodePerSequenceMs: pool.decodePerSequenceMs,
    maxBatch: pool.maxInFlightPerWorker,
    importMsPerToken: pool.importMsPerToken,
});
