import { Progress, silentLogger } from "@marigolddrift/common";
import {
    BuildDeclarations,
    BuildRecords,
    currentMoment,
    elapsedMs,
    maxDeclarationAgeMs,
    ServiceBuilds,
    SharedRead,
    StreamBuilds,
} from "@marigolddrift/gateway";
import type { PeerClient } from "@marigolddrift/gateway";
import { expect } from "earl";
import { Packr } from "msgpackr";
import { randomBytes } from "node:crypto";
import { afterEach, beforeEach, describe, it } from "node:test";

import { withClock } from "../clock.js";
import { FakeStore } from "../fakeStore.js";

const lifetimeMs = 30_000;

/** At the target, 3,500 requests a second at 370 instances, were each a resumable stream; and the copies of its record. */
const streamsPerSecond = 3_500 / 370;
const copies = 2;

/** Control traffic of an instance at the target. */
const controlBytesPerSecond = 9_000;

/** Another writer leaves bytes that are no declaration. */
const spoil = ({ state }: FakeStore): void => {
    const [stored] = state.range("marigolddrift/builds/", "marigolddrift/builds/\uffff");
    state.beginRevision();
    state.put(stored!.key, Buffer.from("{"), "0");
};

describe("declared builds", () => {
    let progress: Progress;
    beforeEach(() => progress = new Progress(5_000));
    afterEach(() => progress.dispose());

    // Guards against a build that is lost because two instances declare at the same time.
    it("should all be declared if several instances declare at once", async () => {
        const store = new FakeStore();
        const instances = [1, 2, 3].map(() => new BuildDeclarations(store, silentLogger));
        await Promise.all(instances.map((instance, index) => instance.declare("brain", [`v${index}`], progress)));
        const { declared } = await new BuildDeclarations(store, silentLogger).read("brain", progress);
        expect([...declared].sort()).toEqual(["v0", "v1", "v2"]);
    });

    it("should cost one read and one write, and nothing once they are declared", async () => {
        const store = new FakeStore();
        const declarations = new BuildDeclarations(store, silentLogger);
        await Promise.all(Array.from({ length: 50 }, () => declarations.declare("brain", ["v1"], progress)));
        await declarations.declare("brain", ["v1"], progress);
        expect([store.reads, store.writes]).toEqual([1, 1]);
    });

    // Guards against a declaration of another writer that keeps new streams from beginning.
    it("should be declared anew if what is stored cannot be read", async () => {
        const store = new FakeStore();
        await new BuildDeclarations(store, silentLogger).declare("brain", ["v1"], progress);
        spoil(store);
        const declarations = new BuildDeclarations(store, silentLogger);
        expect((await declarations.read("brain", progress)).declared.size).toEqual(0);
        await declarations.declare("brain", ["v1"], progress);
        expect(declarations.of("brain").isDeclared("v1")).toEqual(true);
    });

    // Guards against a removal while another instance may still begin streams by what it has read before (ORDER).
    it("should be removed only if they are retired, and the declaration has not been changed for the whole time", () =>
        withClock(async clock => {
            const store = new FakeStore();
            const remover = new BuildDeclarations(store, silentLogger);
            const other = new BuildDeclarations(store, silentLogger);
            const declared = async () => [...(await remover.read("brain", progress)).declared].sort();
            await remover.declare("brain", ["v1", "v2"], progress);
            clock.tick(1_000);
            await remover.remove("brain", ["v1"], 1_000);
            expect(await declared()).toEqual(["v1", "v2"]);
            await remover.retire("brain", ["v1"]);
            clock.tick(500);
            // v1 comes back and leaves again, which the remover does not see.
            await other.declare("brain", ["v1"], progress);
            await other.retire("brain", ["v1"]);
            clock.tick(999);
            await remover.remove("brain", ["v1"], 1_000);
            expect(await declared()).toEqual(["v1", "v2"]);
            clock.tick(1_000);
            await remover.remove("brain", ["v1"], 1_000);
            expect(await declared()).toEqual(["v2"]);
        }));

    it("should be removed without those that were declared meanwhile", async () => {
        const store = new FakeStore();
        const declarations = new BuildDeclarations(store, silentLogger);
        await declarations.declare("brain", ["v1", "v2"], progress);
        await new BuildDeclarations(store, silentLogger).declare("brain", ["v3"], progress);
        await declarations.retire("brain", ["v1"]);
        await declarations.remove("brain", ["v1"], 0);
        expect([...declarations.of("brain").declared].sort()).toEqual(["v2", "v3"]);
    });
});

