/** Assembles, starts and stops the components of an instance that serves plain HTTP calls. */
import type { Logger } from "@marigolddrift/common";
import { Dispatcher } from "@marigolddrift/dispatch";
import { nextCall, placeNear } from "@marigolddrift/policy";
import type { VersionedStore } from "@marigolddrift/store";

import { BeginningHolders } from "./beginnings/beginningHolders.js";
import { Beginnings } from "./beginnings/beginnings.js";
import { Budgets } from "./budgets/budgets.js";
import { RegionBudgets } from "./budgets/regionBudgets.js";
import { Builds } from "./builds/builds.js";
import { CallBlocker } from "./crashes/callBlocker.js";
import { DrainController } from "./drainController.js";
import { EntryServer } from "./entry/entryServer.js";
import { createInputBounds } from "./entry/inputBounds.js";
import type { InputBounds } from "./entry/inputBounds.js";
import { Explainer } from "./explain/explainer.js";
import { FactExchange } from "./facts/factExchange.js";
import { FactClock } from "./facts/factTable.js";
import { Fairness } from "./fairness/fairness.js";
import { createCallFilters } from "./filters/callFilters.js";
import { Duties } from "./fleet/duties.js";
import { Succession } from "./fleet/succession.js";
import { addGauges } from "./gatewayGauges.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import type { GatewayOptions } from "./gatewayOptions.js";
import { LimitAdmission } from "./limits/limitAdmission.js";
import { PermitGranter } from "./limits/permitGranter.js";
import { Permits } from "./limits/permits.js";
import { UpstreamLimits } from "./limits/upstreamLimits.js";
import { ProcessMemory } from "./memory/processMemory.js";
import { createFrontHandler } from "./peers/frontRequests.js";
import { createGatewayPeers } from "./peers/gatewayPeers.js";
import { peerName } from "./peers/peerMessages.js";
import type { LocalInstance } from "./peers/peerMessages.js";
import type { Peers } from "./peers/peers.js";
import { PeerServer } from "./peers/peerServer.js";
import type { RequestHandler } from "./peers/peerServer.js";
import { RelayStore } from "./peers/relayStore.js";
import { UpstreamPool } from "./placement.js";
import type { QueuedCall } from "./placement.js";
import { Quotas } from "./quotas/quotas.js";
import type { RoutingConfig } from "./routes.js";
import { StallMonitor } from "./stallMonitor.js";
import { FollowedStore } from "./state/followedStore.js";
import type { Exchange } from "./trafficMeter.js";
import { TurnStorage } from "./turns/turnStorage.js";
import type { TurnStore } from "./turns/turnStore.js";
import { LoadExchange } from "./upstreams/loadExchange.js";
import type { PeerLoad } from "./upstreams/loadExchange.js";
import type { ReplyMemory } from "./upstreams/replyMemory.js";
import { connectionsPerInstance, Upstreams } from "./upstreams/upstreams.js";
import type { Upstream } from "./upstreams/upstreams.js";

/** An instance that serves callers. */
export class Gateway {
    readonly metrics = new GatewayMetrics();
    readonly upstreams: Upstreams;
    readonly budgets: Budgets;
    readonly entry: EntryServer;
    readonly replyMemory: ReplyMemory;
    readonly explainer: Explainer;
    readonly input: InputBounds;
    /** Port for callers; 0 until the gateway has started. */
    port = 0;
    private readonly memory: ProcessMemory;
    private peerPort = 0;
    private readonly drainController: DrainController;
    readonly regionBudgets: RegionBudgets;
    readonly succession: Succession;
    private readonly turnStorage: TurnStorage;
    private readonly loadExchange: LoadExchange;
    private readonly facts: FactExchange;
    private readonly limits: UpstreamLimits;
    private readonly builds: Builds;
    private readonly beginnings: Beginnings;
    private readonly permits: Permits;
    private readonly blocker: CallBlocker;
    private readonly permitGranter: PermitGranter;
    /** Undefined if no quotas are enforced. */
    private readonly quotas: Quotas | undefined;
    private readonly localInstance: LocalInstance;
    private readonly followedStore: FollowedStore;
    private readonly dispatcher: Dispatcher<QueuedCall>;
    private readonly fairness: Fairness;
    private readonly peers: Peers;
    private readonly duties: Duties;
    private readonly peerServer: PeerServer;
    /** The platform's store; calls that fail directly are relayed through peers. */
    private readonly store: VersionedStore;
    private readonly log: Logger;
    private readonly stallMonitor: StallMonitor;

