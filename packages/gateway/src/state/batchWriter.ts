/** Batches conditional writes to the store. */
import { asError, ProblemError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { StoreRefusalError } from "@marigolddrift/store";
import type { StoredValue, TxnResult, VersionedStore } from "@marigolddrift/store";

/** Maximum number of writes in a batch: the store accepts 32 entries per call, and a conditional write takes two. */
const maxBatchSize = 16;

/** Size of the values of a batch of several writes, so that a call gets through a slow link in time. */
const maxBatchBytes = 256 * 1024;

/** Maximum number of concurrent calls. */
const maxConcurrentCalls = 2;

/** Timeout for a call to the store. */
const callTimeoutMs = 1_000;

/** Pause after a failed call. */
const retryDelayMs = 100;

/** Time without a response after which the store is considered unavailable. */
const unavailableAfterMs = 600;

/** Time that a fail-fast write waits beyond that, so that the next one finds the store unavailable at once. */
const failFastSlackMs = 50;

/** Time after which callers may retry during a store outage: outages last seconds, and callers have few retries. */
const outageRetryAfterSeconds = 1.3;

/** A write that is applied only if the key still has the expected revision. */
export interface ConditionalPut {
    readonly key: string;
    /** Revision that the key must have; 0 if it must not exist. */
    readonly expected: number;
    readonly value: Buffer;
}

/** Result of a conditional write. */
export type PutResult =
    | { readonly kind: "written"; readonly revision: number; }
    /** The key had another revision; `current` is missing if the key does not exist. */
    | { readonly kind: "conflict"; readonly current: StoredValue | undefined; };

interface PendingWrite {
    readonly put: ConditionalPut;
    readonly progress: Progress;
    settled: boolean;
    resolve(result: PutResult): void;
    reject(err: unknown): void;
}

/**
 * Sends conditional writes in batches. A write whose result is unknown is sent again: a conflict with an identical
 * value means that the first attempt was applied, so every value must be unique.
 */
export class BatchWriter {
    /** Monotonic time at which the first call since the last response was sent. */
    private unansweredSince: number | undefined;
    private isFailing = false;
    private readonly waiting: PendingWrite[] = [];
    private calls = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly store: VersionedStore,
        private readonly batchDelayMs: number,
        private readonly log: Logger,
    ) {}

    /** Whether the store has not responded to writes for longer than the threshold. */
    get isUnavailable(): boolean {
        return this.unansweredSince !== undefined && performance.now() - this.unansweredSince > unavailableAfterMs;
    }

    /**
     * Fails with `not_durable` if the store is unavailable and other writes are pending, which detect its recovery.
     * Without any, the write is allowed, so that it probes the store.
     */
    checkAvailable(): void {
        const isProbed = this.calls > 0 || this.waiting.some(({ progress }) => !progress.isAborted);
        if (this.isUnavailable && isProbed) {
            throw notDurableError();
        }
    }

    /** Writes a value. After the deadline of the progress it no longer waits, but the write may still be applied. */
    async put(put: ConditionalPut, progress: Progress): Promise<PutResult> {
        const result = new Promise<PutResult>((resolve, reject) => {
            this.waiting.push({ put, progress, settled: false, resolve, reject });
        });
        this.schedule(this.isFailing ? retryDelayMs : this.batchDelayMs);
        return await progress.race(result);
    }

    /** Like {@link put}, but fails as soon as the store is unavailable; for writes that must precede a call. */
    async putFailFast(put: ConditionalPut, progress: Progress): Promise<PutResult> {
        this.checkAvailable();
        const failFast = progress.child(unavailableAfterMs + failFastSlackMs);
        try {
            return await this.put(put, failFast);
        }
        catch (err) {
            progress.throwIfAborted();
            throw failFast.isAborted ? notDurableError() : err;
        }
        finally {
            failFast.dispose();
        }
    }

    private schedule(afterMs: number): void {
        if (this.calls >= maxConcurrentCalls || this.timer !== undefined || this.waiting.length === 0) {
            return;
        }
        this.timer = setTimeout(() => {
            this.timer = undefined;
            const batch = this.takeBatch();
            if (batch.length > 0) {
                void this.sendBatch(batch);
            }
            this.schedule(this.batchDelayMs);
        }, afterMs);
    }

    /** Removes the next writes from the queue, at most one per key. */
    private takeBatch(): PendingWrite[] {
        const keys = new Set<string>();
        let bytes = 0;
        const batch: PendingWrite[] = [];
        const rest: PendingWrite[] = [];
        for (const write of this.waiting.splice(0)) {
            if (write.settled || write.progress.isAborted) {
                continue;
            }
            const size = write.put.value.length;
            const hasRoom = batch.length < maxBatchSize && (batch.length === 0 || bytes + size <= maxBatchBytes);
            const fits = hasRoom && !keys.has(write.put.key);
            (fits ? batch : rest).push(write);
            if (fits) {
                keys.add(write.put.key);
                bytes += size;
            }
        }
        this.waiting.push(...rest);
        return batch;
    }

    private async sendBatch(batch: readonly PendingWrite[]): Promise<void> {
        this.calls += 1;
        this.unansweredSince ??= performance.now();
        try {
            await this.send(batch);
        }
        finally {
            this.calls -= 1;
            this.schedule(this.isFailing ? retryDelayMs : this.batchDelayMs);
        }
    }

    /** Sends a batch once; writes that it does not settle are queued again. */
    private async send(batch: readonly PendingWrite[]): Promise<void> {
        if (batch.length === 0) {
            return;
        }
        const progress = new Progress(callTimeoutMs);
        try {
            const compares = batch.map(({ put }) => ({ key: put.key, revision: put.expected }));
            const puts = batch.map(({ put }) => ({ key: put.key, value: put.value }));
            const result = await progress.race(this.store.txn(compares, puts, progress));
            this.onAnswered();
            this.settle(batch, result);
        }
        catch (err) {
            this.onFailed(batch, asError(err));
        }
        finally {
            progress.dispose();
        }
    }

    private settle(batch: readonly PendingWrite[], result: TxnResult): void {
        const current = new Map((result.current ?? []).map(stored => [stored.key, stored]));
        for (const write of batch.filter(({ settled }) => !settled)) {
            if (result.succeeded) {
                resolveWrite(write, { kind: "written", revision: result.revision });
            }
            else {
                this.settleConflict(write, current.get(write.put.key));
            }
        }
    }

    /** One failed condition fails the whole batch, so writes whose own condition holds are sent again. */
    private settleConflict(write: PendingWrite, stored: StoredValue | undefined): void {
        if ((stored?.revision ?? 0) === write.put.expected) {
            this.waiting.push(write);
        }
        else if (stored?.value.equals(write.put.value)) {
            resolveWrite(write, { kind: "written", revision: stored.revision });
        }
        else {
            resolveWrite(write, { kind: "conflict", current: stored });
        }
    }

    private onAnswered(): void {
        if (this.isFailing) {
            const outageMs = Math.round(performance.now() - (this.unansweredSince ?? performance.now()));
            this.log.info("store writes regained", { awayMs: outageMs });
        }
        this.isFailing = false;
        this.unansweredSince = undefined;
    }

    private onFailed(batch: readonly PendingWrite[], err: Error): void {
        const unsettled = batch.filter(({ settled }) => !settled);
        if (err instanceof StoreRefusalError && !err.isRetryable) {
            this.onRejected(unsettled, err);
            return;
        }
        if (!this.isFailing) {
            this.log.warn("store writes lost", { error: err.message, writes: unsettled.length });
        }
        this.isFailing = true;
        this.waiting.unshift(...unsettled);
    }

    /** Sends the writes of a rejected batch one by one, so that an invalid write does not block the others. */
    private onRejected(unsettled: readonly PendingWrite[], err: StoreRefusalError): void {
        this.unansweredSince = undefined;
        this.log.error("store write rejected", { error: err.message, keys: unsettled.map(({ put }) => put.key) });
        if (unsettled.length === 1) {
            unsettled[0]!.settled = true;
            unsettled[0]!.reject(err);
            return;
        }
        unsettled.forEach(write => void this.send([write]));
    }
}

const resolveWrite = (write: PendingWrite, result: PutResult): void => {
    write.settled = true;
    write.resolve(result);
};

/** The error of a call that needs a durable record while the store is unavailable. */
export const notDurableError = (): ProblemError =>
    new ProblemError("not_durable", "notRun", "The store is away, and the call needs a durable record first.", {
        retryAfterSeconds: outageRetryAfterSeconds,
    });
