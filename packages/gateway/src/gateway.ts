/** Puts the parts of an instance that serves plain HTTP calls together, starts them and stops them. */
import { delay, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { Dispatcher } from "@marigolddrift/dispatch";
import { createPlacement, nextCall } from "@marigolddrift/policy";
import type { StoreChange, StoredValue, VersionedStore } from "@marigolddrift/store";

import { Budgets } from "./budgets/budgets.js";
import { RegionBudgets } from "./budgets/regionBudgets.js";
import { EntryServer } from "./entry/entryServer.js";
import { BodyFilter } from "./filters/bodyFilter.js";
import { BudgetFilter } from "./filters/budgetFilter.js";
import { ForwardFilter } from "./filters/forwardFilter.js";
import { HistoryFilter } from "./filters/historyFilter.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import type { GatewayOptions } from "./gatewayOptions.js";
import { JournalArchive } from "./journal/journalArchive.js";
import { peerName } from "./peers/peerMessages.js";
import type { JournalRequest, LocalInstance, PeerRequest } from "./peers/peerMessages.js";
import { Peers } from "./peers/peers.js";
import { PeerServer } from "./peers/peerServer.js";
import { handleStoreRequest, RelayStore } from "./peers/relayStore.js";
import { UpstreamPool } from "./placement.js";
import type { PlacedCall } from "./placement.js";
import { RouteTable } from "./routes.js";
import { ChangeFeed } from "./state/changeFeed.js";
import { Follower } from "./state/follower.js";
import type { FollowerEvents } from "./state/follower.js";
import { GroupWriter } from "./state/groupWriter.js";
import { RegionReads } from "./state/regionReads.js";
import { StoreArchive } from "./turns/storeArchive.js";
import { packTurn } from "./turns/turnRecord.js";
import { TurnStore } from "./turns/turnStore.js";
import { SharedLoad } from "./upstreams/sharedLoad.js";
import type { UpstreamEntry } from "./upstreams/upstreamEntry.js";
import { Upstreams } from "./upstreams/upstreams.js";

/** Instances that are taken to share an upstream's connections. */
const assumedInstances = 8;

/** Connections that one instance opens to an upstream at most. */
const maxConnectionsPerUpstream = 24;

/** Time for which writes gather before they are sent, in milliseconds. */
const gatherMs = 3;

/** Time after the stop signal during which new connections may still come, in milliseconds. */
const minDrainMs = 2_600;

/** Period at which a stopping instance looks whether calls are left, in milliseconds. */
const drainPollMs = 25;

/** Time before the end of the grace period at which the instance gives up waiting, in milliseconds. */
const drainReserveMs = 700;

/** Default size limit of bodies before there is a configuration, in bytes. */
const initialBodyBytes = 1024 * 1024;

/** Time after an outage of the store for which removed entries may have lapsed only because of it, in milliseconds. */
const lapseWindowMs = 5_000;

/** A part of the store that is followed, also for peers. */
interface Followed {
    readonly follower: Follower;
    readonly reads: RegionReads;
}

/** One serving instance. */
export class Gateway {
    readonly metrics = new GatewayMetrics();
    readonly upstreams: Upstreams;
    readonly turns: TurnStore;
    readonly budgets: Budgets;
    readonly entry: EntryServer;
    /** Port that callers connect to. */
    port = 0;
    private peerPort = 0;
    private table: RouteTable | undefined;
    private hasUpstreams = false;
    private stopping = false;
    private storeAwayUntil = -Infinity;
    private readonly regionBudgets: RegionBudgets;
    private readonly writer: GroupWriter;
    private readonly sharedLoad: SharedLoad;
    private readonly archive: StoreArchive;
    private readonly journals: JournalArchive;
    private readonly self: LocalInstance;
    private readonly config: Followed;
    private readonly upstreamEntries: Followed;
    private readonly dispatcher: Dispatcher<PlacedCall>;
    private readonly peers: Peers;
    private readonly peerServer: PeerServer;
    /** The platform's store, also through peers. */
    private readonly store: VersionedStore;
    private readonly log: Logger;

    constructor(private readonly options: GatewayOptions) {
        const { log, layout } = options;
        const random = options.random ?? Math.random;
        this.log = log;
        this.store = new RelayStore(options.store, except => this.peers.pickRelay(except), log);
        const store = this.store;
        this.peers = this.createPeers();
        this.peerServer = new PeerServer(
            () => this.peers.key,
            (question, progress) => this.answer(question, progress),
            log,
        );
        const self = { zone: options.zone, region: options.regionOf(options.zone), regionOf: options.regionOf };
        this.upstreams = new Upstreams(
            id => pool.prefixes.forget(id),
            () => this.table,
            maxConnections => Math.min(maxConnectionsPerUpstream, Math.floor(maxConnections / assumedInstances)),
            log,
        );
        const address = (): string => peerName({ host: options.host, port: this.peerPort });
        this.self = { instance: options.instance, region: self.region, address };
        this.sharedLoad = new SharedLoad(this.self, this.peers, () => this.upstreams.ownLoad(), log);
        const pool = new UpstreamPool(self, this.upstreams, upstream => this.sharedLoad.on(upstream));
        this.writer = new GroupWriter(store, gatherMs, log);
        this.archive = new StoreArchive(store, this.writer, log);
        this.journals = new JournalArchive(this.peers, this.archive, options, log);
        this.turns = new TurnStore(this.journals, log);
        this.budgets = new Budgets(options.instance, this.writer, store, this.peers, log);
        this.regionBudgets = new RegionBudgets(this.self, this.budgets, this.peers, log);
        const policy = { place: createPlacement("expectedFinishSampled"), order: nextCall, admission: true, random };
        this.dispatcher = new Dispatcher(pool, policy, log, this.metrics);
        this.entry = this.createEntry(pool, random);
        this.config = this.follow(layout.configKey, {
            onSnapshot: values => values.forEach(stored => this.onConfig(stored)),
            onChanges: changes => changes.forEach(change => change.kind === "put" && this.onConfig(change.stored)),
        });
        this.upstreamEntries = this.follow(layout.upstreamsPrefix, {
            onSnapshot: values => this.onUpstreamSnapshot(values),
            onChanges: changes => changes.forEach(change => this.onUpstreamChange(change)),
        });
        this.addGauges();
    }

    /** Whether callers should be sent here. */
    get isReady(): boolean {
        return !this.stopping && this.table !== undefined && this.hasUpstreams;
    }

    async start(): Promise<void> {
        const { host } = this.options;
        this.peerPort = await this.peerServer.listen(host, this.options.peerPort);
        this.peers.start();
        this.config.follower.start();
        this.upstreamEntries.follower.start();
        this.port = await this.entry.listen(host, this.options.port);
    }

    /** Serves on until callers have moved elsewhere, or the grace period ends. */
    async drain(): Promise<void> {
        const startedAt = performance.now();
        this.stopping = true;
        this.regionBudgets.stop();
        this.log.info("stopping", { active: this.entry.active, connections: this.entry.connections });
        const elapsed = (): number => performance.now() - startedAt;
        const endsAt = this.options.graceMs - drainReserveMs;
        await delay(minDrainMs);
        this.entry.stopAccepting();
        while (this.entry.active > 0 && elapsed() < endsAt) {
            await delay(drainPollMs);
            this.entry.closeIdle();
        }
        const progress = new Progress(Math.max(200, this.options.graceMs - drainReserveMs / 2 - elapsed()));
        await progress.race(this.budgets.returnAllUnspent(progress)).catch((err: unknown) => {
            this.log.warn("budgets not returned", { error: String(err), outcome: "they count as spent" });
        });
        progress.dispose();
        this.log.info("stopped", { ms: Math.round(elapsed()), active: this.entry.active });
    }

    /** Looks for other instances now, rather than at the next period. */
    async refreshPeers(): Promise<void> {
        await this.peers.refresh();
    }

    close(): void {
        this.config.follower.stop();
        this.upstreamEntries.follower.stop();
        this.sharedLoad.close();
        this.peers.stop();
        this.peerServer.close();
        this.archive.close();
        this.budgets.close();
        this.entry.close();
        this.upstreams.close();
    }

    private createPeers(): Peers {
        const { instance, zone, regionOf, host, machine } = this.options;
        const region = regionOf(zone);
        const self = () => ({ instance, host, zone, region, port: this.peerPort, keepsTurns: false });
        return new Peers(machine, self, this.store, this.log);
    }

    private async answer(question: PeerRequest | JournalRequest, progress: Progress): Promise<unknown> {
        switch (question.kind) {
            case "returnBudget":
                return await this.budgets.returnUnspent(question.program, progress);
            case "followed": {
                const { prefix, revision, waitMs } = question;
                const { reads } = prefix === this.options.layout.configKey ? this.config : this.upstreamEntries;
                return await reads.answer(prefix, revision, waitMs, progress);
            }
            case "shareLoad":
                return this.sharedLoad.onReport(question.instance, question.load);
            case "loadTurn": {
                const turn = await this.journals.loadForPeer(question, progress);
                return turn && packTurn(turn);
            }
            case "reserveTokens":
                return await this.regionBudgets.reserveForPeer(question, progress);
            case "settleTokens":
                return await this.regionBudgets.settleForPeer(question);
            case "get":
            case "range":
            case "changes":
            case "txn":
                return await handleStoreRequest(this.options.store, question, progress);
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
            protocol,
            turns,
            log,
            onRead: (upstream, ctx) => pool.prefixes.onRead(upstream, ctx.head.prompt?.parts ?? []),
        });
        const maxBytes = (): number => this.table?.config.limits.maxBodyBytes ?? initialBodyBytes;
        return new EntryServer({
            filters: [
                new BodyFilter(maxBytes),
                new HistoryFilter(turns),
                new BudgetFilter(this.regionBudgets),
                forward,
            ],
            protocol,
            routes: () => this.table,
            isStopping: () => this.stopping,
            random,
            metrics: this.metrics,
            log,
        });
    }

    private follow(
        prefix: string,
        events: Pick<FollowerEvents, "onSnapshot" | "onChanges">,
    ): Followed {
        const { storeSilenceMs } = this.options;
        const feed = new ChangeFeed();
        const reads = new RegionReads(this.self, this.store, this.peers, feed, this.log);
        const outages = {
            onLost: () => this.storeAwayUntil = Infinity,
            onRegained: () => this.storeAwayUntil = performance.now() + lapseWindowMs,
        };
        const follower = new Follower(reads, prefix, { ...events, ...outages }, storeSilenceMs, this.log, feed);
        return { follower, reads };
    }

    private get storeWasAway(): boolean {
        return performance.now() < this.storeAwayUntil;
    }

    private onConfig(stored: StoredValue): void {
        if (stored.key !== this.options.layout.configKey) {
            return;
        }
        const config = this.options.layout.decodeConfig(stored.value);
        if (config === undefined) {
            this.log.warn("configuration refused", {
                revision: stored.revision,
                reason: "it does not match the schema",
            });
            return;
        }
        if (this.table !== undefined && config.version <= this.table.config.version) {
            return;
        }
        this.table = new RouteTable(config);
        this.entry.applyLimits(config.limits);
        this.log.info("configuration in force", { version: config.version, routes: config.routes.length });
    }

    private onUpstreamSnapshot(values: readonly StoredValue[]): void {
        const entries = values.map(stored => this.decodeUpstream(stored)).filter(entry => entry !== undefined);
        this.upstreams.onSnapshot(entries, this.storeWasAway);
        this.hasUpstreams = true;
        this.dispatcher.pumpAll();
    }

    private onUpstreamChange(change: StoreChange): void {
        if (change.kind === "removed") {
            this.upstreams.onGone(this.options.layout.upstreamId(change.key), this.storeWasAway);
            return;
        }
        const entry = this.decodeUpstream(change.stored);
        if (entry !== undefined) {
            this.upstreams.onEntry(entry);
            this.dispatcher.pumpAll();
        }
    }

    private decodeUpstream(stored: StoredValue): UpstreamEntry | undefined {
        const entry = this.options.layout.decodeUpstream(stored.key, stored.value);
        if (entry === undefined) {
            this.log.info("upstream entry ignored", { key: stored.key, reason: "it names no upstream to use" });
        }
        return entry;
    }

    private addGauges(): void {
        this.metrics.addGauge("calls_active", "Calls whose answers have not ended", () => this.entry.active);
        this.metrics.addGauge("calls_waiting", "Calls that wait for an upstream", () => this.dispatcher.waitingCalls);
        this.metrics.addGauge("upstreams", "Known upstreams", () => this.upstreams.size);
        this.metrics.addGauge("config_version", "Version in force", () => this.table?.config.version ?? 0);
        this.metrics.addGauge(
            "store_age_milliseconds",
            "Age of the view of the upstreams",
            () => this.upstreamEntries.follower.ageMs,
        );
    }
}
