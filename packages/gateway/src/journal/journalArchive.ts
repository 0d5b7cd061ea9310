/**
 * Replicates turns to the disks of more journal servers than may fail at once, and falls back to the platform's store
 * when too few of them respond. Load pattern: turns that end while the store is unavailable, or at a rate at which one
 * store call per turn would be too expensive.
 */
import { asError, ProblemError, RendezvousTable } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import { RetryBudget } from "@marigolddrift/policy";

import type { PeerClient } from "../peers/peerClient.js";
import type { FindTurnResponse } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import { unpackTurn } from "../turns/turnRecord.js";
import type { TurnRecord } from "../turns/turnRecord.js";
import type { TurnArchive, TurnRef, TurnToSave } from "../turns/turnStore.js";
import { LateServers } from "./lateServers.js";
import { findInStages } from "./lookupStages.js";
import type { Lookup } from "./lookupStages.js";
import { TurnReplication } from "./turnReplication.js";
import { UncountedServers } from "./uncountedServers.js";

/** Hedges per turn, over many turns: copies that are late are not lost, and further ones would slow down all others. */
const hedgeShare = 0.1;

/** Timeout of a request to one server. */
const requestTimeoutMs = 400;

/** Retry delay for callers when it is unknown whether a turn exists. */
const retryAfterSeconds = 0.5;

/** Location of an instance, and the number of simultaneous server failures that a turn must survive. */
export interface JournalPlacement {
    readonly zone: string;
    readonly regionOf: (zone: string) => string;
    readonly toleratedLosses: number;
}

/** Responses of the servers that were asked for a turn; undefined while, or if, there is none. */
type TurnResponses = Map<PeerClient, FindTurnResponse | undefined>;

interface JournalServers {
    readonly version: number;
    readonly servers: ReadonlyMap<string, PeerClient>;
    readonly table: RendezvousTable;
}

/** Saves turns on journal servers, with the store as the fallback. */
export class JournalArchive implements TurnArchive {
    private readonly hedgeBudget = new RetryBudget(hedgeShare);
    private readonly lateServers = new LateServers();
    private readonly uncountedServers: UncountedServers;
    private servers: JournalServers | undefined;

    constructor(
        private readonly peers: Pick<Peers, "version" | "journals" | "reload" | "pickFront">,
        private readonly store: TurnArchive,
        private readonly placement: JournalPlacement,
        private readonly log: Logger,
    ) {
        this.uncountedServers = new UncountedServers(log);
    }

    async save(turnToSave: TurnToSave, progress: Progress): Promise<void> {
        const copyCount = this.placement.toleratedLosses + 1;
        const { hedgeBudget, lateServers, uncountedServers, store, log } = this;
        const reachable = this.rankServers(turnToSave.program).filter(isReachable);
        const servers = lateServers.order(uncountedServers.select(reachable, copyCount), copyCount);
        if (servers.length < copyCount) {
            await this.store.save(turnToSave, progress);
            return;
        }
        hedgeBudget.onRequest();
        await new TurnReplication({
            turnToSave,
            servers,
            copyCount,
            store,
            hedgeBudget,
            lateServers,
            uncountedServers,
            progress,
            log,
        }).run();
    }

    async load(ref: TurnRef, progress: Progress): Promise<TurnRecord | undefined> {
        const responses: TurnResponses = new Map();
        const found = await this.findTurn(ref, responses, progress, () => this.loadViaFront(ref, progress)) ??
            await this.findOnNewServers(ref, responses, progress);
        if (found === undefined) {
            this.verifyAbsent(ref, responses);
        }
        return found;
    }

    /** Looks up a turn for an instance that cannot reach the journal servers. Undefined does not prove its absence. */
    async loadForPeer(ref: TurnRef, progress: Progress): Promise<TurnRecord | undefined> {
        return await this.findTurn(ref, new Map(), progress, async () => undefined);
    }

    private async findTurn(
        ref: TurnRef,
        responses: TurnResponses,
        progress: Progress,
        loadViaFront: Lookup,
    ): Promise<TurnRecord | undefined> {
        const isUncounted = ({ name }: PeerClient): boolean => this.uncountedServers.has(name);
        const ranked = this.rankServers(ref.program);
        const servers = [...ranked.filter(server => !isUncounted(server)), ...ranked.filter(isUncounted)];
        const reachable = servers.filter(isReachable);
        const unconnected = servers.filter(server => !reachable.includes(server) && server.isUsable);
        const createLookup = (server: PeerClient): Lookup => () => this.lookUp(server, ref, responses, progress);
        const loadStored: Lookup = () => this.store.load(ref, progress);
        const copyCount = this.placement.toleratedLosses + 1;
        return await findInStages([
            reachable.slice(0, 1).map(createLookup),
            reachable.slice(1, copyCount).map(createLookup),
            [
                ...reachable.slice(copyCount).map(createLookup),
                ...unconnected.map(createLookup),
                loadStored,
                ...(reachable.length < copyCount ? [loadViaFront] : []),
            ],
            // The turn may have been flushed from the disks to the store during the earlier stages.
            [loadStored],
        ]);
    }