describe("the time since a moment", () => {
    // Guards against a machine that was suspended: its monotonic clock may have stood still while others removed a build (ORDER).
    it("should count while the monotonic clock stands still, and while the wall clock is set back", () =>
        withClock(async clock => {
            const moment = currentMoment();
            clock.setSystemTime(Date.now() + 60_000);
            expect(elapsedMs(moment)).toEqual(60_000);
            clock.setSystemTime(Date.now() - 3_600_000);
            clock.tick(5_000);
            expect(elapsedMs(moment)).toEqual(5_000);
        }));
});

describe("builds of a service", () => {
    // Guards against streams at a build that others have removed while this instance could not read the declaration (ORDER).
    it("should not begin streams once the declaration has not been read for long", () =>
        withClock(async clock => {
            const builds = new ServiceBuilds();
            builds.apply(["v1"], 1);
            clock.tick(maxDeclarationAgeMs - 1);
            expect(builds.isDeclared("v1")).toEqual(true);
            clock.tick(1);
            expect([builds.isDeclared("v1"), builds.isCurrent("v1")]).toEqual([false, true]);
            builds.apply(["v1"], 1);
            expect(builds.isDeclared("v1")).toEqual(true);
        }));

    // Guards against a build that begins streams by an old declaration because a peer, which may be late, has named it (ORDER).
    it("should be read anew after they were away, although a peer has named them", () =>
        withClock(async clock => {
            const builds = new ServiceBuilds();
            builds.apply(["v1", "v2"], 1);
            builds.see(["v1", "v2"], lifetimeMs / 2);
            clock.tick(lifetimeMs);
            builds.announce(["v1", "v3"]);
            builds.see(["v1", "v2", "v3"], lifetimeMs / 2);
            expect([builds.isOutdated("v1"), builds.isCurrent("v1")]).toEqual([true, false]);
            expect(builds.recent(lifetimeMs).has("v3")).toEqual(true);
        }));

    // Guards against the time of a read that is counted from its end: the store may have answered long before (ORDER).
    it("should count the age of the declaration from the beginning of its read", () =>
        withClock(async clock => {
            const builds = new ServiceBuilds();
            const startedAt = currentMoment();
            clock.tick(maxDeclarationAgeMs);
            builds.apply(["v1"], 1, { startedAt });
            expect(builds.isDeclared("v1")).toEqual(false);
        }));

    // Guards against an instance that refuses all streams for good because the key was removed by hand, and its revision is lower (LOST).
    it("should take over a declaration that was written anew, but not an older read", () =>
        withClock(async clock => {
            const builds = new ServiceBuilds();
            const before = currentMoment();
            clock.tick(10);
            builds.apply(["v1", "v2"], 7);
            builds.apply(["v1"], 6, { startedAt: before });
            expect([...builds.declared]).toEqual(["v1", "v2"]);
            builds.apply([], 0);
            expect(builds.declared.size).toEqual(0);
        }));

    // Guards against streams at a build that others have removed from the declaration while it was away.
    it("should be declared anew after they have been away", () =>
        withClock(async clock => {
            const builds = new ServiceBuilds();
            builds.apply(["v1"], 1);
            builds.see(["v1"], lifetimeMs / 2);
            clock.tick(lifetimeMs / 2 + 1);
            builds.see(["v1"], lifetimeMs / 2);
            expect(builds.isDeclared("v1")).toEqual(false);
            builds.apply(["v1"], 2);
            expect(builds.isDeclared("v1")).toEqual(true);
        }));

    it("should count as recent until their streams have ended", () =>
        withClock(async clock => {
            const builds = new ServiceBuilds();
            builds.see(["v1"], lifetimeMs);
            clock.tick(lifetimeMs);
            builds.see(["v2"], lifetimeMs);
            expect([...builds.recent(lifetimeMs)].sort()).toEqual(["v1", "v2"]);
            clock.tick(1);
            expect([...builds.recent(lifetimeMs)]).toEqual(["v2"]);
        }));
});

