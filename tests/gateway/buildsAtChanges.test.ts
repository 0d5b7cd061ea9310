import { Progress, silentLogger } from "@marigolddrift/common";
import { BuildDeclarations, BuildRecords, Builds, maxDeclarationAgeMs } from "@marigolddrift/gateway";
import { StoreError } from "@marigolddrift/store";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";
import { FakeStore } from "../fakeStore.js";

const route = {
    name: "talk",
    host: "h",
    prefix: "/",
    isStreaming: true,
    idempotent: true,
    targets: [{ service: "brain", weight: 1 }],
    timeoutMs: 3_000,
};

/** One instance with its own view of the entries, and its own access to the store. */
class Instance {
    builds: string[] = [];
    isCutOff = false;
    /** Builds whose upstreams receive no calls now, as after a failed connection. */
    readonly unused = new Set<string>();
    readonly journals: object[] = [];
    readonly all: Builds;

    /** @param carrier The instance that carries all duties. */
    constructor(store: FakeStore, name: string, carrier = name) {
        const call = <T>(run: () => Promise<T>): Promise<T> =>
            this.isCutOff ? Promise.reject(new StoreError("no", "cut off")) : run();
        const views = () => this.builds.map(build => ({ entry: { id: `i-${build}`, service: "brain", build } }));
        const options = {
            store: {
                get: (key: string) => call(() => store.get(key)),
                txn: (...args: Parameters<FakeStore["txn"]>) => call(() => store.txn(...args)),
            },
            upstreams: {
                ofService: views,
                usable: () => views().filter(({ entry }) => !this.unused.has(entry.build)),
                get: (id: string) => this.upstreams.get(id),
            },
            // No holder is reached: each side of a split loses the machines of the other.
            peers: { version: 1, fronts: [], journals: this.journals, isReachable: () => false },
            duties: { carriers: () => [carrier] },
            localInstance: { address: () => name },
            routes: () => ({ config: { routes: [route], services: [{ name: "brain" }] } }),
            random: () => 0,
            metrics: { count: () => {} },
            log: silentLogger,
        };
        this.all = new Builds(options as never);
    }

    readonly upstreams = new Map<string, { entry: { id: string; service: string; build: string; }; }>();

    upstream(build: string): { entry: { id: string; service: string; build: string; }; } {
        const upstream = { entry: { id: `i-${build}`, service: "brain", build } };
        this.upstreams.set(upstream.entry.id, upstream);
        return upstream;
    }
}

const find = async (instance: Instance, id: string): Promise<string> => {
    try {
        return (await instance.all.findBuild(route as never, id, new Progress(2_000))).build;
    }
    catch (err) {
        return (err as { code: string; }).code;
    }
};

/** Resolves to the code of the refusal, and whether it says when to come back. */
const refusal = async (instance: Instance, id: string): Promise<[string, boolean] | undefined> => {
    try {
        await instance.all.findBuild(route as never, id, new Progress(2_000));
        return undefined;
    }
    catch (err) {
        const { code, retryAfterSeconds } = err as { code: string; retryAfterSeconds?: number; };
        return [code, retryAfterSeconds !== undefined];
    }
};

const declare = async ({ all }: Instance): Promise<string> => {
    try {
        await all.declareForCall("brain", new Progress(2_000));
        return "declared";
    }
    catch (err) {
        return (err as { code: string; }).code;
    }
};

// Guards against a final refusal by a list of upstreams that is late, as after a freeze, while three workers of the build serve (LOST).
describe("the build of a record that no upstream has", () => {
    it("should be asked for again if no entry has named it here, and be gone if one has", async () => {
        await withClock(async clock => {
            const instance = new Instance(new FakeStore(), "a");
            const found = { service: "brain", build: "v2", ageMs: 700 };
            instance.journals.push({
                name: "disk",
                address: { region: "north" },
                ask: async () => found,
                notify: async () => true,
            });
            instance.builds = ["v1"];
            instance.all.onUpstreamsAdded();
            await clock.tickAsync(10_000);
            const late = await refusal(instance, "s-1");
            // A peer that declares the build tells of it before the entry has been read here.
            await instance.all.prepareForPeer({ kind: "prepareBuilds", service: "brain", builds: ["v1", "v2"] });
            const announced = await refusal(instance, "s-1");
            instance.builds = ["v1", "v2"];
            instance.all.onUpstreamsAdded();
            const goesOn = await find(instance, "s-1");
            instance.builds = ["v1"];
            const gone = await refusal(instance, "s-1");
            instance.all.close();
            expect([late, announced, goesOn, gone]).toEqual([
                ["no_upstream", true],
                ["no_upstream", true],
                "v2",
                ["build_gone", false],
            ]);
        });
    });
});

