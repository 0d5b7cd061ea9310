import { Progress, silentLogger } from "@marigolddrift/common";
import { ChangeFeed, Duties, PrefixWatcher, RegionalStoreReader } from "@marigolddrift/gateway";
import type { PeerRequest } from "@marigolddrift/gateway";
import { HistoryGoneError } from "@marigolddrift/store";
import type { ChangeBatch, Snapshot, StoredValue, VersionedStore } from "@marigolddrift/store";
import { expect } from "earl";
import { randomBytes } from "node:crypto";
import { describe, it } from "node:test";

import { grownBounds } from "../bounds.js";
import { FakeStore } from "../fakeStore.js";
import { waitUntil } from "../platform/deployment.js";

const prefix = "config";
const silenceMs = 2_000;

/** Longer than a change may take: the bound must hold whatever wait the watcher asks for. */
const longSilenceMs = 7_500;

/** A store that counts the bytes of the values that it returns as changes. */
class CountingStore extends FakeStore {
    bytesSent = 0;

    override async changes(...args: Parameters<FakeStore["changes"]>): Promise<ChangeBatch> {
        const batch = await super.changes(...args);
        batch.changes.forEach(change => this.bytesSent += change.kind === "put" ? change.stored.value.length : 0);
        return batch;
    }
}

/** One instance's access to the shared store, which can go silent: calls then get no response and no error. */
class MemberStore implements Pick<VersionedStore, "range" | "changes"> {
    isCutOff = false;

    constructor(private readonly store: FakeStore) {}

    async range(prefix: string, progress: Progress): Promise<Snapshot> {
        return await this.receive(await this.store.range(prefix), progress);
    }

    async changes(...args: Parameters<FakeStore["changes"]>): Promise<ChangeBatch> {
        return await this.receive(await this.store.changes(...args), args[3]);
    }

    private async receive<T>(response: T, progress: Progress): Promise<T> {
        if (this.isCutOff) {
            await progress.sleep(60_000);
        }
        return response;
    }
}

interface RegionMember {
    readonly reader: RegionalStoreReader;
    readonly store: MemberStore;
    readonly watcher: PrefixWatcher;
    /** The latest value that the instance has read. */
    value: string;
    /** How the instance responds to its peers. */
    mode: "answers" | "silent" | "down";
}

/** Creates instances of a region that watch the same store and call each other in memory. */
const createRegion = (store: FakeStore, size: number, maxSilenceMs: number): Map<string, RegionMember> => {
    const members = new Map<string, RegionMember>();
    const names = Array.from({ length: size }, (_, index) => `front-${index}`);
    const ask = async (name: string, request: PeerRequest, progress: Progress): Promise<unknown> => {
        const member = members.get(name)!;
        if (request.kind !== "followed" || member.mode === "down") {
            throw new Error("the peer is down");
        }
        const response = await progress.race(
            member.reader.readForPeer(prefix, request.revision, request.waitMs, progress),
        );
        if (member.mode === "silent") {
            await progress.sleep(60_000);
        }
        return response;
    };
    const peer = (name: string) => ({
        name,
        isConnected: true,
        ask: (request: PeerRequest, progress: Progress) => ask(name, request, progress),
    });
    for (const name of names) {
        const peers = {
            version: 0,
            namesInRegion: () => names.filter(other => other !== name),
            getByName: peer,
            isReachable: () => true,
        } as never;
        const feed = new ChangeFeed();
        const localPeer = { instance: name, region: "r", address: () => name };
        const memberStore = new MemberStore(store);
        const reader = new RegionalStoreReader(
            localPeer,
            memberStore,
            new Duties(localPeer, peers),
            peers,
            feed,
            grownBounds.configApplyMs,
            silentLogger,
        );
        const recordValue = ({ value }: StoredValue): void => void (members.get(name)!.value = value.toString());
        const watcher = new PrefixWatcher(
            reader,
            prefix,
            {
                onSnapshot: values => values.forEach(recordValue),
                onChanges: changes => changes.forEach(change => change.kind === "put" && recordValue(change.stored)),
                onDisconnected: () => {},
                onReconnected: () => {},
            },
            maxSilenceMs,
            silentLogger,
            feed,
        );
        members.set(name, { reader, store: memberStore, watcher, value: "", mode: "answers" });
    }
    return members;
};

