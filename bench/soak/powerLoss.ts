/** A loss of power of all machines at the end of a run, after which turns that were kept before must still be found. */
import { delay } from "@marigolddrift/common";

import type { Machine } from "./machine.js";
import { SoakCaller } from "./soakCallers.js";
import type { SoakFleet } from "./soakFleet.js";
import { outputOf } from "./soakRecord.js";
import type { Attempt, SoakRecord } from "./soakRecord.js";
import { bounds } from "./soakSettings.js";
import { workspaceNames } from "./soakWorkspaces.js";

/** Number of turns that are continued, the latest ones. */
const maxTurns = 40;

/** Time for which the turns must be kept, which is longer than the check takes. */
const keptForMs = 25_000;

const downMs = 500;
const pollMs = 200;
const retryMs = 500;

/** Ends all processes at once and wipes one disk, whose loss is tolerated, and continues turns that were answered before. */
export class PowerLoss {
    private readonly callers: ReadonlyMap<string, SoakCaller>;
    private isOver = false;

    /** @param random Returns numbers in [0, 1). */
    constructor(
        private readonly fleet: SoakFleet,
        private readonly record: SoakRecord,
        random: () => number,
        private readonly wiped: Machine,
    ) {
        this.callers = new Map(
            workspaceNames.map(name => [name, new SoakCaller(`power-${name}`, name, fleet, record, random, 0)]),
        );
    }

    async run(): Promise<void> {
        const turns = this.latestTurns();
        const names = this.fleet.machines.map(({ name }) => name);
        await this.record.disturbances.during(names, () => this.fleet.losePower(this.wiped, downMs));
        const endsAt = performance.now() + bounds.recoverS * 1_000;
        const calls = turns.map(turn => this.continueUntilFound(turn));
        while (performance.now() < endsAt && turns.some(turn => !this.isFound(turn))) {
            await delay(pollMs);
        }
        const lost = turns.filter(turn => !this.isFound(turn));
        lost.forEach(({ id }) =>
            this.record.violations.push(
                `${id} was kept, and not found again ${bounds.recoverS} s after all had lost power`,
            )
        );
        turns.forEach(() => this.record.count("turn kept before power was lost"));
        this.isOver = true;
        await Promise.all(calls);
        this.callers.forEach(caller => caller.stop());
    }

    private latestTurns(): Attempt[] {
        const kept = [...this.record.attempts.values()].filter(({ id, kind, workspace }) =>
            kind === "turn" && workspace !== undefined && this.record.isKept(id, keptForMs)
        );
        return kept.sort((a, b) => b.answeredAt! - a.answeredAt!).slice(0, maxTurns);
    }

    private async continueUntilFound(turn: Attempt): Promise<void> {
        while (!this.isOver && !this.isFound(turn)) {
            await this.callers.get(turn.workspace!)!.continueTurn(turn);
            await delay(retryMs);
        }
    }

    /** Whether a worker got a turn that continues it. A program whose budget is spent has been found, too. */
    private isFound({ id, expectedBody }: Attempt): boolean {
        const conversation = expectedBody + outputOf(id);
        return this.fleet.workers.some(({ ran }) => ran.some(({ body }) => body.startsWith(conversation))) ||
            [...this.record.attempts.values()].some(attempt =>
                attempt.status === 402 && attempt.expectedBody.startsWith(conversation)
            );
    }
}
