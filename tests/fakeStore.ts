/** A key-value service in memory, whose faults tests set call by call. */
import { StoreError } from "@marigolddrift/platform";
import type { Compare, Put, Store, StoredValue, TxnResult } from "@marigolddrift/platform";
import { KeyValueState } from "@marigolddrift/standins";

/** What happens to the next calls. */
export type StoreFault = "none" | "down" | "loseReply";

/** A store without a network. */
export class FakeStore implements Store {
    readonly state = new KeyValueState();
    fault: StoreFault = "none";
    /** Number of calls after which the fault ends. */
    faultsLeft = Infinity;
    writes = 0;
    reads = 0;

    async get(key: string): Promise<StoredValue | undefined> {
        return this.run("read", () => {
            const kv = this.state.get(key);
            return kv === undefined ? undefined : { key, value: kv.value, revision: kv.modRevision };
        });
    }

    async range(prefix: string): Promise<StoredValue[]> {
        return this.run(
            "read",
            () =>
                this.state.range(prefix, `${prefix}\uffff`).map(kv => ({
                    key: kv.key,
                    value: kv.value,
                    revision: kv.modRevision,
                })),
        );
    }

    async txn(compares: readonly Compare[], puts: readonly Put[]): Promise<TxnResult> {
        return this.run("write", () => {
            const succeeded = compares.every(({ key, revision }) =>
                (this.state.get(key)?.modRevision ?? 0) === revision
            );
            if (succeeded) {
                this.state.beginRevision();
                puts.forEach(({ key, value, lease }) => this.state.put(key, value, lease ?? "0"));
            }
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