const withRegion = async (
    size: number,
    test: (region: Map<string, RegionMember>, store: CountingStore) => Promise<void>,
    maxSilenceMs = silenceMs,
): Promise<void> => {
    const store = new CountingStore();
    await write(store, "v1");
    const region = createRegion(store, size, maxSilenceMs);
    region.forEach(({ watcher }) => watcher.start());
    try {
        await waitUntil(() => allHave(region, "v1"));
        await new Promise(resolve => setTimeout(resolve, 50));
        await test(region, store);
    }
    finally {
        region.forEach(({ watcher }) => watcher.stop());
    }
};

const write = (store: FakeStore, value: string) => store.txn([], [{ key: prefix, value: Buffer.from(value) }]);
const allHave = (region: ReadonlyMap<string, RegionMember>, value: string): boolean =>
    [...region.values()].every(member => member.value === value);

/** Like a configuration with many routes: long and repetitive. */
const longText = Array.from({ length: 1_600 }, () => `{"prefix":"/${randomBytes(8).toString("hex")}/","kind":"safe"}`)
    .join();

describe("store reads within a region", () => {
    it("should read a long configuration only a few times for many instances", () =>
        withRegion(30, async (region, store) => {
            const startedAt = performance.now();
            await write(store, longText);
            await waitUntil(() => allHave(region, longText));
            expect(performance.now() - startedAt).toSatisfy(ms => ms < 1_500);
            expect(store.bytesSent).toSatisfy(bytes => bytes <= 3 * longText.length);
        }));

    it("should take changes in time although two of the three leading instances do not respond", () =>
        withRegion(8, async (region, store) => {
            const leaders = [...region.values()].filter(({ reader }) => reader.readsDirectly);
            expect(leaders.length).toEqual(3);
            leaders.slice(0, 2).forEach(member => member.mode = "silent");
            const startedAt = performance.now();
            await write(store, "v2");
            await waitUntil(() => allHave(region, "v2"));
            expect(performance.now() - startedAt).toSatisfy(ms => ms < 1_000);
        }));

    // Guards against CONFIG late at instances that are in touch, because those that lead their region are not.
    for (const fault of ["cut off from the store", "silent"] as const) {
        it(`should take a change in time although all leading instances are ${fault}`, () => {
            return withRegion(12, async (region, store) => {
                const leaders = [...region.values()].filter(({ reader }) => reader.readsDirectly);
                expect(leaders.length).toEqual(3);
                const others = [...region.values()].filter(member => !leaders.includes(member));
                for (const leader of leaders) {
                    leader.store.isCutOff = fault === "cut off from the store";
                    leader.mode = fault === "silent" ? "silent" : "answers";
                }
                const changedAt = performance.now();
                await write(store, "v2");
                await waitUntil(() => others.every(({ value }) => value === "v2"), 2 * grownBounds.configApplyMs);
                expect(performance.now() - changedAt).toSatisfy(ms => ms <= grownBounds.configApplyMs);
            }, longSilenceMs);
        });
    }

    it("should read from the store directly when no peer responds", () =>
        withRegion(8, async (region, store) => {
            region.forEach(member => member.mode = "down");
            await new Promise(resolve => setTimeout(resolve, silenceMs));
            const before = store.reads;
            await write(store, "v2");
            await waitUntil(() => allHave(region, "v2"));
            await new Promise(resolve => setTimeout(resolve, 500));
            expect(store.reads - before).toSatisfy(reads => reads <= 24);
        }));
});

describe("change feed", () => {
    it("should reject revisions that are no longer buffered, and reads while the store is unavailable", async () => {
        const feed = new ChangeFeed();
        const progress = new Progress(1_000);
        feed.onSnapshot(10);
        feed.onChanges([{ kind: "removed", key: "a", revision: 12 }], 12);
        expect((await feed.next(10, 10, progress)).changes.length).toEqual(1);
        expect(await feed.next(12, 10, progress)).toEqual({ changes: [], revision: 12 });
        await expect(feed.next(9, 10, progress)).toBeRejectedWith(HistoryGoneError);
        const value = Buffer.alloc(3 * 1024 * 1024);
        const largeChange = (revision: number) => ({ kind: "put" as const, stored: { key: "a", value, revision } });
        feed.onChanges([largeChange(13), largeChange(14)], 14);
        expect((await feed.next(13, 10, progress)).changes.length).toEqual(1);
        await expect(feed.next(12, 10, progress)).toBeRejectedWith(HistoryGoneError);
        const waiting = feed.next(14, 5_000, progress);
        feed.onDisconnected();
        await expect(waiting).toBeRejectedWith("away");
        feed.onChanges([], 15);
        expect((await feed.next(14, 10, progress)).revision).toEqual(15);
    });
});
