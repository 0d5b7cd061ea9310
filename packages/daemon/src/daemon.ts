/** Composition root of a daemon: creates its components, starts them and stops them. */
import { createLogger, createMetrics } from "@marigolddrift/common";
import type { Bundle, Logger, Metrics } from "@marigolddrift/common";
import { Dispatcher } from "@marigolddrift/dispatch";
import type { DispatcherOptions } from "@marigolddrift/dispatch";
import { createPlacement, firstComeFirstServed, nextCall, RetryBudget } from "@marigolddrift/policy";
import { HttpInstanceList, StoreClient } from "@marigolddrift/store";
import type { InstanceList, Store } from "@marigolddrift/store";
import { Agent } from "undici";

import { BundleManager } from "./controllers/bundleManager.js";
import { Drain } from "./controllers/drain.js";
import { EngineMemory } from "./controllers/engineMemory.js";
import { LinkBudget } from "./controllers/linkBudget.js";
import { Membership } from "./controllers/membership.js";
import { PoolReconciler } from "./controllers/poolReconciler.js";
import { Programs } from "./controllers/programs.js";
import { Slots } from "./controllers/slots.js";
import { Sweeper } from "./controllers/sweeper.js";
import { Upstreams } from "./controllers/upstreams.js";
import { createChatFilters, createEdgeFilters, createServiceFilters } from "./filters/chains.js";
import { createAdminActions } from "./http/adminActions.js";
import { AdminServer } from "./http/adminServer.js";
import { CallerServer } from "./http/callerServer.js";
import { Owner } from "./owner.js";
import { createMembershipEvents, createPeerHandlers } from "./peerDuties.js";
import { createInstanceId } from "./peers/identity.js";
import type { Identity } from "./peers/identity.js";
import { PeerServer } from "./peers/peerServer.js";
import { TlsFiles } from "./peers/tls.js";
import { Router } from "./router.js";
import { peerAddress } from "./settings.js";
import type { Settings } from "./settings.js";
import { EngineClient } from "./upstreams/engineClient.js";
import { ServiceClient } from "./upstreams/serviceClient.js";
import { WorkerPool } from "./workerPool.js";

const expiryCheckIntervalMs = 1_000;
const upstreamConnectTimeoutMs = 1_000;
const defaultRetentionMs = 86_400_000;

/** Components that tests replace with their own. */
export interface DaemonOverrides {
    readonly store?: Store;
    readonly list?: InstanceList;
    readonly log?: Logger;
    readonly random?: () => number;
}

/** A daemon: accepts callers' requests, owns slots of programs, and dispatches calls to engines and services. */
export class Daemon {
    readonly identity: Identity;
    readonly log: Logger;
    readonly metrics: Metrics;
    readonly bundles: BundleManager;
    readonly membership: Membership;
    readonly slots: Slots;
    readonly programs: Programs;
    readonly upstreams: Upstreams;
    readonly memory: EngineMemory;
    readonly dispatcher: Dispatcher;
    readonly owner: Owner;
    readonly router: Router;
    readonly orders: PoolReconciler;
    readonly sweeper: Sweeper;
    readonly callers: CallerServer;
    readonly admin: AdminServer;
    readonly drain: Drain;
    /** Ports that the daemon listens on; 0 until it listens. */
    readonly ports = { http: 0, admin: 0, peer: 0 };
    private readonly store: Store;
    private readonly list: InstanceList;
    private readonly agent = new Agent({ connect: { timeout: upstreamConnectTimeoutMs }, pipelining: 1 });
    private readonly linkBudget = new LinkBudget(1);
    private readonly retryBudget = new RetryBudget(0);
    private readonly engines: EngineClient;
    private readonly peers: PeerServer;
    private readonly timers: NodeJS.Timeout[] = [];

