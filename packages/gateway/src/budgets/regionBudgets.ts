/**
 * Reserves tokens through one coordinator instance per region and program. Load pattern: the turns of a program arrive
 * at several instances and availability zones of a region, and without a coordinator each instance would make its own
 * allocation from the stored record.
 */
import { asError, delay, ProblemError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import type { Duties } from "../fleet/duties.js";
import type { PeerClient } from "../peers/peerClient.js";
import type { LocalInstance, PeerRequest, PeerResponses } from "../peers/peerMessages.js";
import { notDurableError } from "../state/batchWriter.js";
import type { Budgets, Reservation } from "./budgets.js";

/** Timeout of a reservation at the coordinator: that of a write to a store about to be considered unavailable. */
const reserveTimeoutMs = 700;

/** Timeout of the notification that settles a reservation. */
const settleTimeoutMs = 500;

/** Delays before a settlement is sent again to a coordinator that did not respond. */
const settleRetryDelaysMs = [100, 500, 2_000];

/** Time after which an unsettled reservation is dropped; its tokens remain spent. */
const reservationTtlMs = 600_000;

interface PeerReservation {
    readonly createdAt: number;
    readonly pending: Promise<Reservation>;
}

/** Reserves tokens for turns. */
export interface TokenReserver {
    /** @throws ProblemError `budget_exhausted` if the budget is insufficient. */
    reserve(program: string, total: number, needed: number, progress: Progress): Promise<Reservation>;
}

/**
 * Reserves tokens at the program's coordinator. Instances may disagree on the coordinator without overspending, because
 * each coordinator spends only what it has allocated in the stored record.
 */
export class RegionBudgets implements TokenReserver {
    private nextReservation = 0;
    /** Open reservations of other instances, by reservation id. */
    private readonly peerReservations = new Map<string, PeerReservation>();
    private stopping = false;

    constructor(
        private readonly localInstance: LocalInstance,
        private readonly localBudgets: Budgets,
        private readonly duties: Pick<Duties, "coordinatorOf">,
        private readonly log: Logger,
    ) {}

    async reserve(program: string, total: number, needed: number, progress: Progress): Promise<Reservation> {
        const coordinator = this.duties.coordinatorOf(program);
        return coordinator === undefined ?
            await this.localBudgets.reserve(program, total, needed, progress) :
            await this.reserveRemotely(coordinator, program, total, needed, progress);
    }

    /** Declines further reservations for other instances, which then allocate tokens themselves. */
    stop(): void {
        this.stopping = true;
    }

    /** Reserves tokens on request of another instance. */
    async reserveForPeer(
        request: Extract<PeerRequest, { kind: "reserveTokens"; }>,
        progress: Progress,
    ): Promise<PeerResponses["reserveTokens"]> {
        const { reservation, program, total, needed } = request;
        if (this.stopping) {
            return "elsewhere";
        }
        const pending = this.localBudgets.reserve(program, total, needed, progress);
        this.dropExpiredReservations();
        this.peerReservations.set(reservation, { createdAt: performance.now(), pending });
        try {
            await pending;
            return "reserved";
        }
        catch (err) {
            this.peerReservations.delete(reservation);
            return reserveOutcomeOf(err);
        }
    }

    /** Settles a reservation of another instance. Resolves to false if there is no such reservation. */
    async settleForPeer({ reservation, spent }: Extract<PeerRequest, { kind: "settleTokens"; }>): Promise<boolean> {
        const peerReservation = this.peerReservations.get(reservation);
        this.peerReservations.delete(reservation);
        const settled = await peerReservation?.pending.catch(() => undefined); // Failed reservations hold no tokens.
        settled?.settle(spent);
        return settled !== undefined;
    }

    /** Drops the reservations of instances that crashed before settling them. */
    private dropExpiredReservations(): void {
        const oldestCreatedAt = performance.now() - reservationTtlMs;
        for (const [reservation, { createdAt }] of this.peerReservations) {
            if (createdAt >= oldestCreatedAt) {
                return;
            }
            this.peerReservations.delete(reservation);
        }
    }

    private async reserveRemotely(
        coordinator: PeerClient,
        program: string,
        total: number,
        needed: number,
        progress: Progress,
    ): Promise<Reservation> {
        const reservation = `${this.localInstance.instance}/${this.nextReservation++}`;
        const askProgress = progress.child(reserveTimeoutMs);
        let outcome: PeerResponses["reserveTokens"] = "elsewhere";
        try {
            outcome = await coordinator.ask(
                { kind: "reserveTokens", reservation, program, total, needed },
                askProgress,
            );
        }
        catch (err) {
            // The coordinator may reserve the tokens all the same, also for a caller that has left in the meantime.
            void this.settleRemotely(coordinator, reservation, 0);
            progress.throwIfAborted();
            const { instance } = coordinator.address;
            this.log.info("budget coordinator did not respond", {
                program,
                keeper: instance,
                error: asError(err).message,
            });
        }
        finally {
            askProgress.dispose();
        }
        switch (outcome) {
            case "reserved":
                return { settle: once(spent => void this.settleRemotely(coordinator, reservation, spent)) };
            case "spent":
                throw new ProblemError("budget_exhausted", "notRun", "The program's token budget is spent.");
            case "storeAway":
                throw notDurableError();
            case "elsewhere":
                return await this.localBudgets.reserve(program, total, needed, progress);
        }
    }

    /**
     * Notifies the coordinator; until it is notified, it counts the whole reservation as spent. It settles a reservation
     * once, so that the notification may be repeated.
     */
    private async settleRemotely(coordinator: PeerClient, reservation: string, spent: number): Promise<void> {
        for (const delayMs of [...settleRetryDelaysMs, undefined]) {
            try {
                await coordinator.notify({ kind: "settleTokens", reservation, spent }, settleTimeoutMs);
                return;
            }
            catch (err) {
                if (delayMs === undefined) {
                    this.log.info("failed to settle reservation", {
                        reservation,
                        spent,
                        error: asError(err).message,
                        outcome: "the whole reservation counts as spent",
                    });
                    return;
                }
                await delay(delayMs);
            }
        }
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

const reserveOutcomeOf = (err: unknown): PeerResponses["reserveTokens"] => {
    if (!(err instanceof ProblemError)) {
        return "elsewhere";
    }
    return err.code === "budget_exhausted" ? "spent" : err.code === "not_durable" ? "storeAway" : "elsewhere";
};
