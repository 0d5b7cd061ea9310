/** The requests of this instance to the granting instances; coalesces what is asked of one of them. */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { renewalMsFor, shareRenewalsPerLease } from "@marigolddrift/policy";
import type { ShareOffer } from "@marigolddrift/policy";

import type { PackedOffer, PeerRequest, QuotaAnswer, QuotaResponse } from "../peers/peerMessages.js";
import type { GrantedPermit } from "./callPermit.js";
import type { AskedCalls, QuotaBatch, QuotaLink, QuotaWaiter } from "./quotaLink.js";
import type { ShareLender } from "./shareLender.js";
import type { WorkspacePermits } from "./workspacePermits.js";

/** Shortest time between two requests to one granting instance; calls that arrive meanwhile share one. */
const minGapMs = 5;

/** Time without a response after which the granting instance of another region is asked as well. */
const silenceMs = 100;

/** Settings and dependencies of a {@link QuotaExchange}. */
export interface QuotaExchangeOptions {
    readonly permitTtlMs: number;
    readonly lender: ShareLender;
    /** Returns the link to a granting instance. */
    readonly linkTo: (granter: string) => QuotaLink;
    /** Returns the name of this instance. */
    readonly localName: () => string;
    /** Called when a granting instance does not know the request. */
    readonly onUnsupported: (granter: string) => void;
    readonly log: Logger;
}

/** Called with the answer for the calls of one workspace, and with what is granted by it. */
type AnswerListener = (calls: AskedCalls, answer: QuotaAnswer, permit: GrantedPermit) => void;

/** Sends what waits at the links, and asks the granting instance of another region if that of this one is silent. */
export class QuotaExchange {
    /** @param workspaces The workspaces with a quota, by name. */
    constructor(
        private readonly options: QuotaExchangeOptions,
        private readonly workspaces: ReadonlyMap<string, WorkspacePermits>,
        private readonly onAnswer: AnswerListener,
    ) {}

    /** Asks the granting instance of a workspace for a permit. */
    ask(waiter: QuotaWaiter, { slot }: WorkspacePermits): void {
        const { lender, linkTo } = this.options;
        const first = linkTo(lender.granterOf(slot));
        const other = isSilent(first) ? lender.otherGranterOf(slot) : undefined;
        this.askAt(other === undefined ? first : linkTo(other), waiter);
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

    /** Renews the leases that are due, up to a time ahead of it. */
    renewLeases(now: number, aheadMs: number): void {
        const { lender, linkTo } = this.options;
        for (const granter of lender.granters()) {
            const link = linkTo(granter);
            const leaseMs = link.offer?.offer.leaseMs;
            const renewalMs = leaseMs === undefined ?
                renewalMsFor(lender.regionMemberCount) :
                leaseMs / shareRenewalsPerLease;
            if (now - link.sentAt >= renewalMs - aheadMs) {
                this.pump(link, true);
            }
        }
    }

    private askAt(link: QuotaLink, waiter: QuotaWaiter): void {
        link.add(waiter);
        this.pump(link);
    }

    private async exchange(link: QuotaLink): Promise<void> {
        const sentAt = performance.now();
        const batch = link.takeBatch(name => this.workspaces.get(name)?.wantedAhead(sentAt) ?? 0);
        const request = this.createRequest(link, batch, sentAt);
        link.isOutstanding = true;
        link.sentAt = sentAt;
        const silence = setTimeout(() => this.askOthers(link, batch), silenceMs).unref();
        try {
            const response = await link.send(request);
            link.isOutstanding = false;
            if (response === undefined) {
                this.options.onUnsupported(link.granter);
                this.onFailed(link, batch);
            }
            else {
                this.onResponse(link, batch, response, sentAt);
            }
        }
        catch (err) {
            link.isOutstanding = false;
            this.options.log.info("quota request failed", { peer: link.granter, error: asError(err).message });
            this.onFailed(link, batch);
        }
        finally {
            clearTimeout(silence);
        }
        const isMissingShares = this.options.lender.isMissingShares(link.granter, performance.now());
        this.pump(link, isMissingShares && link.offer !== undefined);
    }

    /** Accepts the latest offer of the granting instance, if any, and lends shares under it with the request. */
    private createRequest(
        { granter, offer }: QuotaLink,
        { asks, borrows }: QuotaBatch,
        sentAt: number,
    ): Extract<PeerRequest, { kind: "takeQuota"; }> {
        const { lender, localName } = this.options;
        const slots = offer === undefined ? 0 : lender.accept(granter, offer.offer, offer.receivedAt, sentAt);
        const lends: readonly [string, number, number] = [localName(), lender.memberCount, slots];
        return {
            kind: "takeQuota",
            renewal: offer === undefined || slots === 0 ? lends : [...lends, ...packOffer(offer.offer)],
            ...(asks.length === 0 ? {} : { asks }),
            ...(borrows.length === 0 ? {} : { borrows: borrows.map(({ ask }) => ask) }),
        };
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
        batch.calls.forEach((calls, index) => {
            const answer = answers?.[index];
            if (answer !== undefined) {
                this.onAnswer(calls, answer, permit);
            }
        });
        batch.borrows.forEach((borrow, index) => borrow.resolve(lent?.[index]));
    }

    /** Asks the granting instance of another region for calls if that of their own region does not respond. */
    private askOthers(link: QuotaLink, batch: QuotaBatch): void {
        const waiters = [...waitersOf(batch), ...link.takeWaiters()].filter(({ isDone }) => !isDone);
        for (const waiter of waiters) {
            const slot = this.workspaces.get(waiter.workspace)?.slot;
            const other = slot === undefined ? undefined : this.options.lender.otherGranterOf(slot);
            if (other !== undefined && other !== link.granter) {
                this.askAt(this.options.linkTo(other), waiter);
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
        const asked = waitersOf(batch);
        asked.forEach(waiter => waiter.pending -= 1);
        for (const waiter of [...asked, ...link.takeWaiters()]) {
            const workspace = this.workspaces.get(waiter.workspace);
            if (!waiter.isDone && waiter.pending === 0 && workspace !== undefined) {
                this.ask(waiter, workspace);
            }
        }
    }
}

const isSilent = (link: QuotaLink): boolean => link.isOutstanding && performance.now() - link.sentAt >= silenceMs;

const waitersOf = ({ calls }: QuotaBatch): QuotaWaiter[] =>
    calls.flatMap(({ ordinary, programs }) => [...ordinary, ...programs]);

const packOffer = ({ issuer, until, leaseMs }: ShareOffer): PackedOffer => [issuer, until, leaseMs];
