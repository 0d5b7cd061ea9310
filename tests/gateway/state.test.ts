import { Progress, silentLogger } from "@marigolddrift/common";
import { createTurn, Follower, GroupWriter, RelayStore, StoreArchive, TurnStore } from "@marigolddrift/gateway";
import type { TurnRecord } from "@marigolddrift/gateway";
import { HistoryGoneError, StoreError } from "@marigolddrift/store";
import type { RangeOptions, Snapshot, StoreChange, StoredValue, VersionedStore } from "@marigolddrift/store";
import { expect } from "earl";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";
import { waitUntil } from "../platform/deployment.js";

const write = async (store: FakeStore, key: string, value: string): Promise<void> => {
    await store.txn([], [{ key, value: Buffer.from(value) }]);
};

describe("follower", () => {
    it("should see all values, then changes and removals in order", async () => {
        const store = new FakeStore();
        await write(store, "x/1", "one");
        const seen: string[] = [];
        const follower = createFollower(store, seen);
        await waitUntil(() => seen.length === 1);
        await write(store, "x/2", "two");
        await write(store, "y/1", "other");
        await store.txn([], [], undefined, ["x/1"]);
        await waitUntil(() => seen.length === 3);
        expect(seen).toEqual(["all x/1", "put x/2", "removed x/1"]);
        follower.stop();
    });

    it("should start again from a snapshot when the history is gone", async () => {
        const store = new ForgetfulStore();
        const seen: string[] = [];
        const follower = createFollower(store, seen);
        await waitUntil(() => seen.length === 1);
        store.isGone = true;
        await write(store, "x/1", "one");
        await waitUntil(() => seen.length === 2);
        expect(seen).toEqual(["all ", "all x/1"]);
        follower.stop();
    });

    it("should get a long snapshot over a narrow link, although all that follow fetch it at once", async () => {
        const link = { freeAt: 0, fetched: 0 };
        const store = new NarrowStore(link);
        const peers = Array.from({ length: 10 }, () => ({ onRelayFailed: () => {}, ask: () => store.range("x/") }));
        const pick = (asked: ReadonlySet<unknown>) => peers.find(peer => !asked.has(peer)) as never;
        const followers = Array.from({ length: 10 }, () => {
            const seen: string[] = [];
            return { seen, follower: createFollower(new RelayStore(store, pick, silentLogger), seen) };
        });
        await waitUntil(() => followers.every(({ seen }) => seen.length === 1));
        expect(link.fetched).toEqual(10);
        followers.forEach(({ follower }) => follower.stop());
    });

    it("should read changes that come in quick succession with few calls, as when a whole fleet starts", async () => {
        const store = new FakeStore();
        const seen: string[] = [];
        const follower = createFollower(store, seen);
        await waitUntil(() => seen.length === 1);
        const before = store.reads;
        for (let index = 0; index < 40; index++) {
            await write(store, `x/${index}`, "here");
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        await waitUntil(() => seen.length === 41);
        expect(store.reads - before).toSatisfy(calls => calls <= 8);
        follower.stop();
    });

    it("should read the first snapshot soon although the first call stays silent, as after a power loss", async () => {
        const store = new SilentStore();
        store.silentCalls = 1;
        const seen: string[] = [];
        const startedAt = performance.now();
        const follower = createFollower(store, seen);
        await waitUntil(() => seen.includes("all "));
        expect(performance.now() - startedAt < 2_000).toEqual(true);
        follower.stop();
    });

    it("should see soon that a store is back which left a call silent meanwhile", async () => {
        const store = new SilentStore();
        const seen: string[] = [];
        const follower = createFollower(store, seen);
        await waitUntil(() => seen.length === 1);
        store.fault = "down";
        await write(store, "x/1", "one").catch(() => undefined);
        await waitUntil(() => seen.includes("lost"));
        store.silentCalls = 1;
        const silentAt = performance.now();
        store.fault = "none";
        await waitUntil(() => seen.includes("regained"));
        expect(performance.now() - silentAt < 2_000).toEqual(true);
        follower.stop();
    });

    it("should tell once that the store is lost, and once that it is back", async () => {
        const store = new FakeStore();
        const seen: string[] = [];
        const follower = createFollower(store, seen);
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
        follower.stop();
    });
});

/** Leaves some calls without an answer, as a store does that is cut off or comes back. */
class SilentStore extends FakeStore {
    silentCalls = 0;

    override async range(prefix: string): ReturnType<FakeStore["range"]> {
        await this.beSilent();
        return await super.range(prefix);
    }

    override async changes(...args: Parameters<FakeStore["changes"]>): ReturnType<FakeStore["changes"]> {
        await this.beSilent();
        return await super.changes(...args);
    }

    private async beSilent(): Promise<void> {
        if (this.silentCalls > 0) {
            this.silentCalls -= 1;
            await new Promise(() => {});
        }
    }
}

class ForgetfulStore extends FakeStore {
    isGone = false;

    override async changes(...args: Parameters<FakeStore["changes"]>): ReturnType<FakeStore["changes"]> {
        const batch = await super.changes(...args);
        if (this.isGone) {
            this.isGone = false;
            throw new HistoryGoneError(args[1]);
        }
        return batch;
    }
}

/** Answers one after the other, as over a link that a long answer fills for a while. */
class NarrowStore extends FakeStore {
    constructor(private readonly link: { freeAt: number; fetched: number; }) {
        super();
    }

    override async range(prefix: string, _?: Progress, options?: RangeOptions): Promise<Snapshot> {
        const now = performance.now();
        this.link.fetched += 1;
        this.link.freeAt = Math.max(now, this.link.freeAt) + 300;
        const parts = setInterval(() => options?.onBytes?.(), 100);
        await new Promise(resolve => setTimeout(resolve, this.link.freeAt - now));
        clearInterval(parts);
        return await super.range(prefix);
    }
}

const createFollower = (store: Pick<VersionedStore, "range" | "changes">, seen: string[]): Follower => {
    const follower = new Follower(
        store,
        "x/",
        {
            onSnapshot: (values: readonly StoredValue[]) => seen.push(`all ${values.map(({ key }) => key).join()}`),
            onChanges: (changes: readonly StoreChange[]) =>
                changes.forEach(change =>
                    seen.push(change.kind === "put" ? `put ${change.stored.key}` : `removed ${change.key}`)
                ),
            onLost: () => seen.push("lost"),
            onRegained: () => seen.push("regained"),
        },
        5_000,
        silentLogger,
    );
    follower.start();
    return follower;
};

describe("relay", () => {
    const answering = {
        ask: async () => ({ key: "k", value: Buffer.from("via peer"), revision: 1 }),
        onRelayFailed: () => {},
    } as never;
    const get = async (direct: Pick<VersionedStore, "get">): Promise<string | undefined> => {
        const relay = new RelayStore(direct as VersionedStore, () => answering, silentLogger);
        return (await relay.get("k", new Progress(2_000)))?.value.toString();
    };

    it("should ask a peer when the direct call fails", async () => {
        expect(await get({ get: () => Promise.reject(new StoreError("no", "turned away")) })).toEqual("via peer");
    });

    it("should find a peer that reaches the store while many are turned away", async () => {
        let refused = 0;
        const turnedAway = () => ({
            ask: async () => {
                refused += 1;
                throw new StoreError("unknown", "turned away, too");
            },
            onRelayFailed: () => {},
        });
        const peers = [turnedAway(), turnedAway(), answering] as never[];
        let calls = 0;
        const direct = {
            get: async () => {
                calls += 1;
                throw new StoreError("no", "turned away");
            },
        } as never;
        const pick = (except: ReadonlySet<unknown>) => peers.find(peer => !except.has(peer));
        const relay = new RelayStore(direct, pick, silentLogger);
        const read = async () => (await relay.get("k", new Progress(500)))?.value.toString();
        expect([await read(), refused, calls]).toEqual(["via peer", 2, 1]);
        peers.splice(0, 2);
        expect([await read(), calls]).toEqual(["via peer", 1]);
    });

    it("should ask a peer when the direct call stays silent", async () => {
        expect(await get({ get: () => new Promise(() => {}) })).toEqual("via peer");
    });

    it("should end the direct call once a peer has answered, so that no silent connection is held", async () => {
        let ended = false;
        const silent = (_: string, own: Progress): Promise<undefined> => {
            own.signal.addEventListener("abort", () => ended = true);
            return new Promise(() => {});
        };
        expect([await get({ get: silent }), ended]).toEqual(["via peer", true]);
    });

    it("should not ask a peer for what the store itself answered", async () => {
        expect(await get({ get: async () => undefined })).toEqual(undefined);
    });
});

describe("turns", () => {
    const turn = (id: string, previous?: TurnRecord, bytes = 0): TurnRecord =>
        createTurn(id, previous, Buffer.from(`${id} in ${"x".repeat(bytes)}`), Buffer.from(`${id} out\n`));
    const kept = (record: TurnRecord) => ({ turn: record, program: "p", keepMs: 60_000 });
    const createTurns = (store: FakeStore): TurnStore =>
        new TurnStore(new StoreArchive(store, new GroupWriter(store, 0, silentLogger), silentLogger), silentLogger);

    it("should give an instance that starts empty the whole conversation", async () => {
        const store = new FakeStore();
        const progress = new Progress(3_000);
        const writing = createTurns(store);
        const first = turn("t1");
        await writing.save(kept(first), progress);
        await writing.save(kept(turn("t2", first)), progress);
        const { history } = await createTurns(store).conversation({ id: "t2", program: "p" }, progress);
        expect(history.toString()).toEqual("t1 in t1 out\nt2 in t2 out\n");
        expect(store.reads).toEqual(1);
    });

    it("should not write a long conversation again with each turn", async () => {
        const store = new FakeStore();
        const progress = new Progress(3_000);
        const writing = createTurns(store);
        let last: TurnRecord | undefined;
        for (const id of ["t1", "t2", "t3", "t4"]) {
            last = turn(id, last, 20_000);
            await writing.save(kept(last), progress);
        }
        expect([last!.base, last!.tail.length < 45_000]).toEqual(["t2", true]);
        const { history } = await createTurns(store).conversation({ id: "t4", program: "p" }, progress);
        expect(history.toString().match(/t\d in/g)).toEqual(["t1 in", "t2 in", "t3 in", "t4 in"]);
    });

    it("should try again while the store is away, and say that it does not know when time runs out", async () => {
        const store = new FakeStore();
        await createTurns(store).save(kept(turn("t1")), new Progress(1_000));
        store.fault = "down";
        store.faultsLeft = 3;
        expect((await createTurns(store).conversation({ id: "t1", program: "p" }, new Progress(3_000))).last.id)
            .toEqual("t1");
        store.faultsLeft = Infinity;
        await expect(createTurns(store).conversation({ id: "t1", program: "p" }, new Progress(1_500))).toBeRejectedWith(
            "did not say",
        );
    });

    it("should be certain that a turn does not exist only by the store's word", async () => {
        await expect(createTurns(new FakeStore()).conversation({ id: "t9", program: "p" }, new Progress(1_000)))
            .toBeRejectedWith("No turn");
    });
});
