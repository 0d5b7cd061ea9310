/** Grants permits of workspaces from the shares of their quotas that instances lend to this one. */
import { leaseMsFor, offerShare } from "@marigolddrift/policy";
import type { QuotaTerms } from "@marigolddrift/policy";

import type { PeerRequest, QuotaAnswer, QuotaAsk, QuotaBorrow, QuotaResponse } from "../peers/peerMessages.js";
import { GrantedWorkspace } from "./grantedWorkspace.js";
import { LentShares } from "./lentShares.js";
import { ProgramTable } from "./programTable.js";
import type { QuotaSettings } from "./quotaSettings.js";
import { permitTtlMs } from "./quotaSettings.js";

/** Time after which calls ask again while permits are borrowed from another region. */
const borrowWaitMs = 15;

/** Time after which calls ask again while no share is lent to this instance, which has just started to grant. */
const startWaitMs = 50;

/** Longest time for which calls wait for the bucket to refill instead of being refused. */
const maxRefillWaitMs = 100;

/** Number of calls that can be served while calls wait, the first of them after `retryInMs`. */
const placesOfWaiting = (retryInMs: number, spacingMs: number): number =>
    1 + Math.floor((maxRefillWaitMs - retryInMs) / spacingMs);

/** Permits are borrowed for the demand that is expected in this time. */
const borrowAheadMs = 100;

/**
 * Bounds of the time after an unsuccessful attempt to borrow in which no other one is made and calls are refused; within them, it
 * lasts until the other region expects its next permit. The last value applies if that region did not respond.
 */
const minBorrowPauseMs = 50;
const maxBorrowPauseMs = 1_000;
const unansweredPauseMs = 250;

/** Time for which a program is known after its last request here; its instance may not ask for it for as long as it knows it. */
const programTtlMs = 180_000;

/** Time after which calls of a workspace that this instance does not know may be tried again. */
const unknownRetryMs = 500;

/** A workspace with its quota. */
export interface QuotaWorkspace {
    readonly name: string;
    readonly slot: number;
    readonly terms: QuotaTerms;
}

/** Dependencies of a {@link QuotaGranter}. */
export interface QuotaGranterOptions {
    readonly settings: QuotaSettings;
    /** Identifies this process. */
    readonly issuer: number;
    /** Number of front instances of this region. */
    regionMembers(): number;
    /** Whether this instance may hold a whole permit with a small share. */
    mayHoldWhole(workspace: string, terms: QuotaTerms, share: number): boolean;
    /** Asks another region for permits; undefined if there is none to ask. Resolves to undefined without an answer. */
    borrow(workspace: string, slot: number, count: number): Promise<readonly [number, number] | undefined> | undefined;
    readonly onBorrowed: (count: number) => void;
}

type QuotaRequest = Extract<PeerRequest, { kind: "takeQuota"; }>;

/** One instance's side of the quotas that it grants permits for. */
export class QuotaGranter {
    private readonly lentShares: LentShares;
    private readonly workspaces = new Map<string, GrantedWorkspace>();
    private readonly programs = new ProgramTable(programTtlMs);
    private readonly borrowing = new Set<string>();

    constructor(private readonly options: QuotaGranterOptions) {
        this.lentShares = new LentShares(options.issuer, (slot, share, at) => this.onShareChanged(slot, share, at));
    }

    /** Number of instances that lend their share to this one. */
    get lenders(): number {
        this.lentShares.expire(performance.now());
        return this.lentShares.lenders;
    }

    /** Applies the quotas of a configuration. All buckets fill from now on, not only those of workspaces in use. */
    applyWorkspaces(workspaces: readonly QuotaWorkspace[]): void {
        const now = performance.now();
        this.lentShares.expire(now);
        const names = new Set(workspaces.map(({ name }) => name));
        [...this.workspaces.keys()].filter(name => !names.has(name)).forEach(name => this.workspaces.delete(name));
        for (const { name, slot, terms } of workspaces) {
            const share = this.lentShares.shareOf(slot);
            const known = this.workspaces.get(name);
            if (known === undefined) {
                const { settings } = this.options;
                const mayHoldWhole: QuotaGranterOptions["mayHoldWhole"] = (...args) =>
                    this.options.mayHoldWhole(...args);
                this.workspaces.set(name, new GrantedWorkspace(name, slot, terms, share, settings, mayHoldWhole, now));
            }
            else {
                known.change(terms, share, now);
            }
        }
    }

    /** Handles the request of an instance, which may be this one. */
    handle({ renewal: [from, members, slots, ...accepted], asks, borrows }: QuotaRequest): QuotaResponse {
        const now = performance.now();
        this.lentShares.expire(now);
        const [issuer, until, acceptedMs] = accepted;
        if (issuer !== undefined && until !== undefined && acceptedMs !== undefined) {
            this.lentShares.accept(from, { issuer, until, leaseMs: acceptedMs }, members, slots, now);
        }
        const leaseMs = leaseMsFor(this.options.regionMembers());
        const offer = offerShare(this.options.issuer, leaseMs, now);
        return {
            offer: [offer.issuer, offer.until, offer.leaseMs],
            ...(asks === undefined ? {} : { answers: asks.map(ask => this.answer(ask, now)) }),
            ...(borrows === undefined ? {} : { lent: borrows.map(borrow => this.lend(borrow, now)) }),
        };
    }

