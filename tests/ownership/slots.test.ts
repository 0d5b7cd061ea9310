import { createMetrics, Progress, rendezvous, silentLogger } from "@marigolddrift/common";
import { instanceKey, NotOwnerError, slotKey, Slots } from "@marigolddrift/daemon";
import type { Member, Membership, OwnedSlot } from "@marigolddrift/daemon";
import { addIntent, raiseReservation, unpackRecord } from "@marigolddrift/ledger";
import type { SlotRecord } from "@marigolddrift/ledger";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";
import { FakeStore } from "../fakeStore.js";

const slotCount = 4;
const leaseSeconds = 6;

/** Fake membership over a set of live instances, which the owners in a test may share. */
class FakeMembership {
    leaving = false;
    constructor(readonly alive: Set<string>, private readonly instance: string) {}

    members(): Member[] {
        return [...this.alive].map(instance => ({ instance, zone: "z", region: "r" }));
    }

    preferredOwner(slot: number): Member | undefined {
        const [first] = rendezvous(`slot-${slot}`, [...this.alive]);
        return this.members().find(member => member.instance === first);
    }

    isAlive(instance: string): boolean {
        return instance !== this.instance && this.alive.has(instance);
    }

    connectedPeer(): undefined {
        return undefined;
    }

    broadcast(): void {}
}

const createSlots = (store: FakeStore, instance: string, alive: Set<string>): Slots =>
    new Slots(
        { instance, zone: "z", region: "r", address: `${instance}:1` },
        store,
        new FakeMembership(alive, instance) as unknown as Membership,
        {
            leaseSeconds,
            slotCount: () => slotCount,
            zones: () => ["z"],
            retentionMs: () => 86_400_000,
            onOwned: () => {},
            onReleased: () => {},
            beforeHandover: record => record,
        },
        silentLogger,
        createMetrics({ host: "", port: 8125 }, {}),
    );

const recordOf = (store: FakeStore, slot: number): SlotRecord => unpackRecord(store.state.get(slotKey(slot))!.value);

const withSlots = (
    test: (
        fixture: { store: FakeStore; slots: Slots; clock: Parameters<Parameters<typeof withClock>[0]>[0]; },
    ) => Promise<void>,
) => withClock(async clock => {
    const store = new FakeStore();
    const slots = createSlots(store, "a", new Set(["a"]));
    await slots.start();
    await clock.tickAsync(1_000);
    await test({ store, slots, clock });
    await slots.stop();
});

const anySlot = (slots: Slots): OwnedSlot => slots.all()[0]!;

