/** Assembles, starts and stops the components of an instance that serves plain HTTP calls. */
import type { Logger, Progress } from "@marigolddrift/common";
import { Dispatcher } from "@marigolddrift/dispatch";
import { createPlacement, nextCall } from "@marigolddrift/policy";
import type { StoreChange, VersionedStore } from "@marigolddrift/store";

import { Budgets } from "./budgets/budgets.js";
import { RegionBudgets } from "./budgets/regionBudgets.js";
import { CallBlocker } from "./crashes/callBlocker.js";
import { CrashDetector } from "./crashes/crashDetector.js";
import { DrainController } from "./drainController.js";
import { EntryServer } from "./entry/entryServer.js";
import { createInputBounds } from "./entry/inputBounds.js";
import type { InputBounds } from "./entry/inputBounds.js";
import { FactExchange } from "./facts/factExchange.js";
import { FactClock } from "./facts/factTable.js";
import { BlockFilter } from "./filters/blockFilter.js";
import { BodyFilter } from "./filters/bodyFilter.js";
import { BudgetFilter } from "./filters/budgetFilter.js";
import { ForwardFilter } from "./filters/forwardFilter.js";
import { HistoryFilter } from "./filters/historyFilter.js";
import { PromptSizeFilter } from "./filters/promptSizeFilter.js";
import { Duties } from "./fleet/duties.js";
import { Succession } from "./fleet/succession.js";
import { addGauges } from "./gatewayGauges.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import type { GatewayOptions } from "./gatewayOptions.js";
import { JournalArchive } from "./journal/journalArchive.js";
import { LimitAdmission } from "./limits/limitAdmission.js";
import { PermitGranter } from "./limits/permitGranter.js";
import { Permits } from "./limits/permits.js";
import { UpstreamLimits } from "./limits/upstreamLimits.js";
import { peerName } from "./peers/peerMessages.js";
import type { JournalRequest, LocalInstance, PeerRequest } from "./peers/peerMessages.js";
import { Peers } from "./peers/peers.js";
import { PeerServer } from "./peers/peerServer.js";
import { handleStoreRequest, RelayStore } from "./peers/relayStore.js";
import { UpstreamPool } from "./placement.js";
import type { QueuedCall } from "./placement.js";
import { StallMonitor } from "./stallMonitor.js";
import { ActiveConfig } from "./state/activeConfig.js";
import { BatchWriter } from "./state/batchWriter.js";
import { directSource } from "./state/regionalStoreReader.js";
import { watchPrefix } from "./state/watchedPrefix.js";
import type { WatchedPrefix } from "./state/watchedPrefix.js";
import type { Exchange } from "./trafficMeter.js";
import { StoreArchive } from "./turns/storeArchive.js";
import { packTurn } from "./turns/turnRecord.js";
import { TurnStore } from "./turns/turnStore.js";
import { LoadExchange } from "./upstreams/loadExchange.js";
import type { PeerLoad } from "./upstreams/loadExchange.js";
import { ReplyMemory } from "./upstreams/replyMemory.js";
import { UpstreamFollower } from "./upstreams/upstreamFollower.js";
import { Upstreams } from "./upstreams/upstreams.js";
import type { Upstream } from "./upstreams/upstreams.js";

/** Number of instances assumed to share an upstream's connection limit. */
const assumedInstanceCount = 8;

/** Maximum number of connections from one instance to an upstream. */
const maxConnectionsPerUpstream = 24;

/** Time for which writes are collected into a batch before it is sent. */
const batchDelayMs = 3;

/** Limit on the body size until a configuration has been loaded. */
const defaultMaxBodyBytes = 1024 * 1024;

/** An instance that serves callers. */
export class Gateway {
    readonly metrics = new GatewayMetrics();
    readonly upstreams: Upstreams;
    readonly turns: TurnStore;
    readonly budgets: Budgets;
    readonly entry: EntryServer;
    readonly replyMemory: ReplyMemory;
    readonly input: InputBounds;
    /** Port for callers; 0 until the gateway has started. */
    port = 0;
    private peerPort = 0;
    private readonly drainController: DrainController;
    readonly regionBudgets: RegionBudgets;
    readonly succession: Succession;
    private readonly writer: BatchWriter;
    private readonly loadExchange: LoadExchange;
    private readonly facts: FactExchange;
    private readonly limits: UpstreamLimits;
    private readonly permits: Permits;
    private readonly blocker: CallBlocker;
    private readonly permitGranter: PermitGranter;
    private readonly storeArchive: StoreArchive;
    private readonly journalArchive: JournalArchive;
    private readonly localInstance: LocalInstance;
    private readonly activeConfig: ActiveConfig;
    private readonly config: WatchedPrefix;
    private readonly upstreamEntries: WatchedPrefix;
    private readonly upstreamFollower: UpstreamFollower;
    private readonly dispatcher: Dispatcher<QueuedCall>;
    private readonly peers: Peers;
    private readonly duties: Duties;
    private readonly peerServer: PeerServer;
    /** The platform's store; calls that fail directly are relayed through peers. */
    private readonly store: VersionedStore;
    private readonly log: Logger;
    private readonly stallMonitor: StallMonitor;

