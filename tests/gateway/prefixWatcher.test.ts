import { silentLogger } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";
import { PrefixWatcher, RelayStore } from "@marigolddrift/gateway";
import { storeSilenceTimeoutMs } from "@marigolddrift/platform";
import { HistoryGoneError } from "@marigolddrift/store";
import type { RangeOptions, Snapshot, StoreChange, StoredValue, VersionedStore } from "@marigolddrift/store";
import { expect } from "earl";
import { describe, it } from "node:test";

import { baseBounds, grownBounds } from "../bounds.js";
import { FakeStore } from "../fakeStore.js";
import { waitUntil } from "../platform/deployment.js";

const defaultSilenceMs = 5_000;

const write = async (store: FakeStore, key: string, value: string): Promise<void> => {
    await store.txn([], [{ key, value: Buffer.from(value) }]);
};

describe("prefix watcher", () => {
    it("should report all values, then changes and removals in order", async () => {
        const store = new FakeStore();
        await write(store, "x/1", "one");
        const seen: string[] = [];
        const watcher = createWatcher(store, seen);
        await waitUntil(() => seen.length === 1);
        await write(store, "x/2", "two");
        await write(store, "y/1", "other");
        await store.txn([], [], undefined, ["x/1"]);
        await waitUntil(() => seen.length === 3);
        expect(seen).toEqual(["all x/1", "put x/2", "removed x/1"]);
        watcher.stop();
    });

    it("should read a new snapshot when the history has been compacted", async () => {
        const store = new CompactedStore();
        const seen: string[] = [];
        const watcher = createWatcher(store, seen);
        await waitUntil(() => seen.length === 1);
        store.isCompacted = true;
        await write(store, "x/1", "one");
        await waitUntil(() => seen.length === 2);
        expect(seen).toEqual(["all ", "all x/1"]);
        watcher.stop();
    });

    it("should get a long snapshot over a narrow link that many watchers use at once", async () => {
        const link = { freeAt: 0, fetched: 0 };
        const store = new NarrowStore(link);
        const peers = Array.from({ length: 10 }, () => ({ onRelayFailed: () => {}, ask: () => store.range("x/") }));
        const pick = (excluded: ReadonlySet<unknown>) => peers.find(peer => !excluded.has(peer)) as never;
        const watchers = Array.from({ length: 10 }, () => {
            const seen: string[] = [];
            return { seen, watcher: createWatcher(new RelayStore(store, pick, silentLogger), seen) };
        });
        await waitUntil(() => watchers.every(({ seen }) => seen.length === 1));
        expect(link.fetched).toEqual(10);
        watchers.forEach(({ watcher }) => watcher.stop());
    });

    it("should get long changes that arrive slowly with one call", async () => {
        const store = new SlowStore();
        const seen: string[] = [];
        const watcher = createWatcher(store, seen, 2_500);
        try {
            await waitUntil(() => seen.length === 1);
            await write(store, "x/1", "one");
            await waitUntil(() => seen.includes("put x/1"), 10_000);
            expect([seen, store.transfers]).toEqual([["all ", "put x/1"], 1]);
        }
        finally {
            watcher.stop();
        }
    });

    it("should read changes in quick succession with few calls, as when a whole fleet starts", async () => {
        const store = new FakeStore();
        const seen: string[] = [];
        const watcher = createWatcher(store, seen);
        await waitUntil(() => seen.length === 1);
        const before = store.reads;
        for (let index = 0; index < 40; index++) {
            await write(store, `x/${index}`, "here");
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        await waitUntil(() => seen.length === 41);
        expect(store.reads - before).toSatisfy(calls => calls <= 8);
        watcher.stop();
    });

    it("should soon read the first snapshot when the first call gets no response, as after a power loss", async () => {
        const store = new UnresponsiveStore();
        store.unansweredCalls = 1;
        const seen: string[] = [];
        const startedAt = performance.now();
        const watcher = createWatcher(store, seen);
        await waitUntil(() => seen.includes("all "));
        expect(performance.now() - startedAt < 2_000).toEqual(true);
        watcher.stop();
    });

    // Guards against CONFIG late at an instance whose connection to the store went silent without a reset.
    for (const bounds of [baseBounds, grownBounds]) {
        it(`should read a change within ${bounds.contactMs} ms after its connection went silent`, async () => {
            const store = new UnresponsiveStore();
            const seen: string[] = [];
            const watcher = createWatcher(store, seen, storeSilenceTimeoutMs({ bounds }));
            try {
                await waitUntil(() => seen.length === 1);
                store.unansweredCalls = 1;
                const silentAt = performance.now();
                await write(store, "x/1", "one");
                await waitUntil(() => seen.includes("put x/1"), 2 * bounds.contactMs);
                expect(performance.now() - silentAt).toSatisfy(ms => ms <= bounds.contactMs);
            }
            finally {
                watcher.stop();
            }
        });
    }

    it("should soon detect the recovery of a store that left a call without a response", async () => {
        const store = new UnresponsiveStore();
        const seen: string[] = [];
        const watcher = createWatcher(store, seen);
        await waitUntil(() => seen.length === 1);
        store.fault = "down";
        await write(store, "x/1", "one").catch(() => undefined);
        await waitUntil(() => seen.includes("lost"));
        store.unansweredCalls = 1;
        const recoveredAt = performance.now();
        store.fault = "none";
        await waitUntil(() => seen.includes("regained"));
        expect(performance.now() - recoveredAt < 2_000).toEqual(true);
        watcher.stop();
    });

    it("should report a store outage once, and soon detect the recovery", async () => {
        const store = new FakeStore();
        const seen: string[] = [];
        const watcher = createWatcher(store, seen);
        await waitUntil(() => seen.length === 1);
        store.fault = "down";
        await write(store, "x/1", "one").catch(() => undefined);
        await waitUntil(() => seen.length === 2);
        await new Promise(resolve => setTimeout(resolve, 400));
        store.fault = "none";
        const backAt = performance.now();
        await waitUntil(() => seen.includes("regained"));
        expect(performance.now() - backAt < 500).toEqual(true);
        expect(seen.filter(text => text === "lost").length).toEqual(1);
        watcher.stop();
    });
});

/** Leaves some calls without a response, like a store that is cut off or recovering. */
class UnresponsiveStore extends FakeStore {
    unansweredCalls = 0;

    override async range(prefix: string): ReturnType<FakeStore["range"]> {
        await this.maybeHang();
        return await super.range(prefix);
    }

    override async changes(...args: Parameters<FakeStore["changes"]>): ReturnType<FakeStore["changes"]> {
        await this.maybeHang();
        const batch = await super.changes(...args);
        await this.maybeHang();
        return batch;
    }

    private async maybeHang(): Promise<void> {
        if (this.unansweredCalls > 0) {
            this.unansweredCalls -= 1;
            await new Promise(() => {});
        }
    }
}

/** Takes longer to return changes than a call without data may take. */
class SlowStore extends FakeStore {
    transfers = 0;

    override async changes(...args: Parameters<VersionedStore["changes"]>): ReturnType<FakeStore["changes"]> {
        const batch = await super.changes(args[0], args[1], args[2], args[3]);
        if (batch.changes.length > 0) {
            this.transfers += 1;
            const dataTimer = setInterval(() => args[4]?.onBytes?.(), 100);
            await args[3].sleep(3_500).finally(() => clearInterval(dataTimer));
        }
        return batch;
    }
}

class CompactedStore extends FakeStore {
    isCompacted = false;

    override async changes(...args: Parameters<FakeStore["changes"]>): ReturnType<FakeStore["changes"]> {
        const batch = await super.changes(...args);
        if (this.isCompacted) {
            this.isCompacted = false;
            throw new HistoryGoneError(args[1]);
        }
        return batch;
    }
}

/** Returns snapshots one after the other, as over a link that a long response occupies for a while. */
class NarrowStore extends FakeStore {
    constructor(private readonly link: { freeAt: number; fetched: number; }) {
        super();
    }

    override async range(prefix: string, _?: Progress, options?: RangeOptions): Promise<Snapshot> {
        const now = performance.now();
        this.link.fetched += 1;
        this.link.freeAt = Math.max(now, this.link.freeAt) + 300;
        const dataTimer = setInterval(() => options?.onBytes?.(), 100);
        await new Promise(resolve => setTimeout(resolve, this.link.freeAt - now));
        clearInterval(dataTimer);
        return await super.range(prefix);
    }
}

const createWatcher = (
    store: Pick<VersionedStore, "range" | "changes">,
    seen: string[],
    maxSilenceMs = defaultSilenceMs,
): PrefixWatcher => {
    const watcher = new PrefixWatcher(
        store,
        "x/",
        {
            onSnapshot: (values: readonly StoredValue[]) => seen.push(`all ${values.map(({ key }) => key).join()}`),
            onChanges: (changes: readonly StoreChange[]) =>
                changes.forEach(change =>
                    seen.push(change.kind === "put" ? `put ${change.stored.key}` : `removed ${change.key}`)
                ),
            onDisconnected: () => seen.push("lost"),
            onReconnected: () => seen.push("regained"),
        },
        maxSilenceMs,
        silentLogger,
    );
    watcher.start();
    return watcher;
};
