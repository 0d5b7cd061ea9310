import { ProblemError, Progress, silentLogger } from "@marigolddrift/common";
import { JournalArchive, packTurn } from "@marigolddrift/gateway";
import type { JournalRequest, TurnArchive, TurnRecord } from "@marigolddrift/gateway";
import { expect } from "earl";
import { readdir } from "node:fs/promises";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";
import { waitUntil } from "../platform/deployment.js";
import { JournalNode, toSave, turnOf, withJournalNode } from "./journalNode.js";
import { withDir } from "./withDir.js";

describe("turn journal", () => {
    it("should flush a burst of turns with few store calls and notify the other holders", () =>
        withJournalNode(async (node, store) => {
            await Promise.all(Array.from({ length: 100 }, (_, index) => node.keep(`t${index}`, 0)));
            expect(store.writes).toEqual(0);
            await waitUntil(() => node.journal.unflushedCount === 0);
            expect(store.writes).toSatisfy(calls => calls <= 5);
            expect(node.notifiedIds.flat().length).toEqual(100);
            expect(store.state.get("marigolddrift/turns/t99")?.value).toEqual(packTurn(turnOf("t99")));
        }));

    it("should flush a later copy only if it is not notified that the first copy was flushed", () =>
        withJournalNode(async (node, store) => {
            await node.keep("notified", 1);
            await node.keep("unnotified", 1);
            node.journal.onPeerFlushed(["notified"]);
            await waitUntil(() => node.journal.unflushedCount === 0);
            expect([store.state.get("marigolddrift/turns/notified"), store.writes]).toEqual([undefined, 1]);
            expect((await node.journal.find("notified")).record).not.toEqual(undefined);
        }));

    it("should keep turns across a restart while the store is unavailable, and flush them when it recovers", () =>
        withJournalNode(async (node, store, dir) => {
            store.fault = "down";
            await node.keep("t1", 0);
            await node.journal.close();
            const restarted = new JournalNode(dir, store);
            await restarted.journal.start(0);
            expect((await restarted.journal.find("t1")).record).toEqual(packTurn(turnOf("t1")));
            store.fault = "none";
            await waitUntil(() => restarted.journal.unflushedCount === 0);
            expect(store.state.get("marigolddrift/turns/t1")).not.toEqual(undefined);
            await restarted.close();
        }));

    it("should leave no fully flushed segments on the disk", () =>
        withJournalNode(async (node, store, dir) => {
            await node.keep("t1", 0);
            await waitUntil(() => node.journal.unflushedCount === 0);
            await node.journal.close();
            const countSegments = async () => (await readdir(dir)).filter(name => name.endsWith(".log")).length;
            for (let restart = 0; restart < 3; restart++) {
                const restarted = new JournalNode(dir, store);
                await restarted.journal.start(0);
                await restarted.keep(`r${restart}`, 0);
                await waitUntil(() => restarted.journal.unflushedCount === 0);
                await restarted.close();
            }
            expect(await countSegments()).toEqual(1);
        }));

    it("should report that it may lack turns after a start with a new disk", () =>
        withDir(async dir => {
            const node = new JournalNode(dir, new FakeStore());
            await node.journal.start(60_000);
            expect(await node.journal.find("t1")).toEqual({ record: undefined, complete: false });
            await node.close();
        }));
});

/** Journal servers in memory, and a store. */
class FakeFleet {
    journals = ["a:1", "b:1", "c:1"].map(name => this.createServer(name));
    /** Servers that an archive learns of when it reads the list of members. */
    listed: readonly string[] = [];
    readonly records = new Map<string, Map<string, Buffer>>();
    readonly silent = new Set<string>();
    readonly incomplete = new Set<string>();
    /** Servers that may be lost in addition to the tolerated ones. */
    readonly uncounted = new Set<string>();
    readonly stored = new Map<string, TurnRecord>();
    isStoreDown = false;
    responseMs = 0;
    refusesTurns = false;
    requestCount = 0;
    onRequest: () => void = () => {};
    onStoreRead: () => void = () => {};
    /** Another front instance, which can reach the journal servers. */
    front: unknown = undefined;

    readonly store: TurnArchive = {
        save: async ({ turn }, progress) => {
            if (this.isStoreDown) {
                await progress.sleep(60_000);
            }
            this.stored.set(turn.id, turn);
        },
        load: async ({ id }) => {
            this.onStoreRead();
            if (this.isStoreDown) {
                throw new ProblemError("not_durable", "notRun", "The store is away.");
            }
            return this.stored.get(id);
        },
    };

    archive(): JournalArchive {
        const peers = {
            version: 0,
            journals: [...this.journals],
            reload: async () => {
                const known = peers.journals.map(({ name }) => name);
                const added = this.listed.filter(name => !known.includes(name));
                peers.journals.push(...added.map(name => this.createServer(name)));
                peers.version += 1;
            },
            pickFront: () => this.front,
        };
        const placement = { zone: "z", regionOf: () => "r", toleratedLosses: 1 };
        return new JournalArchive(peers as never, this.store, placement, silentLogger);
    }