describe("declared builds", () => {
    // Guards against a removal of a build that an instance out of touch with the store still lets begin streams (ORDER).
    it("should not name another build for a stream that an instance began that has been cut off from the store", async () => {
        await withClock(async clock => {
            const store = new FakeStore();
            const cut = new Instance(store, "a");
            const calm = new Instance(store, "b");
            cut.builds = ["v1", "v2"];
            calm.builds = ["v1", "v2"];
            cut.all.onUpstreamsAdded();
            calm.all.onUpstreamsAdded();
            await clock.tickAsync(1_000);
            // The entries of v1 expire in the store, for its workers are on the side that is cut off; they and this instance go on.
            cut.isCutOff = true;
            calm.builds = ["v2"];
            await clock.tickAsync(45_000);
            const upstream = cut.upstream("v1");
            const mayBegin = cut.all.mayBegin(upstream.entry as never);
            if (mayBegin) {
                cut.all.onStreamBegun("s-1", route as never, upstream as never);
            }
            const found = await find(calm, "s-1");
            cut.all.close();
            calm.all.close();
            expect([mayBegin, found]).not.toEqual([true, "v2"]);
        });
    });

    // Guards against the same after the build was removed: an instance may be cut off for any time (ORDER).
    it("should begin no streams at an instance that has been cut off for long, until it reads the store again", async () => {
        await withClock(async clock => {
            const store = new FakeStore();
            const cut = new Instance(store, "a");
            const calm = new Instance(store, "b");
            cut.builds = ["v1", "v2"];
            calm.builds = ["v1", "v2"];
            cut.all.onUpstreamsAdded();
            calm.all.onUpstreamsAdded();
            await clock.tickAsync(1_000);
            cut.isCutOff = true;
            calm.builds = ["v2"];
            // At each moment: streams may not begin at v1 and be taken for streams of v2.
            const wrong: number[] = [];
            const upstream = cut.upstream("v1");
            const stepMs = 15_000;
            for (let ms = 0; ms < 2 * maxDeclarationAgeMs; ms += stepMs) {
                await clock.tickAsync(stepMs);
                const mayBegin = cut.all.mayBegin(upstream.entry as never);
                if (mayBegin) {
                    cut.all.onStreamBegun(`s-${ms}`, route as never, upstream as never);
                }
                if (mayBegin && await find(calm, `s-${ms}`) === "v2") {
                    wrong.push(ms);
                }
            }
            const mayBegin = cut.all.mayBegin(upstream.entry as never);
            const refusal = await declare(cut);
            const removed = await find(calm, "s-none");
            cut.isCutOff = false;
            const again = await declare(cut);
            const mayBeginAgain = cut.all.mayBegin(upstream.entry as never);
            const foundAgain = await find(calm, "s-none");
            cut.all.close();
            calm.all.close();
            expect(wrong).toEqual([]);
            expect([mayBegin, refusal, removed]).toEqual([false, "no_upstream", "v2"]);
            // v2 is read; v1 is declared anew before it begins streams, after which nobody takes one for another's.
            expect(again).toEqual("declared");
            expect([mayBeginAgain, foundAgain]).not.toEqual([true, "v2"]);
        });
    });

    // Guards against a fence that closes while the store is in reach (LOST), and against reads that are more than planned.
    it("should begin streams for as long as the store is in reach, at about one read a minute", async t => {
        await withClock(async clock => {
            const store = new FakeStore();
            const instance = new Instance(store, "a");
            instance.builds = ["v1"];
            instance.all.onUpstreamsAdded();
            await clock.tickAsync(1_000);
            const upstream = instance.upstream("v1");
            const [reads, writes] = [store.reads, store.writes];
            let refused = 0;
            const minutes = 60;
            for (let minute = 0; minute < minutes; minute++) {
                await clock.tickAsync(60_000);
                refused += instance.all.mayBegin(upstream.entry as never) ? 0 : 1;
            }
            instance.all.close();
            t.diagnostic(JSON.stringify({ reads: store.reads - reads, writes: store.writes - writes, minutes }));
            expect([refused, store.writes - writes]).toEqual([0, 0]);
            // The draw of this instance is always the lowest: half the interval, seen at checks of 2 s.
            expect(store.reads - reads <= 2 * minutes).toEqual(true);
        });
    });

    // Guards against a build that stays declared after its release, so that streams are recorded without need.
    it("should be removed after a release, at few calls of the store", async t => {
        await withClock(async clock => {
            const store = new FakeStore();
            // As duties are carried by the first of the instances that reach each other.
            const instances = ["a", "b", "c"].map(name => new Instance(store, name, "a"));
            instances.forEach(({ all }, index) => {
                instances[index]!.builds = ["v1", "v2"];
                all.onUpstreamsAdded();
            });
            await clock.tickAsync(1_000);
            const writes = store.writes;
            instances.forEach(instance => instance.builds = ["v2"]);
            const lifetimeMs = 30_000;
            await clock.tickAsync(maxDeclarationAgeMs + lifetimeMs);
            const mixedBefore = instances.map(({ all }) => all.isMixed("brain"));
            await clock.tickAsync(lifetimeMs + 2 * 60_000);
            const mixedAfter = instances.map(({ all }) => all.isMixed("brain"));
            instances.forEach(({ all }) => all.close());
            t.diagnostic(JSON.stringify({ writes: store.writes - writes, reads: store.reads }));
            expect(mixedBefore).toEqual([true, true, true]);
            expect(mixedAfter).toEqual([false, false, false]);
            expect(store.writes - writes).toEqual(2);
        });
    });

    // Guards against a removal that overtakes an instance which has just found the build in the declaration (ORDER).
    it("should be declared after it has come back while its removal was under way", async () => {
        const store = new FakeStore();
        const first = new BuildDeclarations(store, silentLogger);
        await first.declare("brain", ["v1", "v2"], new Progress(1_000));
        const held: (() => void)[] = [];
        const slow = {
            get: (key: string) => store.get(key),
            txn: async (...args: Parameters<FakeStore["txn"]>) => {
                await new Promise<void>(resolve => held.push(resolve));
                return await store.txn(...args);
            },
        };
        const remover = new BuildDeclarations(slow, silentLogger);
        await new BuildDeclarations(store, silentLogger).retire("brain", ["v1"]);
        const removal = remover.remove("brain", ["v1"], 0);
        await new Promise(resolve => setTimeout(resolve, 20));
        expect(held.length).toEqual(1);
        // v1 comes back after a long time: the other instance declares it anew before it begins streams there.
        const known = first.of("brain");
        known.see(["v1"], -1);
        expect(known.isDeclared("v1")).toEqual(false);
        await first.declare("brain", ["v1"], new Progress(1_000));
        held.forEach(release => release());
        await removal.catch(() => {});
        const stored = JSON.parse((await store.get([...keys(store)][0]!))!.value.toString()) as { builds: string[]; };
        expect([known.isDeclared("v1"), stored.builds.includes("v1")]).not.toEqual([true, false]);
    });
});