    constructor(private readonly options: GatewayOptions) {
        const { log, layout } = options;
        const random = options.random ?? Math.random;
        this.log = log;
        this.stallMonitor = new StallMonitor(log);
        this.input = createInputBounds(options, this.metrics, log);
        const { collector } = this.input;
        this.replyMemory = new ReplyMemory(options.maxReplyMemoryBytes, bytes => collector.onRefused(bytes));
        this.drainController = new DrainController(() => this, options.graceMs, log);
        this.activeConfig = new ActiveConfig(layout, config => this.entry.applyLimits(config.limits), log);
        this.store = new RelayStore(options.store, excluded => this.peers.pickRelay(excluded), log);
        const store = this.store;
        this.peers = this.createPeers();
        this.peerServer = new PeerServer(
            () => this.peers.key,
            (request, progress) => this.handleRequest(request, progress),
            log,
        );
        const topology = { zone: options.zone, region: options.regionOf(options.zone), regionOf: options.regionOf };
        this.upstreams = new Upstreams(
            upstream => {
                pool.prefixes.removeWorker(upstream.entry.id);
                this.limits.forget(upstream);
            },
            () => this.activeConfig.table,
            maxConnections => Math.min(maxConnectionsPerUpstream, Math.floor(maxConnections / assumedInstanceCount)),
            log,
        );
        const address = (): string => peerName({ host: options.host, port: this.peerPort });
        this.localInstance = { instance: options.instance, region: topology.region, address };
        this.duties = new Duties(this.localInstance, this.peers);
        this.succession = new Succession(options, this.peers, log);
        this.loadExchange = new LoadExchange(
            this.localInstance,
            this.duties,
            this.peers,
            () => this.upstreams.localLoad(),
            log,
        );
        this.permitGranter = new PermitGranter(random);
        this.permits = new Permits(this.localInstance, this.duties, this.peers, this.permitGranter, this.metrics, log);
        const factClock = new FactClock();
        this.limits = new UpstreamLimits(factClock, this.permits, options.regionOf, log);
        this.blocker = new CallBlocker(factClock, this.metrics, log);
        const sources = { limits: this.limits, crashes: this.blocker };
        this.facts = new FactExchange(this.localInstance, this.duties, this.peers, factClock, sources, log);
        const peerLoadOf = (upstream: string): PeerLoad => this.loadExchange.peerLoadOf(upstream);
        const pool = new UpstreamPool(topology, this.upstreams, peerLoadOf, this.limits);
        this.writer = new BatchWriter(store, batchDelayMs, log);
        this.storeArchive = new StoreArchive(store, this.writer, log);
        this.journalArchive = new JournalArchive(this.peers, this.storeArchive, options, log);
        this.turns = new TurnStore(this.journalArchive, log);
        this.budgets = new Budgets(options.instance, this.writer, store, this.peers, log);
        this.regionBudgets = new RegionBudgets(this.localInstance, this.budgets, this.duties, log);
        const policy = { place: createPlacement("expectedFinishSampled"), order: nextCall, admission: true, random };
        this.dispatcher = new Dispatcher(pool, policy, log, this.metrics);
        const dispatchQueued = (): void => this.dispatcher.dispatchAllQueued();
        this.upstreamFollower = new UpstreamFollower(this.upstreams, layout, dispatchQueued, log);
        this.entry = this.createEntry(pool, random);
        const { duties, localInstance, peers } = this;
        const watchOptions = { ...options, store, localInstance, duties, peers };
        const outages = {
            onDisconnected: () => this.upstreamFollower.onStoreLost(),
            onReconnected: () => this.upstreamFollower.onStoreRegained(),
        };
        this.config = watchPrefix(watchOptions, layout.configKey, {
            ...outages,
            onSnapshot: values => values.forEach(stored => this.activeConfig.apply(stored, directSource)),
            onChanges: changes => this.onConfigChanges(changes),
        });
        this.upstreamEntries = watchPrefix(watchOptions, layout.upstreamsPrefix, {
            ...outages,
            onSnapshot: values => this.upstreamFollower.onSnapshot(values),
            onChanges: changes => changes.forEach(change => this.upstreamFollower.onChange(change)),
        });
        addGauges(this.metrics, {
            entry: this.entry,
            replyMemory: this.replyMemory,
            inputMemory: this.input.memory,
            dispatcher: this.dispatcher,
            upstreams: this.upstreams,
            blocker: this.blocker,
            activeConfig: this.activeConfig,
            stallMonitor: this.stallMonitor,
            config: this.config.watcher,
            upstreamEntries: this.upstreamEntries.watcher,
        });
    }

    /** Whether the instance is ready to serve callers. */
    get isReady(): boolean {
        return this.drainController.schedule === undefined && this.isInformed;
    }