describe("records of streams", () => {
    // Guards against a guess between two records that contradict each other.
    it("should not name a build if they name two", () => {
        const records = new BuildRecords(() => lifetimeMs, 10);
        records.add("s", "brain", "v1");
        records.add("s", "brain", "v1");
        expect(records.get("s")?.build).toEqual("v1");
        records.add("s", "brain", "v2");
        records.add("s", "brain", "v1");
        expect(records.get("s")?.build).toEqual(undefined);
    });

    it("should be bounded in number and time", () =>
        withClock(async clock => {
            const records = new BuildRecords(() => lifetimeMs, 2);
            ["a", "b", "c"].forEach(id => records.add(id, "brain", "v1"));
            expect([records.size, records.get("a"), records.get("c")?.build]).toEqual([2, undefined, "v1"]);
            clock.tick(lifetimeMs + 1);
            expect(records.get("c")).toEqual(undefined);
        }));

    // Guards against records that need more than the control traffic of an instance may at the target size.
    it("should leave room for other control traffic at the target size", t => {
        const questionOf = (count: number) => {
            const ids = Array.from({ length: count }, () => randomBytes(8).toString("hex"));
            return { kind: "recordStreams", groups: [{ service: "floss-brain", build: "v2", streams: ids }] };
        };
        const packr = new Packr({ useRecords: false });
        const bytesOf = (count: number): number =>
            packr.pack({ id: 1, leftMs: 1_000, question: questionOf(count) }).length;
        const bytesPerSecond = streamsPerSecond * copies * bytesOf(1);
        t.diagnostic(JSON.stringify({ one: bytesOf(1), eleven: bytesOf(11), bytesPerSecond }));
        expect(bytesPerSecond < controlBytesPerSecond / 2).toEqual(true);
    });

    // Guards against a cost of the records where one build serves.
    it("should be sent only while several builds serve, and then also those from before", () =>
        withClock(async clock => {
            const sent: string[][] = [];
            const machine = {
                name: "disk-1",
                notify: async (question: { readonly groups: readonly { readonly streams: readonly string[]; }[]; }) => {
                    sent.push(question.groups.flatMap(({ streams }) => streams));
                },
            } as unknown as PeerClient;
            let isMixed = false;
            const streams = new StreamBuilds({
                holders: { version: 1, copies: 1, of: () => [machine], asked: () => [machine] },
                lifetimeMs: () => lifetimeMs,
                isMixed: () => isMixed,
                log: silentLogger,
            });
            streams.onBegun("a", "brain", "v1");
            await clock.tickAsync(1_000);
            expect(sent).toEqual([]);
            isMixed = true;
            streams.onBuildsChanged("brain");
            streams.onBegun("b", "brain", "v2");
            await clock.tickAsync(1_000);
            expect(sent.flat().sort()).toEqual(["a", "b"]);
            streams.close();
        }));
});

describe("reads that callers share", () => {
    // Guards against an answer that is older than the question, which may miss a build that was declared in between.
    it("should begin after each caller has asked", async () => {
        let value = 0;
        const ends: (() => void)[] = [];
        const read = new SharedRead(async () => {
            const now = value;
            await new Promise<void>(resolve => ends.push(resolve));
            return now;
        });
        const first = read.get();
        await new Promise(resolve => setImmediate(resolve));
        value = 1;
        const second = [read.get(), read.get()];
        ends[0]!();
        expect(await first).toEqual(0);
        await new Promise(resolve => setImmediate(resolve));
        ends[1]!();
        expect(await Promise.all(second)).toEqual([1, 1]);
        expect(ends.length).toEqual(2);
    });
});
