/** Asks the granting instances for the permits of this instance's calls. */
import { asError } from "@marigolddrift/common";
import type { Logger, Metrics } from "@marigolddrift/common";
import { renewalMsFor, returnDelayMs, shareRenewalsPerLease } from "@marigolddrift/policy";
import type { ShareOffer } from "@marigolddrift/policy";

import type { PackedOffer, QuotaAnswer, QuotaResponse } from "../peers/peerMessages.js";
import type { GrantedPermit, ProgramMark } from "./callPermit.js";
import type { QuotaWorkspace } from "./quotaGranter.js";
import type { AskedCalls, QuotaBatch, QuotaLink, QuotaWaiter } from "./quotaLink.js";
import { QuotaRefusals } from "./quotaRefusals.js";
import type { ShareLender } from "./shareLender.js";
import { WorkspacePermits } from "./workspacePermits.js";

/** Interval at which leases are renewed that are due, and waiting calls are checked. */
const tickMs = 25;

/** Shortest time between two requests to one granting instance; calls that arrive meanwhile share one. */
const minGapMs = 5;

/** Time without a response after which the granting instance of another region is asked as well. */
const silenceMs = 100;

/** Longest time for which a call waits for a granting instance to start, to respond or to borrow: that of the shortest lease. */
const maxWaitMs = 400;

/** Time after which callers may return if no granting instance responds. */
const unreachableRetryMs = 400;

/** Settings and dependencies of a {@link QuotaClient}. */
export interface QuotaClientOptions {
    readonly permitTtlMs: number;
    readonly lender: ShareLender;
    /** Returns the link to a granting instance. */
    readonly linkTo: (granter: string) => QuotaLink;
    /** Returns the name of this instance. */
    readonly localName: () => string;
    /** Called when a granting instance does not know the request. */
    readonly onUnsupported: (granter: string) => void;
    readonly random: () => number;
    readonly metrics: Metrics;
    readonly log: Logger;
}

