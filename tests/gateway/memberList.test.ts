import { Progress, silentLogger } from "@marigolddrift/common";
import { MemberRemoval, Peers, ShareLender } from "@marigolddrift/gateway";
import type { PeerAddress, PeerClient } from "@marigolddrift/gateway";
import type { StoredValue } from "@marigolddrift/store";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";
import { FakeStore } from "../fakeStore.js";
import { keyOf, StorePath } from "./storePath.js";

describe("a share that is lent before a member is added", () => {
    it("should be waited for until its lease has ended", () =>
        withClock(async clock => {
            const names = ["b"];
            const peers = {
                version: 1,
                isSettled: true,
                regions: () => ["north"],
                namesInRegion: () => names,
            };
            const local = { instance: "a-1", region: "north", address: () => "a" };
            const duties = { firstCoordinator: () => "b" };
            const lender = new ShareLender(local, duties, peers, () => true, () => 0);
            expect(lender.countsWith("b", performance.now())).toEqual(true);
            const now = performance.now();
            lender.accept("b", { issuer: 1, until: now + 400, leaseMs: 400 }, now, now);
            names.push("c");
            peers.version += 1;
            expect(lender.countsWith("c", performance.now())).toEqual(false);
            clock.tick(399);
            expect(lender.countsWith("c", performance.now())).toEqual(false);
            clock.tick(1);
            expect(lender.countsWith("c", performance.now())).toEqual(true);
            expect(lender.countsWith("d", performance.now())).toEqual(false);
        }));
});

// Guards against an instance that confirms another one and then forgets it, by a list that was read before that one was registered (QUOTA).
describe("a list that was read before an instance said that it is registered", () => {
    it("should not remove that instance", async () => {
        const store = new FakeStore();
        const address = (instance: string, port: number): PeerAddress => ({
            instance,
            host: "127.0.0.1",
            port,
            zone: "north-a",
            region: "north",
            keepsTurns: false,
        });
        const peers = new Peers("a", () => address("a-1", 1), new StorePath(store), silentLogger);
        const progress = new Progress(1_000);
        const reading = peers.reload(progress);
        peers.add("c", address("c-1", 3));
        await reading;
        expect(peers.namesInRegion("north")).toEqual(["127.0.0.1:3"]);
        await new Promise(resolve => setTimeout(resolve, 2));
        await peers.reload(progress);
        expect(peers.namesInRegion("north")).toEqual([]);
        progress.dispose();
        peers.stop();
    });
});

describe("the entry of an instance", () => {
    const minuteMs = 60_000;

    const withMember = (
        test: (member: Peers, path: StorePath, store: FakeStore, tick: (ms: number) => Promise<void>) => Promise<void>,
    ) => withClock(async clock => {
        const store = new FakeStore();
        const path = new StorePath(store);
        const address = (): PeerAddress => ({
            instance: "a-1",
            host: "127.0.0.1",
            port: 1,
            zone: "north-a",
            region: "north",
            keepsTurns: false,
        });
        const peers = new Peers("a", address, path, silentLogger, { recognition: { isRemover: () => false } });
        peers.start();
        await clock.tickAsync(1_000);
        expect(peers.isSettled).toEqual(true);
        try {
            await test(peers, path, store, async ms => void await clock.tickAsync(ms));
        }
        finally {
            peers.stop();
        }
    });

    const entryOf = (store: FakeStore): Record<string, unknown> =>
        JSON.parse(store.state.get(keyOf("a"))!.value.toString()) as Record<string, unknown>;

    it("should be freed of a doubt by an instance that reads the list, which stays settled", () =>
        withMember(async (member, _, store, tick) => {
            store.state.beginRevision();
            store.state.put(keyOf("a"), Buffer.from(JSON.stringify({ ...entryOf(store), doubted: true })), "0");
            await tick(10_000);
            expect(entryOf(store)["doubted"] ?? false).toEqual(false);
            expect(member.isSettled).toEqual(true);
        }));

    it("should be written again if it was removed, by an instance that is not settled until it is recognized again", () =>
        withMember(async (member, _, store, tick) => {
            store.state.beginRevision();
            store.state.remove(keyOf("a"));
            store.state.beginRevision();
            const other = {
                instance: "b-1",
                host: "127.0.0.1",
                port: 9,
                zone: "north-a",
                region: "north",
                recognized: true,
            };
            store.state.put(keyOf("b"), Buffer.from(JSON.stringify(other)), "0");
            await tick(3 * minuteMs);
            expect(entryOf(store)["recognized"]).toEqual(false);
            expect(member.isSettled).toEqual(false);
        }));

    it("should not be believed by an instance that has not read the list for an hour", () =>
        withMember(async (member, path, _, tick) => {
            path.isCut = true;
            await tick(59 * minuteMs);
            expect(member.isSettled).toEqual(true);
            await tick(2 * minuteMs);
            expect(member.isSettled).toEqual(false);
            path.isCut = false;
            await tick(10_000);
            expect(member.isSettled).toEqual(true);
        }));
});

// Guards against shares that are lost, and new instances that wait, for as long as a machine that is gone stands in the list.
describe("a member that is gone for good", () => {
    const minuteMs = 60_000;

    const check = (takesDoubtOut: boolean): Promise<boolean> =>
        new Promise((resolve, reject) => {
            void withClock(async clock => {
                const store = new FakeStore();
                const entry = { instance: "b-1", host: "127.0.0.1", port: 9, zone: "north-a", region: "north" };
                const put = (): void => {
                    store.state.beginRevision();
                    store.state.put(keyOf("b"), Buffer.from(JSON.stringify(entry)), "0");
                };
                put();
                const progress = new Progress(1_000);
                const replace = (stored: StoredValue, value: object) =>
                    store.txn([stored], [{ key: stored.key, value: Buffer.from(JSON.stringify(value)) }]);
                const removal = new MemberRemoval({
                    members: {
                        read: async () => (await store.range("marigolddrift/members/")).values,
                        doubt: async (stored, known) => (await replace(stored, { ...known, doubted: true })).succeeded,
                        removeUnchanged: async stored =>
                            (await store.txn([stored], [], progress, [stored.key])).succeeded,
                    },
                    fronts: () =>
                        new Map([[
                            keyOf("b"),
                            { ask: () => Promise.reject(new Error("gone")) } as unknown as PeerClient,
                        ]]),
                    isResponsible: () => true,
                    log: silentLogger,
                });
                for (let minute = 0; minute < 75; minute++) {
                    await clock.tickAsync(minuteMs);
                    const isDoubted = store.state.get(keyOf("b"))?.value.toString().includes("doubted") === true;
                    if (minute < 60) {
                        expect(store.state.get(keyOf("b"))).not.toEqual(undefined);
                    }
                    if (isDoubted && takesDoubtOut && minute % 30 === 0) {
                        put();
                    }
                }
                removal.close();
                progress.dispose();
                resolve(store.state.get(keyOf("b")) === undefined);
            }).catch(reject);
        });

    it("should be removed if it has not taken the doubt out for longer than it may lend without reading", async () => {
        expect(await check(false)).toEqual(true);
    });

    it("should stay if it takes the doubt out", async () => {
        expect(await check(true)).toEqual(false);
    });
});