    /**
     * Looks a turn up on the servers that were not known yet, or have restarted. Instances learn of a new server seconds
     * apart, so that another one may already have saved turns there.
     */
    private async findOnNewServers(
        ref: TurnRef,
        responses: TurnResponses,
        progress: Progress,
    ): Promise<TurnRecord | undefined> {
        await this.reloadServers(ref.id, progress);
        const newServers = this.peers.journals.filter(server => !responses.has(server) && server.isUsable);
        return newServers.length === 0 ? undefined : await findInStages([
            newServers.map(server => () => this.lookUp(server, ref, responses, progress)),
            [() => this.store.load(ref, progress)],
        ]);
    }

    private async lookUp(
        server: PeerClient,
        ref: TurnRef,
        responses: TurnResponses,
        progress: Progress,
    ): Promise<TurnRecord | undefined> {
        responses.set(server, undefined);
        const response = await this.requestTurn(server, ref, progress);
        responses.set(server, response);
        return response?.record && unpackTurn(response.record);
    }

    /** Looks up a turn through another front instance, which may reach journal servers that this one cannot. */
    private async loadViaFront({ id, program }: TurnRef, progress: Progress): Promise<TurnRecord | undefined> {
        const front = this.peers.pickFront();
        const askProgress = progress.child(requestTimeoutMs);
        try {
            const record = await front?.ask({ kind: "loadTurn", id, program }, askProgress);
            return record && unpackTurn(record);
        }
        catch (err) {
            progress.throwIfAborted();
            this.log.info("turn lookup through front instance failed", {
                turn: id,
                peer: front?.name,
                error: asError(err).message,
            });
            return undefined;
        }
        finally {
            askProgress.dispose();
        }
    }

    /**
     * Throws unless the turn certainly does not exist. Each turn is saved on more disks than may be lost, so all but
     * the tolerated number of servers must have answered that they do not have it.
     */
    private verifyAbsent({ id }: TurnRef, responses: TurnResponses): void {
        const inconclusive = this.peers.journals.filter(server => responses.get(server)?.complete !== true);
        if (inconclusive.length > this.placement.toleratedLosses) {
            this.log.info("cannot rule out that the turn exists", {
                turn: id,
                unsure: inconclusive.map(({ name }) => name),
            });
            throw inconclusiveError();
        }
    }

    /** Reloads the list of journal servers; absence can be verified only against the current list. */
    private async reloadServers(id: string, progress: Progress): Promise<void> {
        try {
            await this.peers.reload(progress);
        }
        catch (err) {
            progress.throwIfAborted();
            this.log.info("failed to list journal machines", { turn: id, error: asError(err).message });
            throw inconclusiveError();
        }
    }

    private async requestTurn(
        server: PeerClient,
        { id }: TurnRef,
        progress: Progress,
    ): Promise<FindTurnResponse | undefined> {
        const askProgress = progress.child(requestTimeoutMs);
        try {
            return await server.ask({ kind: "findTurn", id }, askProgress);
        }
        catch (err) {
            progress.throwIfAborted();
            this.log.info("journal server did not respond", {
                turn: id,
                machine: server.name,
                error: asError(err).message,
            });
            return undefined;
        }
        finally {
            askProgress.dispose();
        }
    }

    /** The journal servers, prepared once per version of the member list. */
    private journalServers(): JournalServers {
        const { version } = this.peers;
        if (this.servers?.version !== version) {
            const servers = new Map(this.peers.journals.map(server => [server.name, server]));
            this.servers = { version, servers, table: new RendezvousTable([...servers.keys()]) };
        }
        return this.servers;
    }

    /** Ranks servers: own region first. All instances of a region get the same order for a program. */
    private rankServers(program: string): PeerClient[] {
        const { zone, regionOf } = this.placement;
        const { servers, table } = this.journalServers();
        const rankedServers = table.rank(program).map(name => servers.get(name)!);
        const isNear = (server: PeerClient): boolean => regionOf(server.address.zone) === regionOf(zone);
        return [...rankedServers.filter(isNear), ...rankedServers.filter(server => !isNear(server))];
    }
}

/** Whether the connection is open. Connections are opened in the background, so that no turn waits for one. */
const isReachable = ({ isUsable, isConnected }: PeerClient): boolean => isUsable && isConnected;

const inconclusiveError = (): ProblemError =>
    new ProblemError(
        "not_durable",
        "notRun",
        "Too few machines said whether the turn exists.",
        { retryAfterSeconds },
    );
