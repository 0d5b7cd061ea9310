import { Progress, silentLogger } from "@marigolddrift/common";
import { BatchWriter, createTurn, RelayStore, StoreArchive, TurnStore } from "@marigolddrift/gateway";
import type { TurnRecord } from "@marigolddrift/gateway";
import { StoreError } from "@marigolddrift/store";
import type { VersionedStore } from "@marigolddrift/store";
import { expect } from "earl";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";
import { conversationOf } from "./conversations.js";

describe("relay store", () => {
    const answeringPeer = {
        ask: async () => ({ key: "k", value: Buffer.from("via peer"), revision: 1 }),
        onRelayFailed: () => {},
    } as never;
    const get = async (direct: Pick<VersionedStore, "get">): Promise<string | undefined> => {
        const relay = new RelayStore(direct as VersionedStore, () => answeringPeer, silentLogger);
        return (await relay.get("k", new Progress(2_000)))?.value.toString();
    };

    it("should ask a peer when the direct call fails", async () => {
        expect(await get({ get: () => Promise.reject(new StoreError("no", "connection refused")) })).toEqual(
            "via peer",
        );
    });

    it("should find a peer that reaches the store while several peers are refused", async () => {
        let refused = 0;
        const refusedPeer = () => ({
            ask: async () => {
                refused += 1;
                throw new StoreError("unknown", "refused");
            },
            onRelayFailed: () => {},
        });
        const peers = [refusedPeer(), refusedPeer(), answeringPeer] as never[];
        let directCalls = 0;
        const direct = {
            get: async () => {
                directCalls += 1;
                throw new StoreError("no", "connection refused");
            },
        } as never;
        const pick = (excluded: ReadonlySet<unknown>) => peers.find(peer => !excluded.has(peer));
        const relay = new RelayStore(direct, pick, silentLogger);
        const read = async () => (await relay.get("k", new Progress(500)))?.value.toString();
        expect([await read(), refused, directCalls]).toEqual(["via peer", 2, 1]);
        peers.splice(0, 2);
        expect([await read(), directCalls]).toEqual(["via peer", 1]);
    });

    it("should ask a peer when the direct call gets no response", async () => {
        expect(await get({ get: () => new Promise(() => {}) })).toEqual("via peer");
    });

    it("should end the direct call once a peer has responded, to release an unresponsive connection", async () => {
        let ended = false;
        const unresponsive = (_: string, progress: Progress): Promise<undefined> => {
            progress.signal.addEventListener("abort", () => ended = true);
            return new Promise(() => {});
        };
        expect([await get({ get: unresponsive }), ended]).toEqual(["via peer", true]);
    });

    it("should ask peers first after one has answered sooner, and try the store with one call at a time", async () => {
        let directCalls = 0;
        const silent = {
            get: () => {
                directCalls += 1;
                return new Promise(() => {});
            },
        } as never;
        const relay = new RelayStore(silent, () => answeringPeer, silentLogger);
        const read = async () => (await relay.get("k", new Progress(1_000)))?.value.toString();
        expect([await read(), directCalls]).toEqual(["via peer", 1]);
        await Promise.all(Array.from({ length: 20 }, read));
        expect(directCalls).toEqual(1);
        await new Progress(2_000).sleep(1_050);
        await Promise.all(Array.from({ length: 20 }, read));
        expect(directCalls).toEqual(2);
    });

    it("should not repeat calls while all responses are late, as over a full link", async () => {
        let calls = 0;
        const late = {
            get: async (_: string, progress: Progress) => {
                calls += 1;
                await progress.sleep(300);
                return undefined;
            },
        };
        const peer = { ask: (_: unknown, progress: Progress) => late.get("", progress), onRelayFailed: () => {} };
        const relay = new RelayStore(late as never, () => peer as never, silentLogger);
        for (let round = 0; round < 4; round++) {
            await relay.get("k", new Progress(2_000));
        }
        calls = 0;
        await Promise.all(Array.from({ length: 40 }, () => relay.get("k", new Progress(2_000))));
        expect(calls).toSatisfy(count => count <= 44);
    });

    it("should not ask a peer when the store has answered", async () => {
        expect(await get({ get: async () => undefined })).toEqual(undefined);
    });
});

describe("turns", () => {
    const keepMs = 60_000;
    const turn = (id: string, last?: TurnRecord, bytes = 0): TurnRecord => {
        const input = Buffer.from(`${id} in ${"x".repeat(bytes)}`);
        const previous = last && conversationOf(last);
        return createTurn({ id, input, output: Buffer.from(`${id} out\n`), keepMs }, previous, 0);
    };
    const toSave = (record: TurnRecord) => ({ turn: record, program: "p", keepMs });
    const createTurns = (store: FakeStore): TurnStore =>
        new TurnStore(new StoreArchive(store, new BatchWriter(store, 0, silentLogger), silentLogger), silentLogger);

    it("should load the whole conversation on an instance with an empty cache", async () => {
        const store = new FakeStore();
        const progress = new Progress(3_000);
        const turns = createTurns(store);
        const first = turn("t1");
        await turns.save(toSave(first), progress);
        await turns.save(toSave(turn("t2", first)), progress);
        const { history } = await createTurns(store).loadConversation({ id: "t2", program: "p" }, progress);
        expect(history.toString()).toEqual("t1 in t1 out\nt2 in t2 out\n");
        expect(store.reads).toEqual(1);
    });

    it("should not write a long conversation again for each turn", async () => {
        const store = new FakeStore();
        const progress = new Progress(3_000);
        const turns = createTurns(store);
        let last: TurnRecord | undefined;
        let writtenBytes = 0;
        for (const id of ["t1", "t2", "t3", "t4"]) {
            last = turn(id, last, 5_000);
            writtenBytes += last.tail.length;
            await turns.save(toSave(last), progress);
        }
        expect([last!.base, last!.tail.length < 11_000]).toEqual(["t2", true]);
        expect(writtenBytes).toSatisfy(bytes => bytes < 31_000);
        const { history } = await createTurns(store).loadConversation({ id: "t4", program: "p" }, progress);
        expect(history.toString().match(/t\d in/g)).toEqual(["t1 in", "t2 in", "t3 in", "t4 in"]);
    });

    it("should not send a long first prompt again with the turns after it", async () => {
        const first = turn("t1", undefined, 16_000);
        const later = [turn("t2", first, 1_000)];
        for (const id of ["t3", "t4", "t5", "t6"]) {
            later.push(turn(id, later.at(-1), 1_000));
        }
        expect(later[0]!.base).toEqual("t1");
        expect(later.reduce((sum, { tail }) => sum + tail.length, 0)).toSatisfy(bytes => bytes < first.tail.length);
    });

    it("should retry while the store is unavailable, and report an unknown result when time runs out", async () => {
        const store = new FakeStore();
        await createTurns(store).save(toSave(turn("t1")), new Progress(1_000));
        store.fault = "down";
        store.faultsLeft = 3;
        expect((await createTurns(store).loadConversation({ id: "t1", program: "p" }, new Progress(3_000))).last.id)
            .toEqual("t1");
        store.faultsLeft = Infinity;
        await expect(createTurns(store).loadConversation({ id: "t1", program: "p" }, new Progress(1_500)))
            .toBeRejectedWith(
                "did not say",
            );
    });

    it("should report a turn as missing only if confirmed by the store", async () => {
        await expect(createTurns(new FakeStore()).loadConversation({ id: "t9", program: "p" }, new Progress(1_000)))
            .toBeRejectedWith("No turn");
    });
});
