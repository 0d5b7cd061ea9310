/** Replicates one turn to journal servers, and writes it to the store if too few of them respond. */
import { asError, isDeadlineExceeded } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import type { RetryBudget } from "@marigolddrift/policy";

import type { PeerClient } from "../peers/peerClient.js";
import { packTurn } from "../turns/turnRecord.js";
import type { TurnArchive, TurnToSave } from "../turns/turnStore.js";
import type { LateServers } from "./lateServers.js";
import type { UncountedServers } from "./uncountedServers.js";

/** Minimum delay before a further server gets a copy: above a round trip between regions including a disk sync. */
const minCopyHedgeMs = 90;

/** Maximum delay before a further server gets a copy, although responses are usually later. */
const maxCopyHedgeMs = 300;

/** Delay from the copy to a further server until the turn is also written to the store. */
const storeFallbackMs = 160;

/** Delay before a hedge is considered again for which the budget had no room. */
const hedgeRetryMs = 60;

/** Timeout of a request to one server. */
const requestTimeoutMs = 400;

/** What a {@link TurnReplication} needs. */
export interface TurnReplicationOptions {
    readonly turnToSave: TurnToSave;
    /** In the order in which they are to hold the turn. */
    readonly servers: readonly PeerClient[];
    readonly copyCount: number;
    readonly store: TurnArchive;
    readonly hedgeBudget: RetryBudget;
    readonly lateServers: LateServers;
    readonly uncountedServers: UncountedServers;
    readonly progress: Progress;
    readonly log: Logger;
}

/** Replication of one turn to journal servers. */
export class TurnReplication {
    private acknowledgedCopies = 0;
    private sentCopies = 0;
    private openRequests = 0;
    private isSavingInStore = false;
    private done = false;
    private hedgeTimer: NodeJS.Timeout | undefined;
    private readonly holders: readonly string[];
    private readonly record: Buffer;
    private resolve: () => void = () => {};
    private reject: (err: unknown) => void = () => {};

    constructor(private readonly options: TurnReplicationOptions) {
        const { servers, copyCount, turnToSave } = options;
        this.holders = servers.slice(0, copyCount).map(({ name }) => name);
        this.record = packTurn(turnToSave.turn);
    }

    /** Resolves once enough servers or the store have the turn. */
    async run(): Promise<void> {
        const result = new Promise<void>((resolve, reject) => Object.assign(this, { resolve, reject }));
        for (let copy = 0; copy < this.options.copyCount; copy++) {
            this.sendNext();
        }
        this.scheduleHedge(this.copyHedgeMs, () => {
            this.sendNext();
            this.scheduleHedge(storeFallbackMs, () => this.saveInStore());
        });
        try {
            await this.options.progress.race(result);
        }
        finally {
            this.done = true;
            clearTimeout(this.hedgeTimer);
        }
    }

    /** Time by which the servers usually have answered. */
    private get copyHedgeMs(): number {
        const delays = this.options.servers.slice(0, this.options.copyCount).map(server =>
            server.hedgeDelayMs("keepTurn", minCopyHedgeMs)
        );
        return Math.min(maxCopyHedgeMs, Math.max(...delays));
    }

    /** Runs a hedge after a delay, or later if too many turns have been hedged. */
    private scheduleHedge(delayMs: number, hedge: () => void): void {
        this.hedgeTimer = setTimeout(() => {
            if (this.options.hedgeBudget.tryAcquire()) {
                hedge();
            }
            else {
                this.scheduleHedge(hedgeRetryMs, hedge);
            }
        }, delayMs);
    }

    private sendNext(): void {
        const server = this.options.servers[this.sentCopies];
        if (server === undefined || this.done) {
            return;
        }
        const copy = this.sentCopies++;
        void this.send(server, copy);
    }

    private async send(server: PeerClient, copy: number): Promise<void> {
        const { lateServers, uncountedServers, progress, turnToSave: { turn: { id }, keepMs } } = this.options;
        this.openRequests += 1;
        const mayTakeLong = progress.leftMs >= requestTimeoutMs;
        const askProgress = progress.child(requestTimeoutMs);
        try {
            const turn = { id, record: this.record, keepMs, copy, holders: this.holders };
            const answer = await server.ask({ kind: "keepTurn", turn }, askProgress);
            if (answer !== false) {
                lateServers.onAcknowledged(server.name);
                uncountedServers.onAnswer(server.name, answer !== "uncounted");
            }
            if (answer === true) {
                this.onAcknowledged();
            }
            else {
                this.sendNext();
            }
        }
        catch (err) {
            if (mayTakeLong && isDeadlineExceeded(askProgress.abortReason)) {
                lateServers.onTimeout(server.name);
            }
            this.options.log.info("failed to save copy of turn", {
                turn: id,
                machine: server.name,
                error: asError(err).message,
            });
            this.sendNext();
        }
        finally {
            askProgress.dispose();
            this.openRequests -= 1;
            this.onRequestEnded();
        }
    }

    /** Writes the turn to the store once no server is left that may still take a copy. */
    private onRequestEnded(): void {
        if (this.openRequests === 0 && !this.done && this.acknowledgedCopies < this.options.copyCount) {
            this.saveInStore();
        }
    }

    private onAcknowledged(): void {
        this.acknowledgedCopies += 1;
        if (this.acknowledgedCopies >= this.options.copyCount) {
            this.resolve();
        }
    }

    private saveInStore(): void {
        if (this.isSavingInStore) {
            return;
        }
        this.isSavingInStore = true;
        const { turn: { id } } = this.options.turnToSave;
        this.options.log.info("replication too slow; saving turn in the store", {
            turn: id,
            copies: this.acknowledgedCopies,
            sent: this.sentCopies,
        });
        this.options.store.save(this.options.turnToSave, this.options.progress).then(
            () => this.resolve(),
            err => this.reject(err),
        );
    }
}
