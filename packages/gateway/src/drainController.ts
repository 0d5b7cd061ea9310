/** Stops an instance without cutting the calls that it has taken. */
import { delay, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { Budgets } from "./budgets/budgets.js";
import type { RegionBudgets } from "./budgets/regionBudgets.js";
import { DrainSchedule } from "./entry/drainSchedule.js";
import type { EntryServer } from "./entry/entryServer.js";
import type { Succession } from "./fleet/succession.js";
import type { Standing } from "./peers/peerMessages.js";

/** Interval at which a draining instance checks whether calls are still active. */
const drainPollMs = 25;

/** Interval at which a draining instance checks whether enough others take calls. */
const successionPollMs = 200;

/** Part of the grace period, at its end, by which all connections are closed. */
const closeReserveMs = 200;

/** Time for returning unused budgets before the instance stops. */
const budgetReturnMs = 350;

/** What a {@link DrainController} stops. */
export interface DrainTargets {
    readonly entry: EntryServer;
    readonly budgets: Pick<Budgets, "returnAllUnspent">;
    readonly regionBudgets: Pick<RegionBudgets, "stop">;
    readonly succession: Pick<Succession, "mayLeave">;
}

/** Drains an instance once. */
export class DrainController {
    /** Set from the stop signal on. */
    schedule: DrainSchedule | undefined;
    private hasLeft = false;

    constructor(
        private readonly targets: () => DrainTargets,
        private readonly graceMs: number,
        private readonly log: Logger,
    ) {}

    /** @param isReady Whether the instance takes calls unless it is stopping. */
    standing(isReady: boolean): Standing {
        const { schedule } = this;
        return schedule === undefined ?
            { takesCalls: isReady, stoppingForMs: undefined } :
            { takesCalls: !this.hasLeft, stoppingForMs: performance.now() - schedule.startedAt };
    }

    /**
     * Continues to serve calls that end within the grace period until none are active, and refuses others; then returns the
     * unused budgets.
     */
    async drain(): Promise<void> {
        const startedAt = performance.now();
        const schedule = this.schedule = new DrainSchedule(startedAt, this.graceMs);
        const { entry, regionBudgets } = this.targets();
        regionBudgets.stop();
        this.log.info("stopping", { active: entry.active, connections: entry.connections });
        await delay(schedule.redirectedAt - startedAt);
        await this.waitForOthers(schedule);
        this.hasLeft = true;
        this.log.info("leaving", { ms: Math.round(performance.now() - startedAt), active: entry.active });
        entry.stopAccepting();
        await this.waitUntilIdle(schedule.endsAt);
        schedule.close();
        const givenUp = entry.active;
        entry.abortCalls();
        await this.returnBudgets();
        // Calls on connections that are still open are refused until their answers have been sent.
        await this.waitUntilIdle(startedAt + this.graceMs - closeReserveMs);
        const ms = Math.round(performance.now() - startedAt);
        this.log.info("stopped", { ms, givenUp, active: entry.active });
    }

    /** Goes on to accept connections while too few other instances do. */
    private async waitForOthers({ startedAt, leavesBy }: DrainSchedule): Promise<void> {
        const { succession } = this.targets();
        while (performance.now() < leavesBy && !await succession.mayLeave(performance.now() - startedAt)) {
            await delay(Math.min(successionPollMs, Math.max(0, leavesBy - performance.now())));
        }
    }

    /** @param endsAt Monotonic time until which to wait at most. */
    private async waitUntilIdle(endsAt: number): Promise<void> {
        const { entry } = this.targets();
        while (entry.active > 0 && performance.now() < endsAt) {
            await delay(drainPollMs);
            entry.closeIdle();
        }
    }

    private async returnBudgets(): Promise<void> {
        const progress = new Progress(budgetReturnMs);
        await progress.race(this.targets().budgets.returnAllUnspent(progress)).catch((err: unknown) => {
            this.log.warn("budget return failed", { error: String(err), outcome: "reserved tokens count as spent" });
        });
        progress.dispose();
    }
}
