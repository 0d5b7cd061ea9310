/** Collects what is asked of one granting instance. At most one request is outstanding; calls that arrive meanwhile share the next one. */
import type { ShareOffer } from "@marigolddrift/policy";

import type { PeerRequest, QuotaAsk, QuotaBorrow, QuotaResponse } from "../peers/peerMessages.js";
import type { GrantedPermit, ProgramMark } from "./callPermit.js";

/** A call that waits for a permit; it may be asked for at several granting instances. */
export interface QuotaWaiter {
    readonly workspace: string;
    readonly program: ProgramMark;
    /** Monotonic time until which the call may wait. */
    readonly waitUntil: number;
    /** Number of requests that may still bring a permit. */
    pending: number;
    /** Whether the call has been granted a permit or refused. */
    isDone: boolean;
    resolve(permit: GrantedPermit): void;
    reject(err: Error): void;
}

/** Result of an attempt to borrow: permits, and the time after which there may be more. */
type BorrowResult = readonly [count: number, retryInMs: number];

interface PendingBorrow {
    readonly ask: QuotaBorrow;
    resolve(result: BorrowResult | undefined): void;
}

/** The waiting calls of one workspace in a request. */
export interface AskedCalls {
    readonly workspace: string;
    /** Calls of programs that have started, then those of no program. */
    readonly ordinary: readonly QuotaWaiter[];
    /** Calls of programs that may be new. */
    readonly programs: readonly QuotaWaiter[];
}

/** The contents of one request. */
export interface QuotaBatch {
    readonly calls: readonly AskedCalls[];
    readonly asks: readonly QuotaAsk[];
    readonly borrows: readonly PendingBorrow[];
}

/** Most workspaces in one request, so that it stays small. */
const maxAsks = 256;

/** The requests to one granting instance. */
export class QuotaLink {
    isOutstanding = false;
    /** Monotonic time at which the last request was sent. */
    sentAt = -Infinity;
    /** The latest offer, and the monotonic time of its receipt. */
    offer: { readonly offer: ShareOffer; readonly receivedAt: number; } | undefined;
    /** Set while a request is to be sent a little later. */
    timer: NodeJS.Timeout | undefined;
    private readonly waiters = new Map<string, QuotaWaiter[]>();
    private readonly returns = new Map<string, number>();
    private borrows: PendingBorrow[] = [];

    /** @param send Sends a request; resolves to undefined if the instance does not know the request. */
    constructor(
        readonly granter: string,
        readonly send: (request: Extract<PeerRequest, { kind: "takeQuota"; }>) => Promise<QuotaResponse | undefined>,
    ) {}

    /** Whether there are calls to ask for or permits to borrow. Permits to return go with the next request and cause none. */
    get hasWork(): boolean {
        return this.waiters.size > 0 || this.borrows.length > 0;
    }

    /** Adds a call to those that the next request asks for. */
    add(waiter: QuotaWaiter): void {
        const waiters = this.waiters.get(waiter.workspace) ?? [];
        this.waiters.set(waiter.workspace, waiters);
        waiters.push(waiter);
        waiter.pending += 1;
    }

    /** Returns a permit with the next request. */
    giveBack(workspace: string): void {
        this.returns.set(workspace, (this.returns.get(workspace) ?? 0) + 1);
    }

    /** Borrows with the next request; resolves to undefined if the instance did not answer it. */
    borrow(workspace: string, count: number): Promise<BorrowResult | undefined> {
        return new Promise(resolve => this.borrows.push({ ask: [workspace, count], resolve }));
    }

    /**
     * Takes what is to be sent.
     *
     * @param aheadOf Number of permits that a workspace asks for in advance.
     */
    takeBatch(aheadOf: (workspace: string) => number): QuotaBatch {
        const names = [...new Set([...this.waiters.keys(), ...this.returns.keys()])].slice(0, maxAsks);
        const calls: AskedCalls[] = [];
        const asks: QuotaAsk[] = [];
        for (const workspace of names) {
            const waiters = (this.waiters.get(workspace) ?? []).filter(waiter => !this.dropIfDone(waiter));
            const continued = waiters.filter(({ program }) => program === "started");
            const plain = waiters.filter(({ program }) => program === undefined);
            const programs = waiters.filter(({ program }) => typeof program === "number");
            const digests = programs.map(({ program }) => program as number);
            const ordinary = [...continued, ...plain];
            const ahead = ordinary.length > 0 ? aheadOf(workspace) : 0;
            const returned = this.returns.get(workspace) ?? 0;
            calls.push({ workspace, ordinary, programs });
            asks.push([workspace, continued.length, plain.length, digests, ahead, returned]);
            this.waiters.delete(workspace);
            this.returns.delete(workspace);
        }
        const borrows = this.borrows;
        this.borrows = [];
        return { calls, asks, borrows };
    }

    /** Removes and returns the calls that have not been asked for yet. */
    takeWaiters(): QuotaWaiter[] {
        const waiters = [...this.waiters.values()].flat();
        this.waiters.clear();
        waiters.forEach(waiter => waiter.pending -= 1);
        return waiters.filter(({ isDone }) => !isDone);
    }

    /** Stops whatever is to be sent. */
    close(): void {
        clearTimeout(this.timer);
        this.borrows.forEach(borrow => borrow.resolve(undefined));
        this.borrows = [];
        this.returns.clear();
    }

    /** Gives up the request for a call that has already been granted or refused; returns whether it has. */
    private dropIfDone(waiter: QuotaWaiter): boolean {
        if (waiter.isDone) {
            waiter.pending -= 1;
        }
        return waiter.isDone;
    }
}
