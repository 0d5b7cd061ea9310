/** The calls of this instance that wait for a permit, until one is granted or they are refused. */
import type { Metrics } from "@marigolddrift/common";

import type { QuotaAnswer } from "../peers/peerMessages.js";
import type { GrantedPermit, ProgramMark } from "./callPermit.js";
import type { AskedCalls, QuotaWaiter } from "./quotaLink.js";
import type { QuotaRefusals } from "./quotaRefusals.js";
import type { WorkspacePermits } from "./workspacePermits.js";

/** Longest time for which a call waits for a granting instance to start, to respond or to borrow: that of the shortest lease. */
const maxWaitMs = 400;

/** Time after which callers may return if no granting instance responds. */
const unreachableRetryMs = 400;

/** Dependencies of {@link QuotaWaiters}. */
export interface QuotaWaitersOptions {
    /** The workspaces with a quota, by name. */
    readonly workspaces: ReadonlyMap<string, WorkspacePermits>;
    readonly refusals: QuotaRefusals;
    /** Asks a granting instance for a permit for a call. */
    readonly ask: (waiter: QuotaWaiter, workspace: WorkspacePermits) => void;
    readonly metrics: Metrics;
}

/** Grants and refuses waiting calls as the granting instances answer, and those that have waited too long. */
export class QuotaWaiters {
    private readonly waiting = new Set<QuotaWaiter>();

    constructor(private readonly options: QuotaWaitersOptions) {}

    /** Asks for a permit for a call and waits for it. @throws ProblemError `quota_exceeded` if there is none. */
    wait(workspace: WorkspacePermits, program: ProgramMark, now: number): Promise<GrantedPermit> {
        return new Promise((resolve, reject) => {
            const waitUntil = now + maxWaitMs;
            const waiter = {
                workspace: workspace.name,
                program,
                waitUntil,
                pending: 0,
                isDone: false,
                resolve,
                reject,
            };
            this.waiting.add(waiter);
            this.options.ask(waiter, workspace);
        });
    }

    /**
     * Grants or refuses the calls of one workspace.
     *
     * @param permit What is granted.
     */
    onAnswer(calls: AskedCalls, answer: QuotaAnswer, permit: GrantedPermit): void {
        const [granted, started, retryInMs, spacingMs, startRetryInMs, waitMs] = answer;
        const { ordinary, programs, workspace } = calls;
        this.options.metrics.count("quota.granted", granted + started.length);
        ordinary.slice(0, granted).forEach(waiter => this.grant(waiter, permit));
        for (let extra = ordinary.length; extra < granted; extra++) {
            this.options.workspaces.get(workspace)?.addIdle(permit);
        }
        const refused = ordinary.slice(granted);
        const isStarted = new Set(started);
        programs.forEach((waiter, index) => {
            if (isStarted.has(index)) {
                this.grant(waiter, permit);
            }
            else if (startRetryInMs > 0) {
                this.refuse(waiter, startRetryInMs, 0);
            }
            else {
                refused.push(waiter);
            }
        });
        refused.forEach((waiter, index) => this.refuse(waiter, retryInMs + index * spacingMs, waitMs));
    }

    /** Refuses the calls that have waited too long. */
    refuseExpired(now: number): void {
        for (const waiter of this.waiting) {
            if (now >= waiter.waitUntil) {
                this.refuseUnreachable(waiter);
            }
        }
    }

    refuseAll(): void {
        this.waiting.forEach(waiter => this.refuseUnreachable(waiter));
    }

    private grant(waiter: QuotaWaiter, permit: GrantedPermit): void {
        waiter.pending -= 1;
        if (waiter.isDone) {
            this.options.workspaces.get(waiter.workspace)?.addIdle(permit);
            return;
        }
        this.finish(waiter);
        waiter.resolve(permit);
    }

    /** Lets a call wait, or refuses it, unless another granting instance may still have a permit for it. */
    private refuse(waiter: QuotaWaiter, retryInMs: number, waitMs: number): void {
        waiter.pending -= 1;
        const workspace = this.options.workspaces.get(waiter.workspace);
        if (waiter.isDone || waiter.pending > 0 || workspace === undefined) {
            return;
        }
        if (waitMs > 0 && performance.now() + waitMs < waiter.waitUntil) {
            this.askLater(waiter, workspace, waitMs);
            return;
        }
        const { perSecond, burst } = workspace.terms;
        const detail = `The workspace is over its quota of ${perSecond} requests a second and ${burst} at once.`;
        this.reject(waiter, detail, retryInMs);
    }

    private askLater(waiter: QuotaWaiter, workspace: WorkspacePermits, waitMs: number): void {
        setTimeout(() => {
            if (!waiter.isDone) {
                this.options.ask(waiter, workspace);
            }
        }, waitMs).unref();
    }

    private refuseUnreachable(waiter: QuotaWaiter): void {
        this.options.metrics.count("quota.unreachable");
        this.reject(
            waiter,
            "No instance has responded that grants permits under the workspace's quota.",
            unreachableRetryMs,
        );
    }

    private reject(waiter: QuotaWaiter, detail: string, retryInMs: number): void {
        this.finish(waiter);
        const workspace = this.options.workspaces.get(waiter.workspace);
        waiter.reject(this.options.refusals.create(workspace, detail, retryInMs));
    }

    private finish(waiter: QuotaWaiter): void {
        waiter.isDone = true;
        this.waiting.delete(waiter);
    }
}