    private answer([name, continued, plain, programs, ahead, returned]: QuotaAsk, now: number): QuotaAnswer {
        const workspace = this.workspaces.get(name);
        if (workspace === undefined) {
            return [0, [], unknownRetryMs, 0, 0, startWaitMs];
        }
        if (returned > 0) {
            workspace.giveBack(returned, now);
        }
        const count = continued + plain;
        workspace.recordDemand(count + programs.length, now);
        // Programs that have started take precedence, so that what they were served is not in vain.
        const granted = workspace.take(count, now);
        const served = Math.min(continued, granted);
        workspace.recordPlain(granted - served);
        const { started, startRetryInMs, refused } = this.grantPrograms(workspace, programs, now);
        const short = count - granted + refused;
        // Calls that wait ask again, and count when they are served or refused.
        const finish = (isRefusal: boolean): void => workspace.recordContinued(isRefusal ? continued : served, served);
        if (short === 0) {
            finish(true);
            return [granted + workspace.take(ahead, now), started, 0, 0, startRetryInMs, 0];
        }
        if (workspace.hasNoShare || this.borrow(workspace, short, now)) {
            const waitMs = workspace.hasNoShare ? startWaitMs : borrowWaitMs;
            finish(false);
            const { retryInMs, spacingMs } = workspace.queue(0, now);
            return [granted, started, retryInMs, spacingMs, startRetryInMs, waitMs];
        }
        const { retryInMs, spacingMs } = workspace.queue(0, now);
        const mayWait = retryInMs <= maxRefillWaitMs;
        // Calls that wait ask again. If all of them took places, those refused next would be told to return later than they can be served.
        workspace.queue(mayWait ? Math.min(short, placesOfWaiting(retryInMs, spacingMs)) : short, now);
        workspace.recordShortage(now);
        const waitMs = mayWait ? Math.max(1, Math.ceil(retryInMs)) : 0;
        finish(waitMs === 0);
        return [granted, started, retryInMs, spacingMs, startRetryInMs, waitMs];
    }

    /** Grants the calls of programs: those that are known here first, new ones as far as they can be finished. */
    private grantPrograms(
        workspace: GrantedWorkspace,
        programs: readonly number[],
        now: number,
    ): { started: number[]; startRetryInMs: number; refused: number; } {
        const started: number[] = [];
        let refused = 0;
        let startRetryInMs = 0;
        const isKnown = programs.map(program => this.programs.has(`${workspace.name}:${program}`, now));
        const order = [...programs.keys()].sort((a, b) => Number(isKnown[b]) - Number(isKnown[a]));
        for (const index of order) {
            const delayMs = isKnown[index] ? 0 : workspace.startDelayMs(now);
            if (delayMs > 0) {
                startRetryInMs = delayMs;
            }
            else if (workspace.take(1, now) === 0) {
                refused += 1;
            }
            else {
                started.push(index);
                this.programs.use(`${workspace.name}:${programs[index]}`, now);
                if (isKnown[index]) {
                    workspace.recordContinued(1, 1);
                }
                else {
                    workspace.recordStart(now);
                }
            }
        }
        return { started, startRetryInMs, refused };
    }

    /** Starts to borrow permits; returns false if the other region is known to have none. */
    private borrow(workspace: GrantedWorkspace, short: number, now: number): boolean {
        const { name, slot } = workspace;
        if (this.borrowing.has(name)) {
            return true;
        }
        if (now < workspace.borrowPausedUntil) {
            return false;
        }
        const count = short + Math.floor(workspace.demandIn(borrowAheadMs, now));
        const answer = this.options.borrow(name, slot, count);
        if (answer === undefined) {
            return false;
        }
        this.borrowing.add(name);
        void answer.catch(() => undefined).then(result => {
            this.borrowing.delete(name);
            this.onBorrowAnswer(workspace, result, now);
        });
        return true;
    }

    private onBorrowAnswer(
        workspace: GrantedWorkspace,
        result: readonly [number, number] | undefined,
        sentAt: number,
    ): void {
        const now = performance.now();
        const [granted, retryInMs] = result ?? [0, unansweredPauseMs];
        if (granted > 0) {
            workspace.addBorrowed(granted, sentAt + permitTtlMs(this.options.settings) / 2, now);
            this.options.onBorrowed(granted);
        }
        else {
            workspace.borrowPausedUntil = now + Math.min(maxBorrowPauseMs, Math.max(minBorrowPauseMs, retryInMs));
        }
    }

    private lend([name, count]: QuotaBorrow, now: number): readonly [number, number] {
        const { granted, retryInMs } = this.workspaces.get(name)?.lend(count, now) ??
            { granted: 0, retryInMs: maxBorrowPauseMs };
        return [granted, retryInMs];
    }

    private onShareChanged(slot: number, share: number, at: number): void {
        for (const workspace of this.workspaces.values()) {
            if (workspace.slot === slot) {
                workspace.change(workspace.terms, share, at);
            }
        }
    }
}
