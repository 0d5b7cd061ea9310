/**
 * Replicates turns to the disks of more journal servers than may fail at once, and falls back to the platform's store
 * when too few of them respond. Load pattern: turns that end while the store is unavailable, or at a rate at which one
 * store call per turn would be too expensive.
 */
import { asError, delay, ProblemError, rendezvous } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { FindTurnResponse } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import { packTurn, unpackTurn } from "../turns/turnRecord.js";
import type { TurnRecord } from "../turns/turnRecord.js";
import type { TurnArchive, TurnRef, TurnToSave } from "../turns/turnStore.js";

/** Delay before a further server gets a copy: above a round trip between regions including a disk sync. */
const copyHedgeMs = 90;

/** Delay before the turn is also written to the store. */
const storeFallbackMs = 250;

/** Delay before a lookup proceeds to the next stage: above a round trip within the region. */
const lookupStageMs = 60;

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

/** Saves turns on journal servers, with the store as the fallback. */
export class JournalArchive implements TurnArchive {
    constructor(
        private readonly peers: Pick<Peers, "journals" | "reload" | "pickFront">,
        private readonly store: TurnArchive,
        private readonly placement: JournalPlacement,
        private readonly log: Logger,
    ) {}

    async save(turnToSave: TurnToSave, progress: Progress): Promise<void> {
        const servers = this.rankServers(turnToSave.program).filter(isReachable);
        const copyCount = this.placement.toleratedLosses + 1;
        if (servers.length < copyCount) {
            await this.store.save(turnToSave, progress);
            return;
        }
        await new TurnReplication(turnToSave, servers, copyCount, this.store, progress, this.log).run();
    }

    async load(ref: TurnRef, progress: Progress): Promise<TurnRecord | undefined> {
        const responses = new Map<PeerClient, FindTurnResponse>();
        const found = await this.findTurn(ref, responses, progress, () => this.loadViaFront(ref, progress));
        if (found === undefined) {
            await this.verifyAbsent(ref, responses, progress);
        }
        return found;
    }

    /** Looks up a turn for an instance that cannot reach the journal servers. Undefined does not prove its absence. */
    async loadForPeer(ref: TurnRef, progress: Progress): Promise<TurnRecord | undefined> {
        return await this.findTurn(ref, new Map(), progress, async () => undefined);
    }

