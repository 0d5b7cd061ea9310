/** An in-memory fake of the key-value store with fault injection. */
import type { Progress } from "@marigolddrift/common";
import { KeyValueState } from "@marigolddrift/standins";
import type { KeyEvent, KeyValue } from "@marigolddrift/standins";
import { StoreError } from "@marigolddrift/store";
import type {
    ChangeBatch,
    Compare,
    Put,
    Snapshot,
    Store,
    StoreChange,
    StoredValue,
    TxnResult,
} from "@marigolddrift/store";

const toStored = (kv: KeyValue): StoredValue => ({ key: kv.key, value: kv.value, revision: kv.modRevision });

const toChange = ({ type, kv }: KeyEvent): StoreChange =>
    type === "PUT" ?
        { kind: "put", stored: toStored(kv) } :
        { kind: "removed", key: kv.key, revision: kv.modRevision };

/** Fault that is injected into the next calls. */
export type StoreFault = "none" | "down" | "loseReply";

/** Store in the test's process. */
export class FakeStore implements Store {
    readonly state = new KeyValueState();
    fault: StoreFault = "none";
    /** Number of calls that still get the fault. */
    faultsLeft = Infinity;
    writes = 0;
    reads = 0;

    async get(key: string): Promise<StoredValue | undefined> {
        return this.run("read", () => {
            const kv = this.state.get(key);
            return kv === undefined ? undefined : toStored(kv);
        });
    }

    async range(prefix: string): Promise<Snapshot> {
        return this.run("read", () => ({
            values: this.state.range(prefix, `${prefix}\uffff`).map(toStored),
            revision: this.state.revision,
        }));
    }

    async changes(prefix: string, revision: number, waitMs: number, progress: Progress): Promise<ChangeBatch> {
        const changesSince = () =>
            this.state.eventsSince(revision + 1).filter(event => event.kv.key.startsWith(prefix)).map(toChange);
        if (changesSince().length === 0 && waitMs > 0) {
            await this.nextChange(prefix, waitMs);
            progress.throwIfAborted();
        }
        return this.run("read", () => ({ changes: changesSince(), revision: this.state.revision }));
    }

    async txn(
        compares: readonly Compare[],
        puts: readonly Put[],
        _progress?: Progress,
        removals: readonly string[] = [],
    ): Promise<TxnResult> {
        return this.run("write", () => {
            const succeeded = compares.every(({ key, revision }) =>
                (this.state.get(key)?.modRevision ?? 0) === revision
            );
            if (!succeeded) {
                const current = compares.map(({ key }) => this.state.get(key)).filter(kv => kv !== undefined);
                return { succeeded, revision: this.state.revision, current: current.map(toStored) };
            }
            this.state.beginRevision();
            puts.forEach(({ key, value, lease }) => this.state.put(key, value, lease ?? "0"));
            removals.forEach(key => this.state.remove(key));
            return { succeeded, revision: this.state.revision };
        });
    }

    async grantLease(ttlSeconds: number): Promise<string> {
        return this.run("write", () => this.state.grant(ttlSeconds));
    }

    async keepAlive(lease: string): Promise<boolean> {
        return this.run("write", () => this.state.keepAlive(lease) > 0);
    }

    async revokeLease(lease: string): Promise<void> {
        return this.run("write", () => this.state.revoke(lease));
    }

    async watch(_prefix: string, _onChange: (value: StoredValue) => void, signal: AbortSignal): Promise<void> {
        await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve()));
    }

    private async nextChange(prefix: string, waitMs: number): Promise<void> {
        await new Promise<void>(resolve => {
            const timer = setTimeout(() => done(), waitMs);
            const unsubscribe = this.state.subscribe(event => event.kv.key.startsWith(prefix) && done());
            const done = (): void => {
                clearTimeout(timer);
                unsubscribe();
                resolve();
            };
        });
    }

    private async run<T>(kind: "read" | "write", action: () => T): Promise<T> {
        this.state.expireLeases();
        this.writes += kind === "write" ? 1 : 0;
        this.reads += kind === "read" ? 1 : 0;
        const fault = this.faultsLeft > 0 ? this.fault : "none";
        this.faultsLeft -= fault === "none" ? 0 : 1;
        if (fault === "down") {
            throw new StoreError("no", "the store is down");
        }
        const result = action();
        if (fault === "loseReply") {
            throw new StoreError("unknown", "the reply was lost");
        }
        return result;
    }
}