const keys = (store: FakeStore): string[] => store.state.range("", "\uffff").map(({ key }) => key);

describe("records of streams", () => {
    // Guards against a pause of the process at the moment at which a second version comes: the copies grow with the square.
    it("should be listed within 50 ms, as many as an instance remembers", () => {
        const records = new BuildRecords(() => 30_000, 18_000);
        for (let index = 0; index < 18_000; index++) {
            records.add(`9c41d07be2a3${String(index).padStart(6, "0")}`, "brain", "v1");
        }
        const startedAt = performance.now();
        expect(records.idsByBuild("brain").get("v1")?.length).toEqual(18_000);
        const ms = performance.now() - startedAt;
        expect(ms < 50).toEqual(true);
    });

    // Guards against records bounded by their number only, whose ids callers choose with up to `maxHeaderBytes`.
    it("should fit into a tenth of a front's memory, whatever ids callers choose", () => {
        const idBytes = 12_000;
        const instance = new Instance(new FakeStore(), "a");
        const upstream = instance.upstream("v1");
        globalThis.gc?.();
        const before = process.memoryUsage().heapUsed;
        for (let index = 0; index < 18_000; index++) {
            const id = Buffer.alloc(idBytes, String(index)).toString("latin1");
            instance.all.onStreamBegun(id, route as never, upstream as never);
        }
        globalThis.gc?.();
        const mb = Math.round((process.memoryUsage().heapUsed - before) / 1024 / 1024);
        instance.all.close();
        expect(mb < 18).toEqual(true);
    });
});

describe("take-ups", () => {
    // Guards against a build that is said to have gone although its upstreams are only unused for a second (LOST).
    it("should be told to return if all upstreams of their build are unused for a moment", async () => {
        const store = new FakeStore();
        const instance = new Instance(store, "a");
        instance.builds = ["v1", "v2"];
        instance.all.onUpstreamsAdded();
        await new Promise(resolve => setTimeout(resolve, 50));
        instance.all.onStreamBegun("s-1", route as never, instance.upstream("v1") as never);
        instance.unused.add("v1");
        let refusal: unknown;
        try {
            await instance.all.findBuild(route as never, "s-1", new Progress(1_000));
        }
        catch (err) {
            refusal = err;
        }
        instance.all.close();
        const { retryAfterSeconds } = refusal as { retryAfterSeconds?: number; };
        expect(retryAfterSeconds === undefined).toEqual(false);
    });
});
