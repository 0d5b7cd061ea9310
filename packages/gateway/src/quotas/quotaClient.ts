/** Asks the granting instances for the permits of this instance's calls. */
import type { Metrics } from "@marigolddrift/common";
import { returnDelayMs } from "@marigolddrift/policy";

import type { GrantedPermit, ProgramMark } from "./callPermit.js";
import { QuotaExchange } from "./quotaExchange.js";
import type { QuotaExchangeOptions } from "./quotaExchange.js";
import type { QuotaWorkspace } from "./quotaGranter.js";
import type { QuotaLink } from "./quotaLink.js";
import { QuotaRefusals } from "./quotaRefusals.js";
import { QuotaWaiters } from "./quotaWaiters.js";
import { WorkspacePermits } from "./workspacePermits.js";

/** Interval at which leases are renewed that are due, and waiting calls are checked. */
const tickMs = 25;

/** Settings and dependencies of a {@link QuotaClient}. */
export interface QuotaClientOptions extends QuotaExchangeOptions {
    readonly random: () => number;
    readonly metrics: Metrics;
}

/** Requests, keeps and returns permits. */
export class QuotaClient {
    private readonly workspaces = new Map<string, WorkspacePermits>();
    private readonly refusals: QuotaRefusals;
    private readonly waiters: QuotaWaiters;
    private readonly exchange: QuotaExchange;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: QuotaClientOptions) {
        const { lender, log, metrics, random } = options;
        this.refusals = new QuotaRefusals(slot => lender.granterOf(slot), random, metrics, log);
        this.waiters = new QuotaWaiters({
            workspaces: this.workspaces,
            refusals: this.refusals,
            ask: (waiter, workspace) => this.exchange.ask(waiter, workspace),
            metrics,
        });
        this.exchange = new QuotaExchange(
            options,
            this.workspaces,
            (calls, answer, permit) => this.waiters.onAnswer(calls, answer, permit),
        );
    }

    /** Applies the quotas of a configuration; without any, nothing is sent. */
    applyWorkspaces(workspaces: readonly QuotaWorkspace[]): void {
        const names = new Set(workspaces.map(({ name }) => name));
        [...this.workspaces.keys()].filter(name => !names.has(name)).forEach(name => this.workspaces.delete(name));
        for (const { name, slot, terms } of workspaces) {
            const known = this.workspaces.get(name);
            if (known === undefined) {
                this.workspaces.set(name, new WorkspacePermits(name, slot, terms));
            }
            else {
                known.terms = terms;
            }
        }
        if (workspaces.length === 0) {
            this.close();
        }
        else {
            this.timer ??= setInterval(() => this.tick(), tickMs).unref();
        }
    }

    /** Takes an idle permit, or asks for one. @throws ProblemError `quota_exceeded` if there is none. */
    request(name: string, program: ProgramMark): Promise<GrantedPermit> {
        const workspace = this.workspaces.get(name);
        const now = performance.now();
        if (workspace === undefined) {
            // The quota was removed since the call was assigned to its workspace.
            return Promise.resolve({ expiresAt: Infinity, granter: this.options.localName() });
        }
        workspace.recordUse(now);
        const idle = typeof program !== "number" ? workspace.takeIdle(now) : undefined;
        return idle !== undefined ? Promise.resolve(idle) : this.waiters.wait(workspace, program, now);
    }

    /** Takes back a permit that was not used. */
    giveBack(name: string, permit: GrantedPermit): void {
        this.workspaces.get(name)?.addIdle(permit);
    }

    /** Sends what waits at a link, unless a request is outstanding. */
    pump(link: QuotaLink): void {
        this.exchange.pump(link);
    }

    close(): void {
        clearInterval(this.timer);
        this.timer = undefined;
        this.waiters.refuseAll();
    }

    private tick(): void {
        const now = performance.now();
        this.waiters.refuseExpired(now);
        for (const workspace of this.workspaces.values()) {
            this.returnLapsed(workspace, now);
            this.refusals.logPending(workspace);
        }
        this.exchange.renewLeases(now, tickMs / 2);
    }

    private returnLapsed(workspace: WorkspacePermits, now: number): void {
        if (workspace.idlePermits === 0) {
            return;
        }
        const { linkTo, metrics, permitTtlMs } = this.options;
        const lapsed = workspace.removeLapsed(now, returnDelayMs(permitTtlMs) - permitTtlMs);
        for (const { granter } of lapsed) {
            metrics.count("quota.lapsed");
            linkTo(granter).giveBack(workspace.name);
        }
    }
}