    constructor(private readonly options: GatewayOptions) {
        const { log, observesUpstreams = true } = options;
        const random = options.random ?? Math.random;
        this.log = log;
        this.stallMonitor = new StallMonitor(log);
        this.memory = new ProcessMemory(options.memory);
        this.replyMemory = this.memory.replies;
        this.input = createInputBounds(options, this.memory, this.metrics, log);
        this.drainController = new DrainController(() => this, options.graceMs, log);
        this.store = new RelayStore(options.store, excluded => this.peers.pickRelay(excluded), log);
        this.peers = createGatewayPeers(options, {
            store: this.store,
            peerPort: () => this.peerPort,
            duties: () => this.duties,
        });
        this.peerServer = new PeerServer(
            () => this.peers.key,
            (request, progress) => answerPeer(request, progress),
            log,
            this.memory,
        );
        const topology = { zone: options.zone, region: options.regionOf(options.zone), regionOf: options.regionOf };
        this.upstreams = new Upstreams(
            upstream => {
                pool.forget(upstream);
                this.builds.onUpstreamRemoved(upstream);
                this.limits.forget(upstream);
            },
            () => this.followedStore.table,
            connectionsPerInstance,
            log,
        );
        const address = (): string => peerName({ host: options.host, port: this.peerPort });
        this.localInstance = { instance: options.instance, region: topology.region, address };
        this.duties = new Duties(this.localInstance, this.peers);
        this.succession = new Succession(options, this.peers, log);
        const { duties, localInstance, metrics, peers } = this;
        const fleet = { localInstance, duties, peers, metrics, random, log };
        this.quotas = options.quotas && new Quotas({ settings: options.quotas, ...fleet });
        this.loadExchange = new LoadExchange(
            this.localInstance,
            this.duties,
            this.peers,
            () => this.upstreams.localLoad(),
            log,
            () => this.fairness.localLoad(),
        );
        this.permitGranter = new PermitGranter(random, () => peers.isSettled);
        this.permits = new Permits(this.localInstance, this.duties, this.peers, this.permitGranter, this.metrics, log);
        const factClock = new FactClock();
        this.limits = new UpstreamLimits(factClock, this.permits, options.regionOf, log);
        this.blocker = new CallBlocker(factClock, this.metrics, log);
        const sources = { limits: this.limits, crashes: this.blocker };
        this.facts = new FactExchange(this.localInstance, this.duties, this.peers, factClock, sources, log);
        const { upstreams, limits } = this;
        const peerLoadOf = (upstream: string): PeerLoad => this.loadExchange.peerLoadOf(upstream);
        const pool = new UpstreamPool(topology, upstreams, peerLoadOf, limits, random, log, observesUpstreams);
        this.turnStorage = new TurnStorage(this.store, this.peers, options, log, this.memory);
        this.budgets = new Budgets(options.instance, this.turnStorage.writer, this.store, this.peers, log);
        this.regionBudgets = new RegionBudgets(this.localInstance, this.budgets, this.duties, log);
        this.fairness = new Fairness(() => this.followedStore.table?.workspaces, {
            loadOfPeers: () => this.loadExchange.workspacesOfPeers,
            slots: service => pool.slots(service, this.peers.namesInRegion(topology.region).length + 1),
        });
        const queueOf = this.fairness.queueOf.bind(this.fairness);
        const policy = { place: placeNear, order: nextCall, queueOf, admission: true, random };
        this.dispatcher = new Dispatcher(pool, policy, log, this.metrics);
        this.builds = new Builds({ ...fleet, store: this.store, upstreams, routes: () => this.followedStore.table });
        this.beginnings = new Beginnings({
            holders: new BeginningHolders(peers, topology.region, options.toleratedLosses + 1),
            lifetimeMs: () => this.builds.lifetimeMs,
            log,
        });
        this.followedStore = new FollowedStore({
            ...options,
            localInstance,
            duties,
            peers,
            upstreams,
            store: this.store,
            onConfig: config => this.onConfig(config),
            onUpstreamsAdded: () => {
                this.builds.onUpstreamsAdded();
                this.dispatcher.dispatchAllQueued();
            },
        });
        const admission = new LimitAdmission(this.dispatcher, pool, random);
        this.entry = this.createEntry(pool, admission, random);
        this.explainer = new Explainer({
            instance: options.instance,
            topology,
            pool,
            upstreams: this.upstreams,
            limits: this.limits,
            dispatcher: this.dispatcher,
            admission,
            routes: () => this.followedStore.table,
            drainSchedule: () => this.drainController.schedule,
        });
        const answerPeer = this.createPeerHandler();
        addGauges(this.metrics, {
            entry: this.entry,
            replyMemory: this.replyMemory,
            inputMemory: this.input.memory,
            turns: this.turns,
            dispatcher: this.dispatcher,
            upstreams: this.upstreams,
            blocker: this.blocker,
            builds: this.builds,
            beginnings: this.beginnings,
            quotas: this.quotas,
            activeConfig: this.followedStore.activeConfig,
            stallMonitor: this.stallMonitor,
            config: this.followedStore.config.watcher,
            upstreamEntries: this.followedStore.upstreamEntries.watcher,
        });
    }

