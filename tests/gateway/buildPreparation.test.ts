import { silentLogger } from "@marigolddrift/common";
import { Builds } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";
import { FakeStore } from "../fakeStore.js";

const timeoutMs = 4_000;

/** Time after which a front that does not respond is no longer waited for. */
const maxWaitMs = 1.5 * timeoutMs;

const route = {
    name: "talk",
    host: "h",
    prefix: "/",
    isStreaming: true,
    idempotent: true,
    targets: [{ service: "brain", weight: 1 }],
    timeoutMs,
};

type Question = { readonly kind: string; readonly service: string; readonly builds: readonly string[]; };

/** Fronts that ask each other, and see the same upstreams. */
class Fronts {
    builds = ["v1"];
    /** Fronts that do not respond. */
    readonly silent = new Set<string>();
    readonly asked: string[] = [];
    /** Holders take no records. */
    areHoldersAway = false;
    private readonly store = new FakeStore();
    private readonly all = new Map<string, Builds>();

    constructor(names: readonly string[]) {
        names.forEach(name => this.start(name));
    }

    get(name: string): Builds {
        return this.all.get(name)!;
    }

    start(name: string): void {
        this.all.get(name)?.close();
        // A front that does not respond stands still: it sees nothing new.
        const views = () =>
            (this.silent.has(name) ? ["v1"] : this.builds).map((build, index) => ({
                entry: { id: `i-${index}`, service: "brain", build },
            }));
        const holder = {
            name: "disk",
            notify: async () => this.areHoldersAway ? await Promise.reject(new Error()) : true,
        };
        const options = {
            store: this.store,
            upstreams: { ofService: views, usable: views, get: () => undefined },
            peers: {
                version: 1,
                journals: [{ ...holder, address: { region: "north" } }],
                isReachable: () => true,
                fronts: [...this.names(name)].map(peer => this.client(peer)),
            },
            duties: { carriers: () => ["a", "b", "c"] },
            localInstance: { address: () => name },
            routes: () => ({ config: { routes: [route], services: [{ name: "brain" }] } }),
            random: () => 0,
            metrics: { count: () => {} },
            log: silentLogger,
        };
        this.all.set(name, new Builds(options as never));
    }

    onChanged(): void {
        this.all.forEach((builds, name) => this.silent.has(name) || builds.onUpstreamsAdded());
    }

    mayBegin(name: string, build: string): boolean {
        return this.get(name).mayBegin({ service: "brain", build } as never);
    }

    close(): void {
        this.all.forEach(builds => builds.close());
    }

    private names(local: string): string[] {
        return ["a", "b", "c"].filter(name => name !== local);
    }

    private client(name: string): object {
        const ask = async (question: Question): Promise<unknown> => {
            this.asked.push(`${name} ${question.kind} ${question.builds.join()}`);
            if (this.silent.has(name)) {
                await new Promise((_, reject) => setTimeout(() => reject(new Error("no response")), 1_000));
            }
            return await this.get(name).prepareForPeer(question as never);
        };
        return { address: { instance: name }, isUsable: true, ask };
    }
}

/** Starts three fronts before one build, and lets them stand until nothing is left of their start. */
const startFronts = async (clock: { tickAsync(ms: number): Promise<unknown>; }): Promise<Fronts> => {
    const fronts = new Fronts(["a", "b", "c"]);
    fronts.onChanged();
    await clock.tickAsync(2 * timeoutMs);
    return fronts;
};

// Guards against a build that begins streams while nobody knows the streams of a front that does not respond (LOST).
describe("a further build", () => {
    it("should be declared at once if all fronts have recorded their streams", () =>
        withClock(async clock => {
            const fronts = await startFronts(clock);
            const upstream = { entry: { id: "i-0", service: "brain", build: "v1" } };
            fronts.get("b").onStreamBegun("s-1", route as never, upstream as never);
            fronts.builds = ["v1", "v1", "v2"];
            fronts.onChanged();
            await clock.tickAsync(1_000);
            fronts.close();
            expect(["a", "b", "c"].map(name => fronts.mayBegin(name, "v2"))).toEqual([true, true, true]);
        }));

    it("should cost a message to each other front, and none where one build serves", () =>
        withClock(async clock => {
            const fronts = await startFronts(clock);
            await clock.tickAsync(10 * 60_000);
            expect(fronts.asked).toEqual([]);
            fronts.builds = ["v1", "v1", "v2"];
            fronts.onChanged();
            await clock.tickAsync(10 * 60_000);
            fronts.close();
            expect(fronts.asked).toEqual(["c prepareBuilds v1,v2", "b prepareBuilds v1,v2"]);
        }));

    for (const silent of ["a", "b", "c"]) {
        it(`should wait for a front that does not respond, and not longer than its streams are taken up: ${silent}`, () =>
            withClock(async clock => {
                const fronts = await startFronts(clock);
                fronts.silent.add(silent);
                const others = ["a", "b", "c"].filter(name => name !== silent);
                fronts.builds = ["v1", "v1", "v2"];
                fronts.onChanged();
                await clock.tickAsync(maxWaitMs - 500);
                const early = others.some(name => fronts.mayBegin(name, "v2"));
                await clock.tickAsync(5_000);
                const late = others.every(name => fronts.mayBegin(name, "v2"));
                fronts.close();
                expect([early, late]).toEqual([false, true]);
            }));
    }

    it("should be declared soon after a front responds again", () =>
        withClock(async clock => {
            const fronts = await startFronts(clock);
            fronts.silent.add("c");
            fronts.builds = ["v1", "v1", "v2"];
            fronts.onChanged();
            await clock.tickAsync(2_000);
            fronts.silent.clear();
            fronts.onChanged();
            await clock.tickAsync(2_000);
            fronts.close();
            expect(fronts.mayBegin("a", "v2")).toEqual(true);
        }));

    // Guards against streams that began before a restart: the new process has no memory of them.
    it("should wait until the streams have ended that a front began before it restarted", () =>
        withClock(async clock => {
            const fronts = await startFronts(clock);
            fronts.start("b");
            fronts.builds = ["v1", "v1", "v2"];
            fronts.onChanged();
            await clock.tickAsync(timeoutMs - 500);
            const early = fronts.mayBegin("a", "v2");
            await clock.tickAsync(3_000);
            fronts.close();
            expect([early, fronts.mayBegin("a", "v2")]).toEqual([false, true]);
        }));

    it("should wait for the records of a front while no holder takes them", () =>
        withClock(async clock => {
            const fronts = await startFronts(clock);
            const upstream = { entry: { id: "i-0", service: "brain", build: "v1" } };
            fronts.get("b").onStreamBegun("s-1", route as never, upstream as never);
            fronts.areHoldersAway = true;
            fronts.builds = ["v1", "v1", "v2"];
            fronts.onChanged();
            await clock.tickAsync(3_000);
            const early = fronts.mayBegin("a", "v2");
            fronts.areHoldersAway = false;
            await clock.tickAsync(5_000);
            fronts.close();
            expect([early, fronts.mayBegin("a", "v2")]).toEqual([false, true]);
        }));

    // Guards against a release that stands still because few upstreams of the old build are left.
    it("should be declared at once if few upstreams of the declared one are left", () =>
        withClock(async clock => {
            const fronts = await startFronts(clock);
            fronts.silent.add("c");
            fronts.builds = ["v1", ...Array.from({ length: 8 }, () => "v2")];
            fronts.onChanged();
            await clock.tickAsync(1_000);
            fronts.close();
            expect(fronts.mayBegin("a", "v2")).toEqual(true);
        }));
});
