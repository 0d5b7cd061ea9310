/** One instance's way to a store that instances share. */
import type { Progress } from "@marigolddrift/common";
import { StoreError } from "@marigolddrift/store";
import type { Snapshot, StoredValue, TxnResult, VersionedStore } from "@marigolddrift/store";

import type { FakeStore } from "../fakeStore.js";

/** A way that can be cut, or answer with an older list. */
export class StorePath implements VersionedStore {
    isCut = false;
    /** Answer to reads that may be old; undefined for the present state. */
    oldList: readonly StoredValue[] | undefined;

    constructor(private readonly store: FakeStore) {}

    get(key: string): Promise<StoredValue | undefined> {
        return this.reach(() => this.store.get(key));
    }

    range(prefix: string, _progress: Progress, options: { mayBeStale?: boolean; } = {}): Promise<Snapshot> {
        return this.reach(async () => {
            const snapshot = await this.store.range(prefix);
            return options.mayBeStale === true && this.oldList !== undefined ?
                { ...snapshot, values: this.oldList } :
                snapshot;
        });
    }

    changes(...args: Parameters<FakeStore["changes"]>): ReturnType<FakeStore["changes"]> {
        return this.reach(() => this.store.changes(...args));
    }

    txn(...args: Parameters<FakeStore["txn"]>): Promise<TxnResult> {
        return this.reach(() => this.store.txn(...args));
    }

    private reach<T>(call: () => Promise<T>): Promise<T> {
        return this.isCut ? Promise.reject(new StoreError("no", "cut off")) : call();
    }
}

/** Key of a machine's entry in the list of members. */
export const keyOf = (machine: string): string => `marigolddrift/members/${machine}`;