    /** Names of the servers that hold a turn. */
    holders(id: string): string[] {
        return [...this.records].filter(([, records]) => records.has(id)).map(([name]) => name);
    }

    private createServer(name: string) {
        return {
            name,
            isUsable: true,
            isConnected: true,
            address: { zone: "z" },
            hedgeDelayMs: (_: string, minMs: number) => minMs,
            ask: (request: JournalRequest, progress: Progress) => this.handleRequest(name, request, progress),
        };
    }

    private async handleRequest(name: string, request: JournalRequest, progress: Progress): Promise<unknown> {
        this.requestCount += 1;
        this.onRequest();
        if (this.silent.has(name)) {
            await progress.sleep(60_000);
        }
        if (this.responseMs > 0) {
            await progress.sleep(this.responseMs);
        }
        const records = this.records.get(name) ?? new Map<string, Buffer>();
        this.records.set(name, records);
        if (request.kind === "keepTurn" && this.refusesTurns) {
            return false;
        }
        if (request.kind === "keepTurn") {
            records.set(request.turn.id, request.turn.record);
            return this.uncounted.has(name) ? "uncounted" : true;
        }
        return request.kind === "findTurn" ?
            { record: records.get(request.id), complete: !this.incomplete.has(name) } :
            true;
    }
}

