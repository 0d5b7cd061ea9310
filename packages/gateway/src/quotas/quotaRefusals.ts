/** Errors, counters and log lines for calls that a quota has no room for. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Metrics } from "@marigolddrift/common";

import type { WorkspacePermits } from "./workspacePermits.js";

/** Shortest time after which a refused caller may return. */
const minRetryMs = 100;

/** Largest random extension of the time after which refused callers may return, as a part of that time. */
const retrySpread = 0.25;

/** Creates the errors of refused calls, and logs at most one line a second for each workspace. */
export class QuotaRefusals {
    constructor(
        private readonly granterOf: (slot: number) => string,
        private readonly random: () => number,
        private readonly metrics: Metrics,
        private readonly log: Logger,
    ) {}

    /** @param retryInMs Time after which the call is expected to be served. */
    create(workspace: WorkspacePermits | undefined, detail: string, retryInMs: number): ProblemError {
        this.metrics.count("quota.refused");
        const retryMs = Math.max(minRetryMs, retryInMs) * (1 + retrySpread * this.random());
        const retryAfterSeconds = Math.ceil(retryMs) / 1_000;
        if (workspace !== undefined) {
            workspace.recordRefusal();
            this.logRefusals(workspace, { retryAfterSeconds, detail });
        }
        return new ProblemError("quota_exceeded", "notRun", detail, { retryAfterSeconds });
    }

    /** Logs the refusals since the last line, if it is time for another one. */
    logPending(workspace: WorkspacePermits): void {
        this.logRefusals(workspace, {});
    }

    private logRefusals(workspace: WorkspacePermits, fields: Record<string, unknown>): void {
        const refusals = workspace.takeRefusals(performance.now());
        if (refusals > 0) {
            const { name, slot, terms } = workspace;
            this.log.info("quota exceeded", {
                workspace: name,
                refusals,
                ...terms,
                granter: this.granterOf(slot),
                ...fields,
            });
        }
    }
}
