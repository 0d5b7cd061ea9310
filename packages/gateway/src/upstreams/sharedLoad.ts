/** Shares with the other instances of the region what each has under way on the upstreams. */
import { asError, Progress, rendezvous } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { LoadBoard } from "@marigolddrift/policy";
import type { WorkerLoad } from "@marigolddrift/policy";

import type { PeerClient } from "../peers/peerClient.js";
import type { LocalInstance } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";

/** Period of the reports, in milliseconds: about the time in which a busy region places one call on each upstream. */
const reportMs = 200;

/** Time for which an instance without calls goes on reporting, in milliseconds. */
const idleAfterMs = 2_000;

/** Time that the instance with the board may take, in milliseconds. */
const askTimeoutMs = 400;

/** Key by which the instances of a region agree on the one with the board. */
const boardKey = "load board";

/** What other instances have on an upstream. */
export interface OthersLoad {
    readonly calls: number;
    readonly ageMs: number;
}

/** Reports the own load, and knows that of the others as of the last report. Nothing is promised by it: it may be missing. */
export class SharedLoad {
    private readonly board = new LoadBoard();
    private others: WorkerLoad = {};
    private readAt = -Infinity;
    private lastBusyAt = -Infinity;
    private asking = false;
    private boardAt: string | undefined;
    private readonly timer: NodeJS.Timeout;

    constructor(
        private readonly self: LocalInstance,
        private readonly peers: Pick<Peers, "usableInRegion">,
        private readonly ownLoad: () => WorkerLoad,
        private readonly log: Logger,
    ) {
        this.timer = setInterval(() => void this.share(), reportMs);
    }

    /** Calls of the other instances on an upstream. */
    on(upstream: string): OthersLoad {
        return { calls: this.others[upstream] ?? 0, ageMs: performance.now() - this.readAt };
    }

    /** Takes the report of a peer, and answers with the load of all others. */
    onReport(instance: string, load: WorkerLoad): WorkerLoad {
        const now = performance.now();
        this.board.report(instance, load, now);
        return this.board.loadOfOthers(instance, now);
    }

    close(): void {
        clearInterval(this.timer);
    }

    private async share(): Promise<void> {
        const load = this.ownLoad();
        const now = performance.now();
        if (Object.keys(load).length > 0) {
            this.lastBusyAt = now;
        }
        if (this.asking || now - this.lastBusyAt > idleAfterMs) {
            return;
        }
        const holder = this.findBoard();
        if (holder === undefined) {
            this.accept(this.onReport(this.self.instance, load));
            return;
        }
        await this.ask(holder, load);
    }

    private async ask(holder: PeerClient, load: WorkerLoad): Promise<void> {
        this.asking = true;
        const progress = new Progress(askTimeoutMs);
        try {
            this.accept(await holder.ask({ kind: "shareLoad", instance: this.self.instance, load }, progress));
        }
        catch (err) {
            this.log.info("load not shared", { peer: holder.address.instance, error: asError(err).message });
        }
        finally {
            progress.dispose();
            this.asking = false;
        }
    }

    private accept(others: WorkerLoad): void {
        this.others = others;
        this.readAt = performance.now();
    }

    /** The peer with the board; undefined if it is this instance. */
    private findBoard(): PeerClient | undefined {
        const fronts = this.peers.usableInRegion(this.self.region).filter(({ isConnected }) => isConnected);
        const peers = new Map(fronts.map(peer => [peer.name, peer]));
        const [name] = rendezvous(boardKey, [this.self.address(), ...peers.keys()]);
        if (name !== this.boardAt) {
            this.boardAt = name;
            this.log.info("load board", { at: name, peers: peers.size });
        }
        return peers.get(name!);
    }
}