describe("slot ownership", () => {
    it("should claim every slot once and keep its epoch", async () => {
        await withSlots(async ({ slots, clock }) => {
            await clock.tickAsync(60_000);
            expect(slots.all().map(slot => slot.epoch)).toEqual([1, 1, 1, 1]);
        });
    });

    it("should take over from a dead owner only after its lease has ended", async () => {
        await withSlots(async ({ store, slots, clock }) => {
            const other = createSlots(store, "b", new Set(["b"]));
            await other.lease.start();
            await slots.stop();
            store.state.grant(1);
            await clock.tickAsync(500);
            await other.start();
            await clock.tickAsync(1_500);
            expect(other.all().map(slot => slot.epoch)).toEqual([2, 2, 2, 2]);
            await other.stop();
        });
    });

    it("should reject work of an owner that lost its slot while it was paused beyond its lease", async () => {
        await withClock(async clock => {
            const store = new FakeStore();
            const paused = createSlots(store, "a", new Set(["a"]));
            await paused.start();
            await clock.tickAsync(600);
            const slot = anySlot(paused);
            // Simulates a paused process: the renewal timer is cleared, so that the lease lapses.
            clock.setSystemTime(Date.now());
            const lease = paused.lease as unknown as { timer: NodeJS.Timeout; };
            clearInterval(lease.timer);
            await clock.tickAsync(leaseSeconds * 1000 + 500);
            const next = createSlots(store, "b", new Set(["b"]));
            await next.start();
            await clock.tickAsync(1_000);
            expect(next.all().length).toEqual(slotCount);
            const progress = new Progress(1_000);
            await expect(paused.verifyOwned(slot, progress)).toBeRejectedWith(NotOwnerError);
            await expect(paused.mutate(slot, record => raiseReservation(record, "p", 10, 1e15))).toBeRejectedWith(
                NotOwnerError,
            );
            expect(recordOf(store, slot.slot).programs).toEqual({});
            progress.dispose();
            await Promise.all([paused.stop(), next.stop()]);
        });
    });

    it("should settle writes with a lost reply by reading back, and apply each mutation once", async () => {
        await withSlots(async ({ store, slots, clock }) => {
            store.fault = "loseReply";
            store.faultsLeft = 1;
            const slot = anySlot(slots);
            const stored = slots.mutate(slot, record => addIntent(record, "k", "r", Date.now()));
            await clock.tickAsync(3_000);
            await stored;
            expect(Object.keys(recordOf(store, slot.slot).intents)).toEqual(["k"]);
            expect(slot.epoch).toEqual(recordOf(store, slot.slot).epoch);
        });
    });

    it("should group changes of many slots into few writes", async () => {
        await withSlots(async ({ store, slots, clock }) => {
            const before = store.writes;
            const changes = slots.all().flatMap(slot =>
                Array.from(
                    { length: 50 },
                    (_, index) => slots.mutate(slot, record => addIntent(record, `k${index}`, "r", Date.now())),
                )
            );
            await clock.tickAsync(100);
            await Promise.all(changes);
            expect(store.writes - before <= 3).toEqual(true);
            expect(slots.all().every(slot => Object.keys(recordOf(store, slot.slot).intents).length === 50)).toEqual(
                true,
            );
        });
    });

    it("should keep its slots while the store is unavailable, but mark each call as not durable", async () => {
        await withSlots(async ({ store, slots, clock }) => {
            store.fault = "down";
            await clock.tickAsync(120_000);
            const progress = new Progress(1_000);
            const hold = await slots.enter(anySlot(slots).slot, progress);
            expect(hold.durable).toEqual(false);
            hold.leave();
            progress.dispose();
        });
    });

    it("should write pending mutations in few writes once the store is available again", async () => {
        await withSlots(async ({ store, slots, clock }) => {
            store.fault = "down";
            const slot = anySlot(slots);
            const changes = Array.from(
                { length: 100 },
                (_, index) => slots.mutate(slot, record => addIntent(record, `k${index}`, "r", 1)),
            );
            await clock.tickAsync(60_000);
            store.fault = "none";
            const before = store.writes;
            await clock.tickAsync(10_000);
            await Promise.all(changes);
            const renewals = 10 / (leaseSeconds / 3) + 4;
            expect(store.writes - before <= renewals + 4).toEqual(true);
        });
    });

    it("should leave the record without an owner after a handover", async () => {
        await withSlots(async ({ store, slots, clock }) => {
            const { slot } = anySlot(slots);
            const progress = new Progress(5_000);
            (slots as unknown as { membership: FakeMembership; }).membership.leaving = true;
            const handedOver = slots.handOver(slot, progress);
            await clock.tickAsync(500);
            expect(await handedOver).toEqual(true);
            expect(recordOf(store, slot).owner).toEqual("");
            progress.dispose();
        });
    });

    it("should take over and release a slot on a handover request if only its record names this instance", async () => {
        await withClock(async clock => {
            const store = new FakeStore();
            const slots = createSlots(store, "a", new Set(["a", "b"]));
            await slots.lease.start();
            const record = { slot: 0, epoch: 3, owner: "a", nonce: "n", programs: {}, intents: {} };
            const { packRecord } = await import("@marigolddrift/ledger");
            await store.txn([], [{ key: slotKey(0), value: packRecord(record) }]);
            const progress = new Progress(5_000);
            const handedOver = slots.handOver(0, progress);
            await clock.tickAsync(1_000);
            expect([await handedOver, recordOf(store, 0).owner]).toEqual([true, ""]);
            progress.dispose();
            await slots.stop();
        });
    });

    it("should own a slot provisionally when started while the store is unavailable, and claim it afterwards", async () => {
        await withClock(async clock => {
            const store = new FakeStore();
            store.fault = "down";
            const slots = createSlots(store, "a", new Set(["a"]));
            await slots.start();
            const slot = await slots.pickOpenSlot(() => 0);
            expect([slot?.provisional, slot?.epoch]).toEqual([true, 0]);
            store.fault = "none";
            await clock.tickAsync(10_000);
            expect(slots.all().every(owned => !owned.provisional)).toEqual(true);
            await slots.stop();
        });
    });

    it("should keep the instance's key only until its lease ends", async () => {
        await withSlots(async ({ store, slots, clock }) => {
            expect(store.state.get(instanceKey("a")) === undefined).toEqual(false);
            await slots.stop();
            await clock.tickAsync(10);
            expect(store.state.get(instanceKey("a"))).toEqual(undefined);
        });
    });
});