    constructor(readonly cfg: Settings, overrides: DaemonOverrides = {}) {
        const { id, zone, region } = cfg.instance;
        this.identity = { instance: createInstanceId(id), zone, region, address: peerAddress(cfg) };
        this.log = overrides.log ?? createLogger(cfg.log.format, cfg.log.level, { instance: id });
        this.metrics = createMetrics(cfg.metrics, { instance: id, zone, region });
        this.store = overrides.store ?? new StoreClient(cfg.platform.store);
        this.list = overrides.list ?? new HttpInstanceList(cfg.platform.list);
        const random = overrides.random ?? Math.random;
        const tls = cfg.tls === undefined ? undefined : new TlsFiles(cfg.tls);
        this.engines = new EngineClient(this.agent, address => this.reportLeaving(address));
        this.memory = new EngineMemory(this.engines, this.log, this.metrics, cfg.policy.placement === "expectedFinish");
        this.membership = this.createMembership(tls);
        this.bundles = new BundleManager(this.store, () => this.membership, {
            region,
            operators: cfg.operators,
            dataFolder: cfg.data?.folder,
            onChange: bundle => this.onBundle(bundle),
        }, this.log);
        this.programs = new Programs({
            bundle: () => this.bundle,
            idKeys: () => [cfg.peer.key, cfg.peer.previousKey].filter(key => key !== undefined),
            onEnded: program => this.onProgramEnded(program.id, program.pauseKind),
        }, this.log);
        this.slots = this.createSlots();
        this.upstreams = new Upstreams(this.identity, this.membership, this.engines, {
            loadPollMs: cfg.timing.loadPollMs,
            bundle: () => this.bundle,
            onEvicted: (worker, program) => this.memory.cacheView.onDropped(program, worker),
        }, this.log);
        const pool = new WorkerPool(this.identity, this.upstreams, this.memory, this.linkBudget);
        this.dispatcher = new Dispatcher(pool, this.dispatcherOptions(random), this.log, this.metrics);
        this.owner = this.createOwner(random);
        this.router = new Router(
            this.identity.instance,
            this.slots,
            this.membership,
            this.owner,
            this.log,
            this.metrics,
        );
        this.sweeper = new Sweeper({ ...this.sharedDependencies(), identity: this.identity });
        this.orders = new PoolReconciler({
            ...this.sharedDependencies(),
            identity: this.identity,
            store: this.store,
            lease: this.slots.lease,
            pools: () => this.bundle.pool,
        });
        this.peers = new PeerServer(this.identity, cfg.peer, tls, createPeerHandlers(this), this.log);
        this.callers = new CallerServer({
            filters: createEdgeFilters(
                this.programs,
                this.router,
                () => this.slots.all().find(slot => !slot.closing)?.slot,
            ),
            bundle: () => this.bundles.current,
            isLeaving: () => this.membership.leaving,
            log: this.log,
            metrics: this.metrics,
        });
        this.drain = new Drain({
            ...this.sharedDependencies(),
            owner: this.owner,
            callers: this.callers,
            seconds: cfg.timing.drainSeconds,
        });
        this.admin = new AdminServer(cfg.admin, createAdminActions(this));
    }

    /** The bundle in force; throws if there is none yet. */
    private get bundle(): Bundle {
        const bundle = this.bundles.current;
        if (bundle === undefined) {
            throw new Error("no bundle is in force yet");
        }
        return bundle;
    }

    /** Whether the instance can serve requests: it has a bundle, is not leaving, and owns slots or knows an owner. */
    get isReady(): boolean {
        const canServe = this.slots.hasOpenSlot || this.slots.directory.owners().length > 0;
        return this.bundles.current !== undefined && !this.membership.leaving && canServe;
    }

    async start(): Promise<void> {
        const { cfg } = this;
        this.ports.peer = await this.peers.listen(cfg.peer.host, cfg.peer.port);
        this.ports.admin = await this.admin.listen(cfg.admin.host, cfg.admin.port, this.log);
        await this.membership.start();
        await this.bundles.start();
        await this.slots.start();
        this.upstreams.start();
        this.sweeper.start();
        this.orders.start();
        this.timers.push(setInterval(() => this.programs.expire(Date.now()), expiryCheckIntervalMs));
        this.ports.http = await this.callers.listen(cfg.http.host, cfg.http.port);
        this.log.info("ready", { ...this.ports, bundle: this.bundles.version });
    }