/** Requests, keeps and returns permits; coalesces what is asked of one granting instance. */
export class QuotaClient {
    private readonly workspaces = new Map<string, WorkspacePermits>();
    private readonly waiting = new Set<QuotaWaiter>();
    private readonly refusals: QuotaRefusals;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: QuotaClientOptions) {
        this.refusals = new QuotaRefusals(
            slot => options.lender.granterOf(slot),
            options.random,
            options.metrics,
            options.log,
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
        if (idle !== undefined) {
            return Promise.resolve(idle);
        }
        return new Promise((resolve, reject) => {
            const waitUntil = now + maxWaitMs;
            const waiter = { workspace: name, program, waitUntil, pending: 0, isDone: false, resolve, reject };
            this.waiting.add(waiter);
            this.enqueue(waiter, workspace);
        });
    }

    /** Takes back a permit that was not used. */
    giveBack(name: string, permit: GrantedPermit): void {
        this.workspaces.get(name)?.addIdle(permit);
    }

    close(): void {
        clearInterval(this.timer);
        this.timer = undefined;
        this.waiting.forEach(waiter => this.refuseUnreachable(waiter));
    }

    /** Sends what waits, or the renewal of the lease, unless a request is outstanding. */
    pump(link: QuotaLink, isRenewal = false): void {
        if (link.isOutstanding || link.timer !== undefined || !(link.hasWork || isRenewal)) {
            return;
        }
        const gapMs = link.sentAt + minGapMs - performance.now();
        if (gapMs > 0) {
            link.timer = setTimeout(() => {
                link.timer = undefined;
                this.pump(link, isRenewal);
            }, gapMs).unref();
            return;
        }
        void this.exchange(link);
    }

    private enqueue(waiter: QuotaWaiter, { slot }: WorkspacePermits): void {
        const { lender } = this.options;
        const first = this.options.linkTo(lender.granterOf(slot));
        const other = this.isSilent(first) ? lender.otherGranterOf(slot) : undefined;
        const link = other === undefined ? first : this.options.linkTo(other);
        link.add(waiter);
        this.pump(link);
    }

    private isSilent(link: QuotaLink): boolean {
        return link.isOutstanding && performance.now() - link.sentAt >= silenceMs;
    }

    private async exchange(link: QuotaLink): Promise<void> {
        const { lender, localName } = this.options;
        const sentAt = performance.now();
        const batch = link.takeBatch(name => this.workspaces.get(name)?.wantedAhead(sentAt) ?? 0);
        const { granter, offer } = link;
        const slots = offer === undefined ? 0 : lender.accept(granter, offer.offer, offer.receivedAt, sentAt);
        const lends: readonly [string, number, number] = [localName(), lender.memberCount, slots];
        link.isOutstanding = true;
        link.sentAt = sentAt;
        const silence = setTimeout(() => this.askOthers(link, batch), silenceMs).unref();
        try {
            const response = await link.send({
                kind: "takeQuota",
                renewal: offer === undefined || slots === 0 ? lends : [...lends, ...packOffer(offer.offer)],
                ...(batch.asks.length === 0 ? {} : { asks: batch.asks }),
                ...(batch.borrows.length === 0 ? {} : { borrows: batch.borrows.map(({ ask }) => ask) }),
            });
            link.isOutstanding = false;
            if (response === undefined) {
                this.options.onUnsupported(granter);
                this.onFailed(link, batch);
            }
            else {
                this.onResponse(link, batch, response, sentAt);
            }
        }
        catch (err) {
            link.isOutstanding = false;
            this.options.log.info("quota request failed", { peer: granter, error: asError(err).message });
            this.onFailed(link, batch);
        }
        finally {
            clearTimeout(silence);
        }
        this.pump(link, lender.isMissingShares(granter, performance.now()) && link.offer !== undefined);
    }

    private onResponse(
        link: QuotaLink,
        batch: QuotaBatch,
        { offer, answers, lent }: QuotaResponse,
        sentAt: number,
    ): void {
        const receivedAt = performance.now();
        const [issuer, until, leaseMs] = offer;
        link.offer = { offer: { issuer, until, leaseMs }, receivedAt };
        const permit = { expiresAt: sentAt + this.options.permitTtlMs, granter: link.granter };
        batch.calls.forEach((calls, index) => this.onAnswer(calls, answers?.[index], permit));
        batch.borrows.forEach((borrow, index) => borrow.resolve(lent?.[index]));
    }

    private onAnswer(calls: AskedCalls, answer: QuotaAnswer | undefined, permit: GrantedPermit): void {
        if (answer === undefined) {
            return;
        }
        const [granted, started, retryInMs, spacingMs, startRetryInMs, waitMs] = answer;
        this.options.metrics.count("quota.granted", granted + started.length);
        const { ordinary, programs, workspace } = calls;
        ordinary.slice(0, granted).forEach(waiter => this.grant(waiter, permit));
        for (let extra = ordinary.length; extra < granted; extra++) {
            this.giveBack(workspace, permit);
        }
        const isStarted = new Set(started);
        const refused = ordinary.slice(granted);
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

    private grant(waiter: QuotaWaiter, permit: GrantedPermit): void {
        waiter.pending -= 1;
        if (waiter.isDone) {
            this.giveBack(waiter.workspace, permit);
            return;
        }
        this.finish(waiter);
        waiter.resolve(permit);
    }

    /** Lets a call wait, or refuses it, unless another granting instance may still have a permit for it. */
    private refuse(waiter: QuotaWaiter, retryInMs: number, waitMs: number): void {
        waiter.pending -= 1;
        const workspace = this.workspaces.get(waiter.workspace);
        if (waiter.isDone || waiter.pending > 0 || workspace === undefined) {
            return;
        }
        if (waitMs > 0 && performance.now() + waitMs < waiter.waitUntil) {
            setTimeout(() => {
                if (!waiter.isDone) {
                    this.enqueue(waiter, workspace);
                }
            }, waitMs).unref();
            return;
        }
        const { perSecond, burst } = workspace.terms;
        const detail = `The workspace is over its quota of ${perSecond} requests a second and ${burst} at once.`;
        this.reject(waiter, detail, retryInMs);
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
        waiter.reject(this.refusals.create(this.workspaces.get(waiter.workspace), detail, retryInMs));
    }

    private finish(waiter: QuotaWaiter): void {
        waiter.isDone = true;
        this.waiting.delete(waiter);
    }

    /** Asks the granting instance of another region for calls if that of their own region does not respond. */
    private askOthers(link: QuotaLink, batch: QuotaBatch): void {
        const waiters = [
            ...batch.calls.flatMap(({ ordinary, programs }) => [...ordinary, ...programs]),
            ...link.takeWaiters(),
        ];
        for (const waiter of waiters.filter(({ isDone }) => !isDone)) {
            const slot = this.workspaces.get(waiter.workspace)?.slot;
            const other = slot === undefined ? undefined : this.options.lender.otherGranterOf(slot);
            const target = other === undefined || other === link.granter ? undefined : this.options.linkTo(other);
            if (target !== undefined) {
                target.add(waiter);
                this.pump(target);
            }
            else if (waiter.pending === 0) {
                link.add(waiter);
            }
        }
    }

    /** Asks again, of whichever instance grants now. What the instance may have granted is lost. */
    private onFailed(link: QuotaLink, batch: QuotaBatch): void {
        link.offer = undefined;
        batch.borrows.forEach(borrow => borrow.resolve(undefined));
        const asked = batch.calls.flatMap(({ ordinary, programs }) => [...ordinary, ...programs]);
        asked.forEach(waiter => waiter.pending -= 1);
        for (const waiter of [...asked, ...link.takeWaiters()]) {
            const workspace = this.workspaces.get(waiter.workspace);
            if (!waiter.isDone && waiter.pending === 0 && workspace !== undefined) {
                this.enqueue(waiter, workspace);
            }
        }
    }

    private returnLapsed(name: string, permit: GrantedPermit): void {
        this.options.metrics.count("quota.lapsed");
        this.options.linkTo(permit.granter).giveBack(name);
    }

    private tick(): void {
        const now = performance.now();
        const { lender, permitTtlMs } = this.options;
        for (const waiter of this.waiting) {
            if (now >= waiter.waitUntil) {
                this.refuseUnreachable(waiter);
            }
        }
        for (const workspace of this.workspaces.values()) {
            if (workspace.idlePermits > 0) {
                workspace.removeLapsed(now, returnDelayMs(permitTtlMs) - permitTtlMs).forEach(permit =>
                    this.returnLapsed(workspace.name, permit)
                );
            }
            this.refusals.logPending(workspace);
        }
        for (const granter of lender.granters()) {
            const link = this.options.linkTo(granter);
            const leaseMs = link.offer?.offer.leaseMs;
            const renewalMs = leaseMs === undefined ?
                renewalMsFor(lender.regionMemberCount) :
                leaseMs / shareRenewalsPerLease;
            if (now - link.sentAt >= renewalMs - tickMs / 2) {
                this.pump(link, true);
            }
        }
    }
}

const packOffer = ({ issuer, until, leaseMs }: ShareOffer): PackedOffer => [issuer, until, leaseMs];