    /** Version of the configuration in force; undefined until one has been read. */
    get configVersion(): number | undefined {
        return this.activeConfig.table?.config.version;
    }

    /** Whether the instance knows what it needs to serve callers. */
    private get isInformed(): boolean {
        return this.activeConfig.table !== undefined && this.upstreamFollower.hasSnapshot;
    }

    async start(): Promise<void> {
        const { host } = this.options;
        this.peerPort = await this.peerServer.listen(host, this.options.peerPort);
        this.peers.start();
        this.config.watcher.start();
        this.upstreamEntries.watcher.start();
        this.port = await this.entry.listen(host, this.options.port);
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
        this.config.watcher.stop();
        this.upstreamEntries.watcher.stop();
        this.stallMonitor.close();
        this.loadExchange.close();
        this.facts.close();
        this.permitGranter.close();
        this.blocker.close();
        this.peers.stop();
        this.peerServer.close();
        this.storeArchive.close();
        this.budgets.close();
        this.entry.close();
        this.upstreams.close();
    }

    private createPeers(): Peers {
        const { instance, zone, regionOf, host, machine } = this.options;
        const region = regionOf(zone);
        const localAddress = () => ({ instance, host, zone, region, port: this.peerPort, keepsTurns: false });
        const { layout, recordTraffic } = this.options;
        // Until an instance reaches those that follow the store for its region, it has to read the store itself.
        const neededFronts = () =>
            [
                this.duties.likelyCarriers([layout.configKey, layout.upstreamsPrefix]),
                this.duties.partners(),
            ] as const;
        return new Peers(machine, localAddress, this.store, this.log, recordTraffic, neededFronts);
    }

    private async handleRequest(request: PeerRequest | JournalRequest, progress: Progress): Promise<unknown> {
        switch (request.kind) {
            case "standing":
                return this.drainController.standing(this.isInformed);
            case "returnBudget":
                return await this.budgets.returnUnspent(request.program, progress);
            case "followed": {
                const { prefix, revision, waitMs } = request;
                const { reader } = prefix === this.options.layout.configKey ? this.config : this.upstreamEntries;
                return await reader.readForPeer(prefix, revision, waitMs, progress);
            }
            case "shareLoad":
                return this.loadExchange.onReport(request.instance, request.load);
            case "shareFacts":
                return await this.facts.onRequest(request, progress);
            case "takePermits":
                return await this.permits.onRequest(request, progress);
            case "loadTurn": {
                const turn = await this.journalArchive.loadForPeer(request, progress);
                return turn && packTurn(turn);
            }
            case "reserveTokens":
                return await this.regionBudgets.reserveForPeer(request, progress);
            case "settleTokens":
                return await this.regionBudgets.settleForPeer(request);
            case "get":
            case "range":
            case "changes":
            case "txn":
                return await handleStoreRequest(this.options.store, request, progress);
            case "keepTurn":
            case "findTurn":
            case "turnsFlushed":
                throw new Error("this instance keeps no turns");
        }
    }

    private createEntry(pool: UpstreamPool, random: () => number): EntryServer {
        const { protocol, log } = this.options;
        const { dispatcher, upstreams, turns } = this;
        const forward = new ForwardFilter({
            dispatcher,
            upstreams,
            limits: this.limits,
            admission: new LimitAdmission(dispatcher, pool, random),
            crashes: new CrashDetector(upstreams, ({ key }, calls) => this.blocker.onCrash(key, calls), log),
            blocker: this.blocker,
            protocol,
            turns,
            replyMemory: this.replyMemory,
            log,
            recordTraffic: (upstream, exchange) => this.recordUpstreamTraffic(upstream, exchange),
            onPromptProcessed: (upstream, ctx) => pool.prefixes.onPrefilled(upstream, ctx.head.prompt?.parts ?? []),
        });
        const maxBytes = (): number => this.activeConfig.table?.config.limits.maxBodyBytes ?? defaultMaxBodyBytes;
        return new EntryServer({
            filters: [
                new BodyFilter(),
                new BlockFilter(this.blocker),
                new PromptSizeFilter(),
                new HistoryFilter(turns),
                new BudgetFilter(this.regionBudgets),
                forward,
            ],
            protocol,
            routes: () => this.activeConfig.table,
            drainSchedule: () => this.drainController.schedule,
            input: this.input,
            maxBodyBytes: maxBytes,
            random,
            metrics: this.metrics,
            log,
        });
    }

    private recordUpstreamTraffic({ entry }: Upstream, exchange: Omit<Exchange, "link">): void {
        const isNear = this.options.regionOf(entry.zone) === this.localInstance.region;
        this.options.recordTraffic?.({ ...exchange, link: isNear ? "region" : "otherRegion" });
    }

    private onConfigChanges(changes: readonly StoreChange[]): void {
        const puts = changes.filter(change => change.kind === "put");
        puts.forEach(({ stored }) => this.activeConfig.apply(stored, this.config.reader.source));
    }
}