    /** Stops immediately and interrupts requests in flight; run {@link Drain} first for a graceful stop. */
    async stop(): Promise<void> {
        this.timers.forEach(timer => clearInterval(timer));
        this.callers.close();
        this.admin.close();
        this.sweeper.stop();
        this.orders.stop();
        this.upstreams.stop();
        this.bundles.stop();
        await this.slots.stop();
        this.membership.stop();
        await this.peers.close();
        await this.agent.destroy();
        this.metrics.close();
    }

    /** Options of the scheduling policy, or of a baseline to compare it with. */
    private dispatcherOptions(random: () => number): DispatcherOptions {
        const { placement } = this.cfg.policy;
        const usesExpectedFinish = placement === "expectedFinish";
        return {
            place: createPlacement(placement),
            order: usesExpectedFinish ? nextCall : firstComeFirstServed,
            admission: usesExpectedFinish,
            random,
        };
    }

    /** Applies the keys of reloaded settings, so that keys can be rotated without a restart. */
    reloadKeys(cfg: Settings): void {
        Object.assign(this.cfg.peer, { key: cfg.peer.key, previousKey: cfg.peer.previousKey });
        Object.assign(this.cfg.admin, { key: cfg.admin.key, previousKey: cfg.admin.previousKey });
        this.peers.reloadTls();
        this.log.info("keys reloaded");
    }

    private sharedDependencies() {
        const { slots, programs, upstreams, membership, memory, engines, log, metrics } = this;
        return { slots, programs, upstreams, membership, memory, engines, log, metrics };
    }

    private createMembership(tls: TlsFiles | undefined): Membership {
        const { timing, peer } = this.cfg;
        const options = { heartbeatMs: timing.heartbeatMs, listPollMs: timing.listPollMs, seeds: peer.seeds };
        const events = createMembershipEvents(this);
        return new Membership(this.identity, peer, tls, this.list, options, events, this.log);
    }

    private createSlots(): Slots {
        return new Slots(
            this.identity,
            this.store,
            this.membership,
            {
                leaseSeconds: this.cfg.timing.leaseSeconds,
                slotCount: () => this.bundles.current?.limits.slots ?? 0,
                zones: () => Object.keys(this.bundles.current?.zone ?? {}),
                retentionMs: () =>
                    (this.bundles.current?.limits.outcomeRetentionSeconds ?? 0) * 1000 || defaultRetentionMs,
                onOwned: () => {},
                onReleased: slot => this.programs.removeSlot(slot),
                beforeHandover: record => this.programs.finalizeRecord(record),
            },
            this.log,
            this.metrics,
        );
    }

    private createOwner(random: () => number): Owner {
        const chainDependencies = {
            ...this.sharedDependencies(),
            dispatcher: this.dispatcher,
            retryBudget: this.retryBudget,
        };
        const bundle = (): Bundle => this.bundle;
        return new Owner({
            ...this.sharedDependencies(),
            chatFilters: createChatFilters({ ...chainDependencies, bundle, stallMs: this.cfg.timing.stallMs }),
            serviceFilters: createServiceFilters({
                ...chainDependencies,
                bundle,
                zone: this.identity.zone,
                client: new ServiceClient(this.agent, address => this.reportLeaving(address)),
            }),
            isIdempotent: service => bundle().service[service]?.idempotent ?? false,
            random,
        });
    }

    /** Tells the peers that an upstream has said that it is leaving. */
    private reportLeaving(address: string): void {
        this.upstreams.publishNotices([{ address, leaving: true, source: "report" }]);
    }

    private onBundle(bundle: Bundle): void {
        this.linkBudget.setRate(bundle.limits.regionLinkBytesPerSecond);
        this.retryBudget.setShare(bundle.limits.retryShare);
        this.upstreams.onBundle(bundle);
        this.dispatcher.dispatchAllQueued();
    }

    private onProgramEnded(program: string, pauseKind: string): void {
        this.memory.pauseModel.onEnd(pauseKind);
        this.memory.onEnded(program);
    }
}
