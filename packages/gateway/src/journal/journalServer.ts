/** A server with a disk that journals turns for the front instances and relays their calls to the store. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import { BeginningRecords } from "../beginnings/beginningRecords.js";
import { BuildRecords } from "../builds/buildRecords.js";
import { BufferCollector } from "../memory/bufferCollector.js";
import { memoryShares } from "../memory/memoryShares.js";
import type { MemoryShares } from "../memory/memoryShares.js";
import type { JournalRequest, PeerAddress, PeerRequest } from "../peers/peerMessages.js";
import { peerName } from "../peers/peerMessages.js";
import { Peers } from "../peers/peers.js";
import { PeerServer } from "../peers/peerServer.js";
import { RelayStore } from "../peers/relayStore.js";
import { handleStoreRequest } from "../peers/storeRequests.js";
import type { TrafficRecorder } from "../trafficMeter.js";
import { RecordRemover } from "../turns/recordRemover.js";
import { DiskLog } from "./diskLog.js";
import { DiskStanding } from "./diskStanding.js";
import { FlushOrder } from "./flushOrder.js";
import { TurnJournal } from "./turnJournal.js";

/** Time for which a new disk counts as incomplete: longer than the retention of turns. */
const newDiskIncompleteMs = 120_000;

/** Interval at which `start` checks whether the server is registered. */
const registrationPollMs = 50;

/** Timeout of the notification to another server that turns have been written to the store. */
const notifyTimeoutMs = 500;

const unregisterTimeoutMs = 1_000;

/** Time for which the server remembers which build began a stream; fronts ask for shorter ones. */
const streamRecordLifetimeMs = 120_000;

/** Number of streams that the server remembers at most, in some 16 MB. */
const maxStreamRecords = 100_000;

/** Memory of a machine whose settings name no bounds. */
const defaultMemoryMb = 220;

/** Settings of a {@link JournalServer}. */
export interface JournalServerOptions {
    readonly peerAddress: Omit<PeerAddress, "port" | "keepsTurns">;
    readonly machine: string;
    /** Port for peers. The process that has it owns the directory, which no other may write. */
    readonly peerPort: number;
    /** Aborted when the process is told to stop, which ends the wait for the port. */
    readonly stopSignal?: AbortSignal | undefined;
    /** Directory of the journal. */
    readonly dir: string;
    /** Whether the whole system starts for the first time, in which case an empty disk is complete. */
    readonly firstStart: boolean;
    /** Whether the machine's loss is one of those that the deployment tolerates now. */
    readonly isCounted: () => boolean;
    /** Time for which a new disk may be lost in addition to the tolerated ones. */
    readonly catchUpMs: number;
    /** Resolves once it is known whether the machine is to be emptied; until then it takes no turns. */
    readonly mayTakeTurns: Promise<void>;
    readonly store: VersionedStore;
    /** Bounds of memory; those of a machine with 220 MB if missing. */
    readonly memory?: MemoryShares;
    /** Receives the bytes exchanged with peers. */
    readonly recordTraffic?: TrafficRecorder;
    readonly log: Logger;
}

/** Serves the journal of one machine to its peers. */
export class JournalServer {
    readonly journal: TurnJournal;
    private readonly peers: Peers;
    private readonly server: PeerServer;
    private readonly remover: RecordRemover;
    private readonly standing: DiskStanding;
    /** Which builds began the streams of fronts, kept in memory only: a stream without a record is refused. */
    private readonly streams = new BuildRecords(() => streamRecordLifetimeMs, maxStreamRecords);
    /** What fronts have passed on of streams, kept in memory only: a stream whose beginning is not known is not taken up. */
    private readonly beginnings: BeginningRecords;
    private peerPort = 0;
    private closed = false;

