import { Progress, silentLogger } from "@marigolddrift/common";
import { BatchWriter } from "@marigolddrift/gateway";
import { StoreRefusalError } from "@marigolddrift/store";
import type { Compare, Put, TxnResult } from "@marigolddrift/store";
import { expect } from "earl";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";

/** Like the platform's store, accepts up to 32 entries per call; rejects the key `bad`. */
class StrictStore extends FakeStore {
    override async txn(compares: readonly Compare[], puts: readonly Put[]): Promise<TxnResult> {
        if (compares.length + puts.length > 32 || puts.some(put => put.key === "bad")) {
            throw new StoreRefusalError("txn", 400);
        }
        return await super.txn(compares, puts);
    }
}

const put = (key: string, expected = 0, value = key) => ({ key, expected, value: Buffer.from(value) });

describe("batch writer", () => {
    it("should combine concurrent writes into few calls of an allowed size", async () => {
        const store = new StrictStore();
        const writer = new BatchWriter(store, 2, silentLogger);
        const progress = new Progress(2_000);
        const keys = Array.from({ length: 40 }, (_, index) => `k${index}`);
        const results = await Promise.all(keys.map(key => writer.put(put(key), progress)));
        expect(results.every(result => result.kind === "written")).toEqual(true);
        expect(store.writes).toEqual(3);
    });

    it("should report a conflict only for the write whose condition failed", async () => {
        const store = new StrictStore();
        const writer = new BatchWriter(store, 2, silentLogger);
        const progress = new Progress(2_000);
        await writer.put(put("a", 0, "old"), progress);
        const [a, b] = await Promise.all([
            writer.put(put("a", 0, "new"), progress),
            writer.put(put("b"), progress),
        ]);
        expect(a).toHaveSubset({ kind: "conflict" });
        expect(b).toHaveSubset({ kind: "written" });
    });

    it("should take a write whose reply was lost as written, and apply it only once", async () => {
        const store = new StrictStore();
        const writer = new BatchWriter(store, 2, silentLogger);
        store.fault = "loseReply";
        store.faultsLeft = 1;
        const result = await writer.put(put("a"), new Progress(2_000));
        expect(result).toHaveSubset({ kind: "written" });
        expect(store.state.get("a")!.version).toEqual(1);
    });

    it("should apply the other writes when the store rejects one of them", async () => {
        const store = new StrictStore();
        const writer = new BatchWriter(store, 2, silentLogger);
        const progress = new Progress(2_000);
        const refused = writer.put(put("bad"), progress).then(() => "written", () => "refused");
        const written = await Promise.all(["a", "b", "c"].map(key => writer.put(put(key), progress)));
        expect(written.map(({ kind }) => kind)).toEqual(["written", "written", "written"]);
        expect(await refused).toEqual("refused");
    });

    it("should fail fast while the store is unavailable, and still probe it", async () => {
        const store = new StrictStore();
        const writer = new BatchWriter(store, 2, silentLogger);
        store.fault = "down";
        const progress = new Progress(10_000);
        await expect(writer.putFailFast(put("a"), progress)).toBeRejectedWith("The store is away");
        const startedAt = performance.now();
        const probing = writer.putFailFast(put("b"), progress).catch(() => "away");
        await expect(writer.putFailFast(put("c"), progress)).toBeRejectedWith("The store is away");
        expect(performance.now() - startedAt < 100).toEqual(true);
        store.fault = "none";
        expect(await probing !== "away").toEqual(true);
        expect((await writer.putFailFast(put("d"), progress)).kind).toEqual("written");
    });
});
