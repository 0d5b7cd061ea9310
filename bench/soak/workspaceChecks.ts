/** Checks that workspaces are kept apart: whose calls run, what upstreams are told, and when removed keys are refused. */
import type { ExecutedRequest } from "@marigolddrift/platform";

import type { SoakFleet } from "./soakFleet.js";
import type { Attempt, SoakRecord, Violation } from "./soakRecord.js";
import { bounds } from "./soakSettings.js";
import { crowdedWorkspace, crowdQuota, keyMark } from "./soakWorkspaces.js";
import type { IssuedKey } from "./soakWorkspaces.js";

/** Time beyond the configured one that a version may take to be in force, for the machine that the soak shares. */
const applyMarginMs = 1_500;

const applyLimitMs = bounds.configApplyMs + applyMarginMs;

/** Time after a disturbance until the bound on keys applies: both times that the settings name run at once. */
const recoveryLimitMs = Math.max(bounds.contactMs, bounds.configApplyMs) + applyMarginMs;

const unauthorized = 401;

/**
 * Largest number of times within a window, wherever it begins.
 *
 * @example
 * mostInWindow([0, 10, 4_000, 5_005], 5_000) === 3; // from 10 to 5,005
 */
export const mostInWindow = (times: readonly number[], windowMs: number): number => {
    const sorted = [...times].sort((a, b) => a - b);
    let most = 0;
    for (let first = 0, last = 0; last < sorted.length; last++) {
        while (sorted[last]! - sorted[first]! >= windowMs) {
            first++;
        }
        most = Math.max(most, last - first + 1);
    }
    return most;
};

/** Checks a run after its end. */
export class WorkspaceChecks {
    private readonly ran: readonly ExecutedRequest[];

    constructor(private readonly record: SoakRecord, private readonly fleet: SoakFleet) {
        this.ran = fleet.workers.flatMap(({ ran }) => ran);
    }

    /** Returns the promises that were broken. */
    violations(): Violation[] {
        return [
            ...this.ran.flatMap(run => this.checkRun(run)),
            ...[...this.record.attempts.values()].flatMap(attempt => this.checkRefusal(attempt)),
        ];
    }

    /** Returns whether more calls of the crowded workspace ran in a window than its quota permits. */
    quotaViolations(): Violation[] {
        const { quotaWindowS, quotaOver, quotaSlack } = bounds;
        const times = this.ran.filter(({ id }) => this.record.attempts.get(id)?.workspace === crowdedWorkspace).map((
            { at },
        ) => at);
        const most = mostInWindow(times, quotaWindowS * 1_000);
        const limit = (crowdQuota.ratePerS * quotaWindowS + crowdQuota.burst) * (1 + quotaOver) + quotaSlack;
        this.record.counts["most in a quota window"] = most;
        return most <= limit ?
            [] :
            [`${most} calls of ${crowdedWorkspace} ran within ${quotaWindowS} s; its quota permits ${limit}`];
    }

    private checkRun({ id, headers }: ExecutedRequest): Violation[] {
        const attempt = this.record.attempts.get(id);
        if (attempt === undefined) {
            return [];
        }
        const { workspace } = attempt;
        const key = this.fleet.workspaces.find(attempt.key);
        const told = headers["tenant"];
        const promises: readonly (readonly [boolean, Violation])[] = [
            [key === undefined, `${id} ran with the key ${attempt.key}, which no configuration ever held`],
            [told !== workspace, `${id} is of ${workspace}, and its worker was told ${JSON.stringify(told)}`],
            [JSON.stringify(headers).includes(keyMark), `the worker of ${id} got an API key`],
            [
                attempt.continuesForeignTurn === true,
                `${id} of ${workspace} ran, although it continues a turn of another workspace`,
            ],
            [
                key !== undefined && this.isRemovedFor(key, attempt),
                `${id} ran by ${attempt.front} with a key that had been removed ${
                    Math.round(attempt.startedAt - (key?.removedAt ?? 0))
                } ms before it was sent`,
            ],
        ];
        return promises.filter(([isBroken]) => isBroken).map(([, violation]) => violation);
    }

    /** Whether a key had been removed for so long that the front had to know. */
    private isRemovedFor({ removedAt }: IssuedKey, attempt: Attempt): boolean {
        return attempt.startedAt - removedAt > applyLimitMs && !this.isExcused(attempt);
    }

    /** A key that every front had to know is not refused. */
    private checkRefusal(attempt: Attempt): Violation[] {
        const { id, key, status, front, startedAt, endedAt = Infinity } = attempt;
        const issued = this.fleet.workspaces.find(key);
        if (status !== unauthorized || issued === undefined || issued.removedAt <= endedAt) {
            return [];
        }
        const isKnown = startedAt - issued.addedAt > applyLimitMs &&
            (issued.addedAt === -Infinity || !this.isExcused(attempt));
        return isKnown ? [`${id} was refused by ${front} although its key ${key} was in force`] : [];
    }

    /** Whether the front was frozen or restarted, or the platform's store did not serve, shortly before a call was sent. */
    private isExcused({ front, startedAt }: Attempt): boolean {
        const { disturbances } = this.record;
        const from = startedAt - recoveryLimitMs;
        return disturbances.overlaps(from, startedAt, front) || disturbances.overlaps(from, startedAt, "store") ||
            this.fleet.restarts.overlaps(from, startedAt, front);
    }
}
