/** A machine with a disk: keeps turns for the instances that serve callers, and relays their calls to the store. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import type { JournalQuestion, PeerAddress, PeerQuestion } from "../peers/peerMessages.js";
import { Peers } from "../peers/peers.js";
import { PeerServer } from "../peers/peerServer.js";
import { answerStoreQuestion, RelayStore } from "../peers/relayStore.js";
import { RecordRemover } from "../turns/recordRemover.js";
import { DiskLog } from "./diskLog.js";
import { TurnJournal } from "./turnJournal.js";

/** Time for which a disk that was empty counts as incomplete, in milliseconds: above that for which turns are kept. */
const incompleteMs = 120_000;

/** Period at which the machine looks whether it is registered, in milliseconds. */
const registrationPollMs = 50;

/** Time that another machine may take to hear which turns are in the store, in milliseconds. */
const tellTimeoutMs = 500;

const unregisterTimeoutMs = 1_000;

/** Settings of a {@link JournalServer}. */
export interface JournalServerOptions {
    readonly self: Omit<PeerAddress, "port" | "keepsTurns">;
    readonly machine: string;
    readonly peerPort: number;
    /** Folder of the journal. */
    readonly dir: string;
    /** Whether the whole system starts for the first time, so that an empty disk lacks nothing. */
    readonly firstStart: boolean;
    readonly store: VersionedStore;
    readonly log: Logger;
}

/** Serves the journal of one machine. */
export class JournalServer {
    readonly journal: TurnJournal;
    private readonly peers: Peers;
    private readonly server: PeerServer;
    private readonly remover: RecordRemover;
    private peerPort = 0;
    private closed = false;

    constructor(private readonly options: JournalServerOptions) {
        const { log, self } = options;
        const store = new RelayStore(options.store, except => this.peers.pick(except), log);
        const address = (): PeerAddress => ({ ...self, port: this.peerPort, keepsTurns: true });
        this.peers = new Peers(options.machine, address, store, log);
        this.server = new PeerServer(
            () => this.peers.key,
            (question, progress) => this.answer(question, progress),
            log,
        );
        this.remover = new RecordRemover(store, log);
        const tell = (holder: string, ids: readonly string[]): void => this.tellFlushed(holder, ids);
        this.journal = new TurnJournal(new DiskLog(options.dir, log), store, this.remover, tell, log);
    }

    /** Resolves once the machine takes turns, which it only does when others can find it. */
    async start(): Promise<void> {
        this.peerPort = await this.server.listen(this.options.self.host, this.options.peerPort);
        this.peers.start();
        while (!this.peers.isRegistered && !this.closed) {
            await new Promise(resolve => setTimeout(resolve, registrationPollMs));
        }
        await this.journal.start(isNewDisk => isNewDisk && !this.options.firstStart ? incompleteMs : 0);
    }

    /** Brings all turns into the store, and leaves the list of machines. */
    async empty(): Promise<void> {
        await this.journal.empty();
        const progress = new Progress(unregisterTimeoutMs);
        try {
            await this.peers.unregister(progress);
        }
        catch (err) {
            this.options.log.warn("machine not unregistered", { error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }

    async close(): Promise<void> {
        this.closed = true;
        this.peers.stop();
        this.server.close();
        this.remover.close();
        await this.journal.close();
    }

    private async answer(question: PeerQuestion | JournalQuestion, progress: Progress): Promise<unknown> {
        switch (question.kind) {
            case "keepTurn":
                return await this.journal.keep(question.turn);
            case "findTurn":
                return this.journal.find(question.id);
            case "turnsFlushed":
                this.journal.onPeerFlushed(question.ids);
                return true;
            case "get":
            case "range":
            case "changes":
            case "txn":
                return await answerStoreQuestion(this.options.store, question, progress);
            case "loadTurn":
            case "followed":
            case "shareLoad":
            case "returnBudget":
            case "reserveTokens":
            case "settleTokens":
                throw new Error("this machine serves no callers");
        }
    }

    /** A holder that does not hear it writes the turns once more. */
    private tellFlushed(holder: string, ids: readonly string[]): void {
        const peer = this.peers.named(holder);
        peer?.tell({ kind: "turnsFlushed", ids }, tellTimeoutMs).catch((err: unknown) =>
            this.options.log.info("holder not told", { holder, turns: ids.length, error: asError(err).message })
        );
    }
}