    private async findTurn(
        ref: TurnRef,
        responses: Map<PeerClient, FindTurnResponse>,
        progress: Progress,
        loadViaFront: Lookup,
    ): Promise<TurnRecord | undefined> {
        const servers = this.rankServers(ref.program);
        const reachable = servers.filter(isReachable);
        const unconnected = servers.filter(server => !reachable.includes(server) && server.isUsable);
        const createLookup = (server: PeerClient) => async (): Promise<TurnRecord | undefined> => {
            const response = await this.requestTurn(server, ref, progress);
            if (response !== undefined) {
                responses.set(server, response);
            }
            return response?.record && unpackTurn(response.record);
        };
        const loadStored = (): Promise<TurnRecord | undefined> => this.store.load(ref, progress);
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
    private async verifyAbsent(
        { id }: TurnRef,
        responses: ReadonlyMap<PeerClient, FindTurnResponse>,
        progress: Progress,
    ): Promise<void> {
        await this.reloadServers(id, progress);
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

    /** Ranks servers: own region first. All instances of a region get the same order for a program. */
    private rankServers(program: string): PeerClient[] {
        const { zone, regionOf } = this.placement;
        const byName = new Map(this.peers.journals.map(server => [server.name, server]));
        const rankedServers = rendezvous(program, [...byName.keys()]).map(name => byName.get(name)!);
        const isNear = (server: PeerClient): boolean => regionOf(server.address.zone) === regionOf(zone);
        return [...rankedServers.filter(isNear), ...rankedServers.filter(server => !isNear(server))];
    }
}

/** Whether the connection is open. Connections are opened in the background, so that no turn waits for one. */
const isReachable = ({ isUsable, isConnected }: PeerClient): boolean => isUsable && isConnected;

/** Replication of one turn to journal servers. */
class TurnReplication {
    private acknowledgedCopies = 0;
    private sentCopies = 0;
    private done = false;
    private readonly holders: readonly string[];
    private readonly record: Buffer;
    private resolve: () => void = () => {};
    private reject: (err: unknown) => void = () => {};

    constructor(
        private readonly turnToSave: TurnToSave,
        private readonly servers: readonly PeerClient[],
        private readonly copyCount: number,
        private readonly store: TurnArchive,
        private readonly progress: Progress,
        private readonly log: Logger,
    ) {
        this.holders = servers.slice(0, copyCount).map(({ name }) => name);
        this.record = packTurn(turnToSave.turn);
    }

    /** Resolves once enough servers or the store have the turn. */
    async run(): Promise<void> {
        const result = new Promise<void>((resolve, reject) => Object.assign(this, { resolve, reject }));
        const timers = [
            setTimeout(() => this.sendNext(), copyHedgeMs),
            setTimeout(() => this.saveInStore(), storeFallbackMs),
        ];
        for (let copy = 0; copy < this.copyCount; copy++) {
            this.sendNext();
        }
        try {
            await this.progress.race(result);
        }
        finally {
            this.done = true;
            timers.forEach(timer => clearTimeout(timer));
        }
    }

    private sendNext(): void {
        const server = this.servers[this.sentCopies];
        if (server === undefined || this.done) {
            return;
        }
        const copy = this.sentCopies++;
        void this.send(server, copy);
    }

    private async send(server: PeerClient, copy: number): Promise<void> {
        const { turn: { id }, keepMs } = this.turnToSave;
        const askProgress = this.progress.child(requestTimeoutMs);
        try {
            const turn = { id, record: this.record, keepMs, copy, holders: this.holders };
            const isStored = await server.ask({ kind: "keepTurn", turn }, askProgress);
            if (isStored) {
                this.onAcknowledged();
            }
            else {
                this.sendNext();
            }
        }
        catch (err) {
            this.log.info("failed to save copy of turn", {
                turn: id,
                machine: server.name,
                error: asError(err).message,
            });
            this.sendNext();
        }
        finally {
            askProgress.dispose();
        }
    }

    private onAcknowledged(): void {
        this.acknowledgedCopies += 1;
        if (this.acknowledgedCopies >= this.copyCount) {
            this.resolve();
        }
    }

    private saveInStore(): void {
        const { turn: { id } } = this.turnToSave;
        this.log.info("replication too slow; saving turn in the store", {
            turn: id,
            copies: this.acknowledgedCopies,
            sent: this.sentCopies,
        });
        this.store.save(this.turnToSave, this.progress).then(() => this.resolve(), err => this.reject(err));
    }
}

type Lookup = () => Promise<TurnRecord | undefined>;

/**
 * Runs lookups in stages and resolves to the first record found, or to undefined if there is none. Rejects if a lookup
 * failed and no other found the record. A stage starts when all earlier lookups have ended without a record, or after
 * `lookupStageMs`: querying all servers at once for every turn of a busy fleet would overload them.
 */
const findInStages = async (stages: readonly (readonly Lookup[])[]): Promise<TurnRecord | undefined> => {
    const started: Promise<TurnRecord | undefined>[] = [];
    for (const stage of stages) {
        started.push(...stage.map(lookup => lookup()));
        const all = firstFound(started);
        const found = await (stage === stages.at(-1) ? all : Promise.race([
            all.catch(() => undefined),
            delay(lookupStageMs),
        ]));
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
};

/** Resolves to the first record found, or to undefined if there is none. Rejects if one failed and none was found. */
const firstFound = async (lookups: readonly Promise<TurnRecord | undefined>[]): Promise<TurnRecord | undefined> => {
    const found = await Promise.any(lookups.map(async lookup => {
        const value = await lookup;
        if (value === undefined) {
            throw new Error("not found");
        }
        return value;
    })).catch(() => undefined);
    // No record was found: rejects if a lookup failed, since the record may exist there.
    return found ?? (await Promise.all(lookups)).find(value => value !== undefined);
};

const inconclusiveError = (): ProblemError =>
    new ProblemError(
        "not_durable",
        "notRun",
        "Too few machines said whether the turn exists.",
        { retryAfterSeconds },
    );