    get turns(): TurnStore {
        return this.turnStorage.turns;
    }

    /** Whether the instance is ready to serve callers. */
    get isReady(): boolean {
        return this.drainController.schedule === undefined && this.canServe;
    }

    /** Version of the configuration in force; undefined until one has been read. */
    get configVersion(): number | undefined {
        return this.followedStore.table?.config.version;
    }

    /** Whether callers can connect, and the instance knows what it needs to serve them. */
    private get canServe(): boolean {
        return this.port !== 0 && this.followedStore.isKnown;
    }

    /** Resolves once callers can connect. Waits for ports that are not free. */
    async start(): Promise<void> {
        const { host, port, peerPorts, stopSignal } = this.options;
        this.peerPort = await this.peerServer.listen(host, peerPorts, stopSignal);
        this.peers.start();
        this.followedStore.start();
        this.port = await this.entry.listen(host, port, stopSignal);
    }

    /** Stops taking calls; resolves when those that were taken have been answered. */
    async drain(): Promise<void> {
        await this.drainController.drain();
    }

    /** Refreshes the list of peers immediately instead of at the next interval. */
    async refreshPeers(): Promise<void> {
        await this.peers.refresh();
    }

    close(): void {
        this.followedStore.stop();
        this.stallMonitor.close();
        this.loadExchange.close();
        this.facts.close();
        this.permitGranter.close();
        this.quotas?.close();
        this.blocker.close();
        this.peers.stop();
        this.peerServer.close();
        this.turnStorage.close();
        this.budgets.close();
        this.builds.close();
        this.beginnings.close();
        this.entry.close();
        this.upstreams.close();
    }

    private createPeerHandler(): RequestHandler {
        const {
            drainController,
            budgets,
            regionBudgets,
            loadExchange,
            facts,
            permits,
            quotas,
            peers,
            builds,
        } = this;
        const { store } = this.options;
        return createFrontHandler({
            drainController,
            budgets,
            regionBudgets,
            loadExchange,
            facts,
            permits,
            quotas,
            peers,
            journalArchive: this.turnStorage.journalArchive,
            builds,
            store,
            canServe: () => this.canServe,
            followed: prefix => this.followedStore.followed(prefix),
        });
    }

    private createEntry(pool: UpstreamPool, admission: LimitAdmission, random: () => number): EntryServer {
        const { protocol, log, hedgeShare = 0 } = this.options;
        const { beginnings, blocker, builds, dispatcher, fairness, limits, metrics, replyMemory, upstreams, turns } =
            this;
        return new EntryServer({
            filters: createCallFilters({
                blocker,
                builds,
                beginnings,
                serviceOf: name => this.followedStore.table?.service(name),
                formerServices: (host, path) => this.followedStore.activeConfig.history.formerServices(host, path),
                requestPermit: this.quotas?.requestPermit,
                turns,
                budgets: this.regionBudgets,
                dispatcher,
                pool,
                upstreams,
                limits,
                admission,
                fairness,
                protocol,
                replyMemory,
                hedgeShare,
                recordTraffic: (upstream, exchange) => this.recordUpstreamTraffic(upstream, exchange),
                random,
                metrics,
                log,
            }),
            protocol,
            routes: () => this.followedStore.table,
            drainSchedule: () => this.drainController.schedule,
            input: this.input,
            maxBodyBytes: () => this.followedStore.activeConfig.maxBodyBytes,
            random,
            metrics,
            log,
        });
    }

    private recordUpstreamTraffic({ entry }: Upstream, exchange: Omit<Exchange, "link">): void {
        const isNear = this.options.regionOf(entry.zone) === this.localInstance.region;
        this.options.recordTraffic?.({ ...exchange, link: isNear ? "region" : "otherRegion" });
    }

    private onConfig({ limits, workspaces }: RoutingConfig): void {
        this.entry.applyLimits(limits);
        this.quotas?.applyWorkspaces(workspaces);
        // Which services have resumable streams is known from now on.
        this.builds.onUpstreamsAdded();
    }
}