describe("journal archive", () => {
    const load = (fleet: FakeFleet, id: string) => fleet.archive().load({ id, program: "p" }, new Progress(2_000));

    it("should save turns when they end, and load them, while the store is unavailable", async () => {
        const fleet = new FakeFleet();
        fleet.isStoreDown = true;
        await fleet.archive().save(toSave("t1"), new Progress(300));
        expect(fleet.holders("t1").length).toEqual(2);
        expect((await load(fleet, "t1"))?.id).toEqual("t1");
    });

    it("should send a copy to another machine when one does not respond", async () => {
        const fleet = new FakeFleet();
        fleet.isStoreDown = true;
        await fleet.archive().save(toSave("t0"), new Progress(300));
        fleet.silent.add(fleet.holders("t0")[0]!);
        await fleet.archive().save(toSave("t1"), new Progress(300));
        expect(fleet.holders("t1").length).toEqual(2);
    });

    it("should fall back to the store when too few machines respond, and load the turn from it", async () => {
        const fleet = new FakeFleet();
        fleet.silent.add("a:1").add("b:1");
        await fleet.archive().save(toSave("t1"), new Progress(1_000));
        expect(fleet.stored.has("t1")).toEqual(true);
        fleet.records.clear();
        expect((await load(fleet, "t1"))?.id).toEqual("t1");
    });

    it("should not add copies while all machines are late, as behind a full link", async () => {
        const fleet = new FakeFleet();
        const archive = fleet.archive();
        fleet.responseMs = 320;
        const ids = Array.from({ length: 100 }, (_, index) => `t${index}`);
        await Promise.all(ids.map(id => archive.save(toSave(id), new Progress(3_000))));
        expect(fleet.requestCount).toSatisfy(count => count <= 2.2 * ids.length);
        expect(fleet.stored.size).toSatisfy(count => count <= 0.1 * ids.length);
    });

    it("should not wait for a machine whose disk has been too slow, and use it again later", async () => {
        const fleet = new FakeFleet();
        const archive = fleet.archive();
        await archive.save(toSave("t0"), new Progress(1_000));
        const slow = fleet.holders("t0")[0]!;
        fleet.silent.add(slow);
        for (const id of ["t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"]) {
            await archive.save(toSave(id), new Progress(3_000));
        }
        const startedAt = performance.now();
        for (let turn = 0; turn < 20; turn++) {
            await archive.save(toSave(`late-${turn}`), new Progress(3_000));
        }
        expect(performance.now() - startedAt).toSatisfy(ms => ms < 500);
        fleet.silent.delete(slow);
        await new Promise(resolve => setTimeout(resolve, 2_600));
        await archive.save(toSave("again"), new Progress(1_000));
        expect(fleet.holders("again")).toInclude(slow);
    });

    it("should save in the store at once when no machine takes the turn", async () => {
        const fleet = new FakeFleet();
        fleet.refusesTurns = true;
        const startedAt = performance.now();
        await fleet.archive().save(toSave("t1"), new Progress(3_000));
        expect([fleet.stored.has("t1"), performance.now() - startedAt < 80]).toEqual([true, true]);
    });

    it("should find a turn with one remaining copy", async () => {
        const fleet = new FakeFleet();
        await fleet.archive().save(toSave("t1"), new Progress(300));
        fleet.records.delete(fleet.holders("t1")[0]!);
        expect((await load(fleet, "t1"))?.id).toEqual("t1");
    });

    it("should find a turn quickly and ask no more machines than needed if the first machine is silent", async () => {
        const fleet = new FakeFleet();
        await fleet.archive().save(toSave("t1"), new Progress(300));
        fleet.silent.add(fleet.holders("t1")[0]!);
        fleet.requestCount = 0;
        const startedAt = performance.now();
        expect((await load(fleet, "t1"))?.id).toEqual("t1");
        expect(performance.now() - startedAt).toSatisfy(ms => ms < 200);
        expect(fleet.requestCount).toEqual(2);
    });

    it("should ask the store after the machines, because turns are flushed from the disks to it", async () => {
        const fleet = new FakeFleet();
        const order: string[] = [];
        fleet.onRequest = () => order.push("machine");
        fleet.onStoreRead = () => order.push("store");
        expect(await load(fleet, "t9")).toEqual(undefined);
        expect(order).toEqual(["machine", "machine", "machine", "store", "store"]);
    });

    it("should load turns through another front and keep them in the store if no machines are reachable", async () => {
        const fleet = new FakeFleet();
        await fleet.archive().save(toSave("t1"), new Progress(300));
        const reachingArchive = fleet.archive();
        const found = await reachingArchive.loadForPeer({ id: "t1", program: "p" }, new Progress(300));
        fleet.front = { name: "front:1", ask: async () => packTurn(found!) };
        fleet.journals.forEach(server => Object.assign(server, { isConnected: false, isUsable: false }));
        const startedAt = performance.now();
        expect((await load(fleet, "t1"))?.id).toEqual("t1");
        await fleet.archive().save(toSave("t2"), new Progress(300));
        expect(performance.now() - startedAt).toSatisfy(ms => ms < 100);
        expect([fleet.holders("t2"), fleet.stored.has("t2")]).toEqual([[], true]);
    });

    // Guards against 503 for a turn that another front has saved on machines that this one has not heard of yet.
    it("should find a turn on machines that were added since it last read the list of members", async () => {
        const fleet = new FakeFleet();
        const reader = fleet.archive();
        fleet.journals = [];
        fleet.listed = ["d:1", "e:1"];
        const saver = fleet.archive();
        await saver.load({ id: "t0", program: "p" }, new Progress(2_000));
        fleet.isStoreDown = true;
        await saver.save(toSave("t1"), new Progress(300));
        fleet.isStoreDown = false;
        expect(fleet.holders("t1").sort()).toEqual(["d:1", "e:1"]);
        expect((await reader.load({ id: "t1", program: "p" }, new Progress(2_000)))?.id).toEqual("t1");
    });

    it("should rule a turn out only if all but the tolerated machines are complete and respond in time", async () => {
        const fleet = new FakeFleet();
        expect(await load(fleet, "t9")).toEqual(undefined);
        fleet.incomplete.add("a:1");
        expect(await load(fleet, "t9")).toEqual(undefined);
        fleet.silent.add("b:1");
        await expect(load(fleet, "t9")).toBeRejectedWith("Too few machines");
    });

    // Guards against turns lost with a machine that may be lost besides the tolerated ones, as one that was just added.
    it("should find a turn after the loss of an uncounted machine and of the tolerated number of others", async () => {
        const fleet = new FakeFleet();
        const archive = fleet.archive();
        await archive.save(toSave("t0"), new Progress(300));
        const [added, counted] = fleet.holders("t0");
        fleet.uncounted.add(added!);
        await archive.save(toSave("t1"), new Progress(300));
        [added!, counted!].forEach(name => fleet.records.delete(name));
        expect((await load(fleet, "t1"))?.id).toEqual("t1");
    });

    it("should save in the store at once when too few machines count, and use them again when they do", async () => {
        const fleet = new FakeFleet();
        const archive = fleet.archive();
        fleet.uncounted.add("a:1").add("b:1");
        await archive.save(toSave("t1"), new Progress(1_000));
        fleet.requestCount = 0;
        await archive.save(toSave("t2"), new Progress(1_000));
        expect([fleet.stored.has("t1"), fleet.stored.has("t2"), fleet.requestCount]).toEqual([true, true, 0]);
        fleet.uncounted.clear();
        await new Promise(resolve => setTimeout(resolve, 1_100));
        await archive.save(toSave("t3"), new Progress(1_000));
        await archive.save(toSave("t4"), new Progress(1_000));
        expect([fleet.stored.has("t4"), fleet.holders("t4").length]).toEqual([false, 2]);
    });

    it("should not rule a turn out while the store is unavailable", async () => {
        const fleet = new FakeFleet();
        fleet.isStoreDown = true;
        await expect(load(fleet, "t9")).toBeRejectedWith("The store is away");
    });
});