    constructor(private readonly options: JournalServerOptions) {
        const { log, peerAddress, memory = memoryShares(defaultMemoryMb) } = options;
        this.beginnings = new BeginningRecords(memory.beginningBytes);
        const store = new RelayStore(options.store, excluded => this.peers.pickRelay(excluded), log);
        const localAddress = (): PeerAddress => ({ ...peerAddress, port: this.peerPort, keepsTurns: true });
        const { recordTraffic } = options;
        this.peers = new Peers(options.machine, localAddress, store, log, { recordTraffic });
        this.server = new PeerServer(
            () => this.peers.key,
            (request, progress) => this.handleRequest(request, progress),
            log,
            { shares: memory, collector: new BufferCollector(memory.bufferBytes) },
        );
        this.remover = new RecordRemover(store, log);
        const localName = (): string => peerName(localAddress());
        const notifyFlushed = (holder: string, ids: readonly string[]): void => {
            if (holder !== localName()) {
                void this.notifyFlushed(holder, ids);
            }
        };
        const regionOf = (holder: string): string | undefined =>
            holder === localName() ? peerAddress.region : this.peers.getByName(holder)?.address.region;
        const flushOrder = new FlushOrder(peerAddress.region, regionOf, () => store.fastestMs);
        const disk = new DiskLog(options.dir, log);
        this.journal = new TurnJournal(disk, store, this.remover, notifyFlushed, flushOrder, log, memory);
        const { isCounted, catchUpMs } = options;
        this.standing = new DiskStanding({
            isCounted,
            catchUpMs,
            isStoreReachable: () => this.journal.isStoreReachable,
        });
    }

    /** Resolves once the journal accepts turns, which it does only after peers can discover the server. */
    async start(): Promise<void> {
        const { peerAddress, peerPort, stopSignal } = this.options;
        this.peerPort = await this.server.listen(peerAddress.host, [peerPort], stopSignal);
        this.peers.start();
        while (!this.peers.isRegistered && !this.closed) {
            await new Promise(resolve => setTimeout(resolve, registrationPollMs));
        }
        await this.journal.start(
            this.options.firstStart ? 0 : newDiskIncompleteMs,
            this.options.mayTakeTurns,
            incompleteMs => this.standing.onOpened(incompleteMs > 0 ? newDiskIncompleteMs - incompleteMs : Infinity),
        );
    }

    /** Flushes all turns to the store and unregisters the server. */
    async drain(): Promise<void> {
        await this.journal.drain();
        const progress = new Progress(unregisterTimeoutMs);
        try {
            await this.peers.unregister(progress);
        }
        catch (err) {
            this.options.log.warn("failed to unregister machine", { error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }

    async close(): Promise<void> {
        this.closed = true;
        this.peers.stop();
        this.server.disconnect();
        this.remover.close();
        await this.journal.close();
        // Whoever gets the port may write the directory.
        this.server.close();
    }

    private async handleRequest(request: PeerRequest | JournalRequest, progress: Progress): Promise<unknown> {
        switch (request.kind) {
            case "keepTurn":
                return await this.journal.append(request.turn) && (this.standing.counts || "uncounted");
            case "findTurn":
                return await this.journal.find(request.id);
            case "turnsFlushed":
                this.journal.onPeerFlushed(request.ids);
                return true;
            case "recordStreams":
                request.groups.forEach(({ service, build, streams }) =>
                    streams.forEach(id => this.streams.add(id, service, build))
                );
                return true;
            case "findStream":
                return this.streams.get(request.id);
            case "recordBeginning":
                return this.beginnings.add(request.update);
            case "findBeginnings":
                return this.beginnings.partsOf(request.callId);
            case "get":
            case "range":
            case "changes":
            case "txn":
                return await handleStoreRequest(this.options.store, request, progress);
            case "loadTurn":
            case "followed":
            case "shareLoad":
            case "shareFacts":
            case "takePermits":
            case "takeQuota":
            case "prepareBuilds":
            case "standing":
            case "recognize":
            case "returnBudget":
            case "reserveTokens":
            case "settleTokens":
                throw new Error("this machine serves only journal requests and store calls");
        }
    }

    /** Notifies another holder of the turns. If the notification is lost, the holder only writes the turns again. */
    private async notifyFlushed(holder: string, ids: readonly string[]): Promise<void> {
        try {
            const peer = await this.peers.findByName(holder);
            await peer?.notify({ kind: "turnsFlushed", ids }, notifyTimeoutMs);
        }
        catch (err) {
            this.options.log.info("failed to notify holder of flushed turns", {
                holder,
                turns: ids.length,
                error: asError(err).message,
            });
        }
    }
}
