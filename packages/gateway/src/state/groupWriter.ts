/** Writes that wait for the store share its calls. */
import { asError, ProblemError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { StoreRefusalError } from "@marigolddrift/store";
import type { StoredValue, TxnResult, VersionedStore } from "@marigolddrift/store";

/** Writes that one call carries: the store takes 32 entries a call, and a conditional write is two. */
const maxGroup = 16;

/** Calls under way at a time. */
const maxCalls = 2;

/** Time that the store may take for one call, in milliseconds. */
const callTimeoutMs = 1_000;

/** Pause after a call that failed, in milliseconds. */
const retryMs = 100;

/** Time without an answer after which the store is taken to be away, in milliseconds. */
const awayAfterMs = 600;

/** Time that a call waits beyond that, so that the next one finds the store away, in milliseconds. */
const patienceSlackMs = 50;

/** When callers may come back while the store is away: outages last seconds, and callers have few retries. */
const awayRetryAfterSeconds = 1.3;

/** A value that is written only if its key still has a revision. */
export interface ConditionalPut {
    readonly key: string;
    /** Revision that the key must have; 0 if it must not exist. */
    readonly expected: number;
    readonly value: Buffer;
}

/** What became of a conditional write. */
export type PutResult =
    | { readonly kind: "written"; readonly revision: number; }
    /** The key had another revision; `current` is missing if it does not exist. */
    | { readonly kind: "conflict"; readonly current: StoredValue | undefined; };

interface Entry {
    readonly put: ConditionalPut;
    readonly progress: Progress;
    settled: boolean;
    resolve(result: PutResult): void;
    reject(err: unknown): void;
}

/**
 * Groups conditional writes. After an unknown result a write is sent again: a conflict with the very same value means
 * that it had been applied, so every value must be unique.
 */
export class GroupWriter {
    /** Time of the monotonic clock at which the oldest unanswered call was sent, in milliseconds. */
    private silentSince: number | undefined;
    private failing = false;
    private readonly waiting: Entry[] = [];
    private calls = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly store: VersionedStore,
        private readonly gatherMs: number,
        private readonly log: Logger,
    ) {}

    /** Whether the store has not answered writes for a while. */
    get isAway(): boolean {
        return this.silentSince !== undefined && performance.now() - this.silentSince > awayAfterMs;
    }

    /** Fails with `not_durable` if the store is away and other writes find out when it is back. */
    checkAvailable(): void {
        const isAsked = this.calls > 0 || this.waiting.some(({ progress }) => !progress.signal.aborted);
        if (this.isAway && isAsked) {
            throw notDurable();
        }
    }

    /** Writes a value; waits no longer than the progress allows, after which the write may still be applied. */
    async put(put: ConditionalPut, progress: Progress): Promise<PutResult> {
        const result = new Promise<PutResult>((resolve, reject) => {
            this.waiting.push({ put, progress, settled: false, resolve, reject });
        });
        this.schedule(this.failing ? retryMs : this.gatherMs);
        return await progress.race(result);
    }

    /** As {@link put}, for writes without which the call cannot start: gives up as soon as the store is away. */
    async putSoon(put: ConditionalPut, progress: Progress): Promise<PutResult> {
        this.checkAvailable();
        const patience = progress.child(awayAfterMs + patienceSlackMs);
        try {
            return await this.put(put, patience);
        }
        catch (err) {
            progress.check();
            throw patience.signal.aborted ? notDurable() : err;
        }
        finally {
            patience.dispose();
        }
    }

    private schedule(afterMs: number): void {
        if (this.calls >= maxCalls || this.timer !== undefined || this.waiting.length === 0) {
            return;
        }
        this.timer = setTimeout(() => {
            this.timer = undefined;
            const group = this.takeGroup();
            if (group.length > 0) {
                void this.sendCounted(group);
            }
            this.schedule(this.gatherMs);
        }, afterMs);
    }

    /** The next writes, at most one of each key. */
    private takeGroup(): Entry[] {
        const keys = new Set<string>();
        const group: Entry[] = [];
        const rest: Entry[] = [];
        for (const entry of this.waiting.splice(0)) {
            if (entry.settled || entry.progress.signal.aborted) {
                continue;
            }
            const fits = group.length < maxGroup && !keys.has(entry.put.key);
            (fits ? group : rest).push(entry);
            if (fits) {
                keys.add(entry.put.key);
            }
        }
        this.waiting.push(...rest);
        return group;
    }

    private async sendCounted(group: readonly Entry[]): Promise<void> {
        this.calls += 1;
        this.silentSince ??= performance.now();
        try {
            await this.send(group);
        }
        finally {
            this.calls -= 1;
            this.schedule(this.failing ? retryMs : this.gatherMs);
        }
    }

    /** Sends a group once; what is not settled by it waits again. */
    private async send(group: readonly Entry[]): Promise<void> {
        if (group.length === 0) {
            return;
        }
        const progress = new Progress(callTimeoutMs);
        try {
            const compares = group.map(({ put }) => ({ key: put.key, revision: put.expected }));
            const puts = group.map(({ put }) => ({ key: put.key, value: put.value }));
            const result = await progress.race(this.store.txn(compares, puts, progress));
            this.onAnswered();
            this.settle(group, result);
        }
        catch (err) {
            this.onFailed(group, asError(err));
        }
        finally {
            progress.dispose();
        }
    }

    private settle(group: readonly Entry[], result: TxnResult): void {
        const current = new Map((result.current ?? []).map(stored => [stored.key, stored]));
        for (const entry of group.filter(({ settled }) => !settled)) {
            if (result.succeeded) {
                finish(entry, { kind: "written", revision: result.revision });
            }
            else {
                this.settleConflict(entry, current.get(entry.put.key));
            }
        }
    }

    /** One failed condition fails a whole group: those whose own condition holds are sent again. */
    private settleConflict(entry: Entry, stored: StoredValue | undefined): void {
        if ((stored?.revision ?? 0) === entry.put.expected) {
            this.waiting.push(entry);
        }
        else if (stored?.value.equals(entry.put.value)) {
            finish(entry, { kind: "written", revision: stored.revision });
        }
        else {
            finish(entry, { kind: "conflict", current: stored });
        }
    }

    private onAnswered(): void {
        if (this.failing) {
            const awayMs = Math.round(performance.now() - (this.silentSince ?? performance.now()));
            this.log.info("store writes regained", { awayMs });
        }
        this.failing = false;
        this.silentSince = undefined;
    }

    private onFailed(group: readonly Entry[], err: Error): void {
        const open = group.filter(({ settled }) => !settled);
        if (err instanceof StoreRefusalError && !err.isRetryable) {
            this.onNotAcceptable(open, err);
            return;
        }
        if (!this.failing) {
            this.log.warn("store writes lost", { error: err.message, writes: open.length });
        }
        this.failing = true;
        this.waiting.unshift(...open);
    }

    /** One write that the store does not accept must not hold up the others. */
    private onNotAcceptable(open: readonly Entry[], err: StoreRefusalError): void {
        this.silentSince = undefined;
        this.log.error("store write not accepted", { error: err.message, keys: open.map(({ put }) => put.key) });
        if (open.length === 1) {
            open[0]!.settled = true;
            open[0]!.reject(err);
            return;
        }
        open.forEach(entry => void this.send([entry]));
    }
}

const finish = (entry: Entry, result: PutResult): void => {
    entry.settled = true;
    entry.resolve(result);
};

/** The error of a call that needs a durable record while the store is away. */
export const notDurable = (): ProblemError =>
    new ProblemError("not_durable", "notRun", "The store is away, and the call needs a durable record first.", {
        retryAfterSeconds: awayRetryAfterSeconds,
    });
