import { Progress, silentLogger } from "@marigolddrift/common";
import {
    BatchWriter,
    ChunkedBytes,
    createTurn,
    DiskLog,
    FlushOrder,
    packTurn,
    RecordRemover,
    splitTurn,
    StoreArchive,
    storeKey,
    TurnJournal,
    TurnStore,
} from "@marigolddrift/gateway";
import type { TurnRecord } from "@marigolddrift/gateway";
import type { Compare, Put, TxnResult } from "@marigolddrift/store";
import { StoreRefusalError } from "@marigolddrift/store";
import { expect } from "earl";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";
import { waitUntil } from "../platform/deployment.js";
import { withDir } from "./withDir.js";

const keepMs = 60_000;
const valueBytes = 1_048_576;
const keyBytes = 200;

/** A store that refuses values and keys that are too long, as the platform's does. */
class StrictStore extends FakeStore {
    largestValue = 0;
    largestCall = 0;

    override async txn(
        compares: readonly Compare[],
        puts: readonly Put[],
        progress?: Progress,
        removals: readonly string[] = [],
    ): Promise<TxnResult> {
        if (puts.some(({ key, value }) => value.length > valueBytes || Buffer.byteLength(key) > keyBytes)) {
            throw new StoreRefusalError("txn", 400);
        }
        const sizes = puts.map(({ value }) => value.length);
        this.largestValue = Math.max(this.largestValue, ...sizes);
        this.largestCall = Math.max(this.largestCall, sizes.reduce((sum, size) => sum + size, 0));
        return await super.txn(compares, puts, progress, removals);
    }
}

const turnOf = (id: string, bytes: number): TurnRecord => {
    const input = Buffer.alloc(bytes, id);
    return createTurn({ id, input, output: Buffer.from("out\n"), keepMs }, undefined, Date.now());
};

const withJournal = (test: (journal: TurnJournal, store: StrictStore) => Promise<void>): Promise<void> =>
    withDir(async dir => {
        const store = new StrictStore();
        const remover = new RecordRemover(store, silentLogger);
        const order = new FlushOrder("r", () => "r", () => undefined);
        const journal = new TurnJournal(new DiskLog(dir, silentLogger), store, remover, () => {}, order, silentLogger);
        await journal.start(0);
        try {
            await test(journal, store);
        }
        finally {
            remover.close();
            await journal.close();
        }
    });

const append = (journal: TurnJournal, turn: TurnRecord): Promise<boolean> =>
    journal.append({ id: turn.id, record: packTurn(turn), keepMs, copy: 0, holders: [] });

describe("turns that the store refuses", () => {
    // Guards against one turn over the store's limit that kept all turns behind it out of the store.
    it("should not keep the turns of a journal beside them out of the store", () =>
        withJournal(async (journal, store) => {
            await append(journal, turnOf("large", 2 * valueBytes));
            await Promise.all(Array.from({ length: 40 }, (_, index) => append(journal, turnOf(`t${index}`, 3_000))));
            await waitUntil(() => journal.unflushedCount === 1);
            expect(store.state.get("marigolddrift/turns/t39")).not.toEqual(undefined);
            await append(journal, turnOf("later", 3_000));
            await waitUntil(() => store.state.get("marigolddrift/turns/later") !== undefined);
            expect((await journal.find("large")).record?.length).toSatisfy(length => length! > 2 * valueBytes);
        }));

    it("should be saved in parts that the store accepts, and be read again as they were", async () => {
        const store = new StrictStore();
        const create = () =>
            new TurnStore(new StoreArchive(store, new BatchWriter(store, 0, silentLogger), silentLogger), silentLogger);
        const turn = turnOf("large", 4 * valueBytes);
        const progress = new Progress(20_000);
        await create().save({ turn, program: "p", keepMs }, progress);
        const { history, last } = await create().loadConversation({ id: "large", program: "p" }, progress);
        expect([history.equals(turn.tail), last.id]).toEqual([true, "large"]);
        const next = createTurn(
            { id: "next", input: Buffer.from("more "), output: Buffer.from("end\n"), keepMs },
            { history, last, bytes: history.length },
            Date.now(),
        );
        await create().save({ turn: next, program: "p", keepMs }, progress);
        const continued = await create().loadConversation({ id: "next", program: "p" }, progress);
        expect(continued.history.equals(ChunkedBytes.of(turn.tail, Buffer.from("more end\n")))).toEqual(true);
        expect(store.largestValue).toSatisfy(bytes => bytes <= 256 * 1024);
    });

    it("should be split into parts that refer to each other in order", () => {
        const parts = splitTurn(turnOf("t", 25), 10);
        expect(parts.map(({ id, base, tail }) => [id, base, tail.length])).toEqual([
            ["t\n0", undefined, 10],
            ["t\n1", "t\n0", 10],
            ["t", "t\n1", 9],
        ]);
        expect(splitTurn(turnOf("t", 6), 10).map(({ id }) => id)).toEqual(["t"]);
    });

    it("should be written directly in calls of a bounded size", async () => {
        const store = new StrictStore();
        const writer = new BatchWriter(store, 0, silentLogger);
        const progress = new Progress(20_000);
        const value = Buffer.alloc(100 * 1024);
        await Promise.all(
            Array.from({ length: 12 }, (_, index) => writer.put({ key: `k${index}`, expected: 0, value }, progress)),
        );
        expect(store.largestCall).toSatisfy(bytes => bytes <= 256 * 1024);
    });

    it("should have keys that the store accepts, whatever their ids", () => {
        const names = ["t1", "a".repeat(5_000), "é/ö ".repeat(60), "a\nb"];
        const keys = names.map(name => storeKey("marigolddrift/budgets/", name));
        expect(keys[0]).toEqual("marigolddrift/budgets/t1");
        expect(keys.every(key => Buffer.byteLength(key) <= keyBytes)).toEqual(true);
        expect(new Set(keys).size).toEqual(keys.length);
    });
});
