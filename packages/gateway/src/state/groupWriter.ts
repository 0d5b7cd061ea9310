/** Writes that wait for the store share its calls. */
import { asError, ProblemError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { Put, StoredValue, TxnResult, VersionedStore } from "@marigolddrift/store";

/** Writes that one call to the store carries. */
const maxGroup = 32;

/** Calls under way at a time. */
const maxCalls = 2;

/** Time that the store may take for one call, in milliseconds. */
const callTimeoutMs = 700;

/** Pause after a call that failed, in milliseconds. */
const retryMs = 100;

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
    resolve(result: PutResult): void;
    reject(err: unknown): void;
}

/**
 * Groups conditional writes. After an unknown result a write is sent again: a conflict with the very same value means
 * that it had been applied, so every value must be unique.
 */
export class GroupWriter {
    /** Time of the monotonic clock at which the store last answered a write, in milliseconds. */
    private lastSuccessAt = performance.now();
    private failing = false;
    private readonly waiting: Entry[] = [];
    private calls = 0;
    private retryTimer: NodeJS.Timeout | undefined;

    constructor(
        private readonly store: VersionedStore,
        private readonly gatherMs: number,
        private readonly log: Logger,
    ) {}

    /** Milliseconds for which writes have failed; 0 if the last one succeeded. */
    get failingMs(): number {
        return this.failing ? performance.now() - this.lastSuccessAt : 0;
    }

    /** Writes a value; waits no longer than the progress allows, after which the write may still be applied. */
    async put(put: ConditionalPut, progress: Progress): Promise<PutResult> {
        const result = new Promise<PutResult>((resolve, reject) => {
            this.waiting.push({ put, progress, resolve, reject });
        });
        this.schedule();
        return await progress.race(result);
    }

    private schedule(): void {
        if (this.calls >= maxCalls || this.retryTimer !== undefined) {
            return;
        }
        this.retryTimer = setTimeout(() => {
            this.retryTimer = undefined;
            this.sendNext();
        }, this.failing ? retryMs : this.gatherMs);
    }

    private sendNext(): void {
        const group = this.takeGroup();
        if (group.length > 0) {
            this.calls += 1;
            void this.send(group);
        }
    }

    /** The next writes, at most one of each key. */
    private takeGroup(): Entry[] {
        const keys = new Set<string>();
        const group: Entry[] = [];
        const rest: Entry[] = [];
        for (const entry of this.waiting.splice(0)) {
            if (entry.progress.signal.aborted) {
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

    private async send(group: readonly Entry[]): Promise<void> {
        const progress = new Progress(callTimeoutMs);
        try {
            const compares = group.map(({ put }) => ({ key: put.key, revision: put.expected }));
            const puts: Put[] = group.map(({ put }) => ({ key: put.key, value: put.value }));
            const result = await progress.race(this.store.txn(compares, puts, progress));
            this.onAnswered();
            this.settle(group, result);
        }
        catch (err) {
            this.onFailed(asError(err));
            this.waiting.unshift(...group);
        }
        finally {
            progress.dispose();
            this.calls -= 1;
            if (this.waiting.length > 0) {
                this.schedule();
            }
        }
    }

    private settle(group: readonly Entry[], result: TxnResult): void {
        if (result.succeeded) {
            group.forEach(entry => entry.resolve({ kind: "written", revision: result.revision }));
            return;
        }
        const current = new Map((result.current ?? []).map(stored => [stored.key, stored]));
        for (const entry of group) {
            this.settleConflict(entry, current.get(entry.put.key));
        }
    }

    /** One failed condition fails a whole group: those whose own condition holds are sent again. */
    private settleConflict(entry: Entry, stored: StoredValue | undefined): void {
        if ((stored?.revision ?? 0) === entry.put.expected) {
            this.waiting.push(entry);
        }
        else if (stored?.value.equals(entry.put.value)) {
            entry.resolve({ kind: "written", revision: stored.revision });
        }
        else {
            entry.resolve({ kind: "conflict", current: stored });
        }
    }

    private onAnswered(): void {
        if (this.failing) {
            this.log.info("store writes regained", { awayMs: Math.round(this.failingMs) });
        }
        this.failing = false;
        this.lastSuccessAt = performance.now();
    }

    private onFailed(err: Error): void {
        if (!this.failing) {
            this.log.warn("store writes lost", { error: err.message });
        }
        this.failing = true;
    }
}

/** The error of a call that needs a durable record while the store is away. */
export const notDurable = (detail: string, retryAfterSeconds: number): ProblemError =>
    new ProblemError("not_durable", "notRun", detail, { retryAfterSeconds });
