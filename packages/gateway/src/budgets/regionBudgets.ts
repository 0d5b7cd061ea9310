/**
 * Lets one instance of each region keep a program's budget. Load pattern: the turns of one program come in through
 * several instances and availability zones of a region, each of which would take a portion of its own from the store's record.
 */
import { asError, ProblemError, rendezvous } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { PeerAnswers, PeerQuestion, PeerSelf } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import { notDurableError } from "../state/groupWriter.js";
import type { Budgets, Reservation } from "./budgets.js";

/** Time that the keeper may take, in milliseconds: that of a write to a store that is about to be taken for away. */
const askTimeoutMs = 700;

/** Time that the keeper may take to learn how a reservation ended, in milliseconds. */
const settleTimeoutMs = 500;

/** Time after which a reservation that nobody has settled is forgotten, and so stays spent, in milliseconds. */
const forgetMs = 600_000;

interface Lent {
    readonly since: number;
    readonly pending: Promise<Reservation>;
}

/** Reserves tokens for turns. */
export interface TokenReserver {
    /** @throws ProblemError `budget_exhausted` if the budget does not hold them. */
    reserve(program: string, total: number, needed: number, progress: Progress): Promise<Reservation>;
}

/**
 * Asks the keeper of a program for its tokens. Nothing depends on all instances naming the same keeper: each keeper spends
 * only what the store's record grants it.
 */
export class RegionBudgets implements TokenReserver {
    private nextReservation = 0;
    /** Reservations of other instances, by their names. */
    private readonly lent = new Map<string, Lent>();
    private stopping = false;

    constructor(
        private readonly self: PeerSelf,
        private readonly own: Budgets,
        private readonly peers: Pick<Peers, "usableInRegion">,
        private readonly log: Logger,
    ) {}

    async reserve(program: string, total: number, needed: number, progress: Progress): Promise<Reservation> {
        const keeper = this.keeperOf(program);
        return keeper === undefined ?
            await this.own.reserve(program, total, needed, progress) :
            await this.reserveAt(keeper, program, total, needed, progress);
    }

    /** Lets other instances keep what they need themselves from now on. */
    stop(): void {
        this.stopping = true;
    }

    /** Reserves for another instance. */
    async lend(
        question: Extract<PeerQuestion, { kind: "reserveTokens"; }>,
        progress: Progress,
    ): Promise<PeerAnswers["reserveTokens"]> {
        const { reservation, program, total, needed } = question;
        if (this.stopping) {
            return "elsewhere";
        }
        const pending = this.own.reserve(program, total, needed, progress);
        this.forgetOld();
        this.lent.set(reservation, { since: performance.now(), pending });
        try {
            await pending;
            return "reserved";
        }
        catch (err) {
            this.lent.delete(reservation);
            return refusalOf(err);
        }
    }

    /** Ends a reservation of another instance. */
    async settleLent({ reservation, spent }: Extract<PeerQuestion, { kind: "settleTokens"; }>): Promise<boolean> {
        const lent = this.lent.get(reservation);
        this.lent.delete(reservation);
        const settled = await lent?.pending.catch(() => undefined); // A reservation that failed holds nothing.
        settled?.settle(spent);
        return settled !== undefined;
    }

    /** Instances that crash settle nothing. */
    private forgetOld(): void {
        const before = performance.now() - forgetMs;
        for (const [reservation, { since }] of this.lent) {
            if (since >= before) {
                return;
            }
            this.lent.delete(reservation);
        }
    }

    private keeperOf(program: string): PeerClient | undefined {
        const own = this.self.address();
        const peers = new Map(this.peers.usableInRegion(this.self.region).map(peer => [peer.name, peer]));
        const [first] = rendezvous(program, [own, ...peers.keys()]);
        return peers.get(first!);
    }

    private async reserveAt(
        keeper: PeerClient,
        program: string,
        total: number,
        needed: number,
        progress: Progress,
    ): Promise<Reservation> {
        const reservation = `${this.self.instance}/${this.nextReservation++}`;
        const asked = progress.child(askTimeoutMs);
        let answer: PeerAnswers["reserveTokens"] = "elsewhere";
        try {
            answer = await keeper.ask({ kind: "reserveTokens", reservation, program, total, needed }, asked);
        }
        catch (err) {
            progress.throwIfAborted();
            const { instance } = keeper.address;
            this.log.info("budget keeper silent", { program, keeper: instance, error: asError(err).message });
            this.settleAt(keeper, reservation, 0);
        }
        finally {
            asked.dispose();
        }
        switch (answer) {
            case "reserved":
                return { settle: once(spent => this.settleAt(keeper, reservation, spent)) };
            case "spent":
                throw new ProblemError("budget_exhausted", "notRun", "The program's token budget is spent.");
            case "storeAway":
                throw notDurableError();
            case "elsewhere":
                return await this.own.reserve(program, total, needed, progress);
        }
    }

    /** Without this, the keeper counts the whole reservation as spent. */
    private settleAt(keeper: PeerClient, reservation: string, spent: number): void {
        void keeper.tell({ kind: "settleTokens", reservation, spent }, settleTimeoutMs).catch((err: unknown) => {
            const error = asError(err).message;
            this.log.info("reservation not settled", { reservation, spent, error, outcome: "it counts as spent" });
        });
    }
}

const once = (action: (value: number) => void): (value: number) => void => {
    let done = false;
    return value => {
        if (!done) {
            done = true;
            action(value);
        }
    };
};

const refusalOf = (err: unknown): PeerAnswers["reserveTokens"] => {
    if (!(err instanceof ProblemError)) {
        return "elsewhere";
    }
    return err.code === "budget_exhausted" ? "spent" : err.code === "not_durable" ? "storeAway" : "elsewhere";
};
