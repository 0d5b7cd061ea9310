import { Progress, silentLogger } from "@marigolddrift/common";
import { ChangeFeed, Follower, RegionReads } from "@marigolddrift/gateway";
import type { PeerQuestion } from "@marigolddrift/gateway";
import { HistoryGoneError } from "@marigolddrift/store";
import type { ChangeBatch, StoredValue } from "@marigolddrift/store";
import { expect } from "earl";
import { randomBytes } from "node:crypto";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";
import { waitUntil } from "../platform/deployment.js";

const prefix = "config";
const silenceMs = 2_000;

/** A store that counts the bytes it hands out. */
class CountingStore extends FakeStore {
    bytesSent = 0;

    override async changes(...args: Parameters<FakeStore["changes"]>): Promise<ChangeBatch> {
        const batch = await super.changes(...args);
        batch.changes.forEach(change => this.bytesSent += change.kind === "put" ? change.stored.value.length : 0);
        return batch;
    }
}

interface Member {
    readonly reads: RegionReads;
    readonly follower: Follower;
    /** The newest value that it knows. */
    value: string;
    /** Whether its peers get answers from it. */
    mode: "answers" | "silent" | "down";
}

/** Instances of a region that follow one store and call each other directly. */
const createRegion = (store: FakeStore, size: number): Map<string, Member> => {
    const members = new Map<string, Member>();
    const names = Array.from({ length: size }, (_, index) => `front-${index}`);
    const ask = async (name: string, question: PeerQuestion, progress: Progress): Promise<unknown> => {
        const member = members.get(name)!;
        if (question.kind !== "followed" || member.mode === "down") {
            throw new Error("the peer is down");
        }
        if (member.mode === "silent") {
            await progress.sleep(60_000);
        }
        return await progress.race(member.reads.answer(prefix, question.revision, question.waitMs, progress));
    };
    const peer = (name: string) => ({
        name,
        isConnected: true,
        ask: (question: PeerQuestion, progress: Progress) => ask(name, question, progress),
    });
    for (const name of names) {
        const peers = { usableInRegion: () => names.filter(other => other !== name).map(peer) } as never;
        const feed = new ChangeFeed();
        const self = { instance: name, region: "r", address: () => name };
        const reads = new RegionReads(self, store, peers, feed, silentLogger);
        const note = ({ value }: StoredValue): void => void (members.get(name)!.value = value.toString());
        const follower = new Follower(
            reads,
            prefix,
            {
                onSnapshot: values => values.forEach(note),
                onChanges: changes => changes.forEach(change => change.kind === "put" && note(change.stored)),
                onLost: () => {},
                onRegained: () => {},
            },
            silenceMs,
            silentLogger,
            feed,
        );
        members.set(name, { reads, follower, value: "", mode: "answers" });
    }
    return members;
};

const withRegion = async (
    size: number,
    test: (region: Map<string, Member>, store: CountingStore) => Promise<void>,
): Promise<void> => {
    const store = new CountingStore();
    await write(store, "v1");
    const region = createRegion(store, size);
    region.forEach(({ follower }) => follower.start());
    try {
        await waitUntil(() => all(region, "v1"));
        await new Promise(resolve => setTimeout(resolve, 50));
        await test(region, store);
    }
    finally {
        region.forEach(({ follower }) => follower.stop());
    }
};

const write = (store: FakeStore, value: string) => store.txn([], [{ key: prefix, value: Buffer.from(value) }]);
const all = (region: ReadonlyMap<string, Member>, value: string): boolean =>
    [...region.values()].every(member => member.value === value);

/** As a configuration of many routes is: long, and alike in all its parts. */
const longText = Array.from({ length: 1_600 }, () => `{"prefix":"/${randomBytes(8).toString("hex")}/","kind":"safe"}`)
    .join();

describe("reads of a region", () => {
    it("should fetch a long configuration for many instances a few times only", () =>
        withRegion(30, async (region, store) => {
            const startedAt = performance.now();
            await write(store, longText);
            await waitUntil(() => all(region, longText));
            expect(performance.now() - startedAt).toSatisfy(ms => ms < 1_500);
            expect(store.bytesSent).toSatisfy(bytes => bytes <= 3 * longText.length);
        }));

    it("should take changes in time although two of the three instances that are asked are silent", () =>
        withRegion(8, async (region, store) => {
            const leaders = [...region.values()].filter(({ reads }) => reads.followsDirectly);
            expect(leaders.length).toEqual(3);
            leaders.slice(0, 2).forEach(member => member.mode = "silent");
            const startedAt = performance.now();
            await write(store, "v2");
            await waitUntil(() => all(region, "v2"));
            expect(performance.now() - startedAt).toSatisfy(ms => ms < 1_000);
        }));

    it("should follow the store itself when no peer answers", () =>
        withRegion(8, async (region, store) => {
            region.forEach(member => member.mode = "down");
            await new Promise(resolve => setTimeout(resolve, silenceMs));
            const before = store.reads;
            await write(store, "v2");
            await waitUntil(() => all(region, "v2"));
            await new Promise(resolve => setTimeout(resolve, 500));
            expect(store.reads - before).toSatisfy(reads => reads <= 24);
        }));
});

describe("change feed", () => {
    it("should refuse what it does not reach back to, and what it cannot follow now", async () => {
        const feed = new ChangeFeed();
        const progress = new Progress(1_000);
        feed.onSnapshot(10);
        feed.onChanges([{ kind: "removed", key: "a", revision: 12 }], 12);
        expect((await feed.next(10, 10, progress)).changes.length).toEqual(1);
        expect(await feed.next(12, 10, progress)).toEqual({ changes: [], revision: 12 });
        await expect(feed.next(9, 10, progress)).toBeRejectedWith(HistoryGoneError);
        const value = Buffer.alloc(3 * 1024 * 1024);
        const long = (revision: number) => ({ kind: "put" as const, stored: { key: "a", value, revision } });
        feed.onChanges([long(13), long(14)], 14);
        expect((await feed.next(13, 10, progress)).changes.length).toEqual(1);
        await expect(feed.next(12, 10, progress)).toBeRejectedWith(HistoryGoneError);
        const waiting = feed.next(14, 5_000, progress);
        feed.onLost();
        await expect(waiting).toBeRejectedWith("away");
        feed.onChanges([], 15);
        expect((await feed.next(14, 10, progress)).revision).toEqual(15);
    });
});
