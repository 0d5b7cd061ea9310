import { silentLogger } from "@marigolddrift/common";
import { DiskLog, FlushOrder, RecordRemover, TurnJournal } from "@marigolddrift/gateway";
import { expect } from "earl";
import { randomBytes } from "node:crypto";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";
import { waitUntil } from "../platform/deployment.js";
import { withDir } from "./withDir.js";

const recordBytes = 100_000;
const turns = 30;

/** Memory for three records of each kind. */
const memory = { unflushedBytes: 3 * recordBytes, flushedBytes: 3 * recordBytes };

const withJournal = async (dir: string, store: FakeStore, test: (journal: TurnJournal) => Promise<void>) => {
    const remover = new RecordRemover(store, silentLogger);
    const order = new FlushOrder("r", () => "r", () => undefined);
    const disk = new DiskLog(dir, silentLogger);
    const journal = new TurnJournal(disk, store, remover, () => {}, order, silentLogger, memory);
    await journal.start(0);
    try {
        await test(journal);
    }
    finally {
        remover.close();
        await journal.close();
    }
};

// Guards against machines with disks that go over their memory with turns that wait for the store, which are on the disk anyway.
describe("turns of a journal that are not in memory", () => {
    const records = Array.from({ length: turns }, () => randomBytes(recordBytes));
    const idOf = (index: number): string => `t${index}`;

    const appendAll = (journal: TurnJournal): Promise<boolean[]> =>
        Promise.all(
            records.map((record, index) =>
                journal.append({ id: idOf(index), record, keepMs: 60_000, copy: 0, holders: [] })
            ),
        );

    const findWrong = async (journal: TurnJournal): Promise<string[]> => {
        const wrong: string[] = [];
        for (const [index, record] of records.entries()) {
            if ((await journal.find(idOf(index))).record?.equals(record) !== true) {
                wrong.push(idOf(index));
            }
        }
        return wrong;
    };

    it("should be found while the store is away, also after a restart, and reach the store after it", () =>
        withDir(async dir => {
            const store = new FakeStore();
            store.fault = "down";
            await withJournal(dir, store, async journal => {
                expect(await appendAll(journal)).toEqual(records.map(() => true));
                expect(journal.recordBytes).toSatisfy(bytes => bytes <= memory.unflushedBytes);
                expect(await findWrong(journal)).toEqual([]);
            });
            await withJournal(dir, store, async journal => {
                expect(journal.recordBytes).toSatisfy(bytes => bytes <= memory.unflushedBytes);
                expect([journal.unflushedCount, await findWrong(journal)]).toEqual([turns, []]);
                store.fault = "none";
                await waitUntil(() => journal.unflushedCount === 0, 10_000);
                expect(journal.recordBytes).toSatisfy(bytes => bytes <= memory.flushedBytes);
            });
            const stored = records.map((_, index) => store.state.get(`marigolddrift/turns/${idOf(index)}`)?.value);
            expect(stored.filter((value, index) => value?.equals(records[index]!) !== true)).toEqual([]);
        }));

    // Guards against a turn that the disk has lost and that keeps all turns behind it out of the store.
    it("should not keep others from the store if one of them cannot be read", () =>
        withDir(async dir => {
            const store = new FakeStore();
            store.fault = "down";
            const disk = new DiskLog(dir, silentLogger);
            const remover = new RecordRemover(store, silentLogger);
            const order = new FlushOrder("r", () => "r", () => undefined);
            const journal = new TurnJournal(disk, store, remover, () => {}, order, silentLogger, memory);
            await journal.start(0);
            await appendAll(journal);
            const read = disk.read.bind(disk);
            disk.read = place => place.offset === 0 ? Promise.reject(new Error("lost")) : read(place);
            store.fault = "none";
            await waitUntil(() => journal.unflushedCount === 1, 10_000);
            remover.close();
            await journal.close();
        }));
});
