/** A turn journal on a temporary disk, and turns to keep. */
import { silentLogger } from "@marigolddrift/common";
import { createTurn, DiskLog, FlushOrder, packTurn, RecordRemover, TurnJournal } from "@marigolddrift/gateway";
import type { TurnRecord, TurnToSave } from "@marigolddrift/gateway";

import { FakeStore } from "../fakeStore.js";
import { withDir } from "./withDir.js";

export const keepMs = 60_000;

/** Returns a turn with the given id whose input and output are short. */
export const turnOf = (id: string): TurnRecord =>
    createTurn({ id, input: Buffer.from(`${id} in `), output: Buffer.from("out\n"), keepMs }, undefined, 0);

/** Returns the turn with the given id as a front passes it to an archive. */
export const toSave = (id: string): TurnToSave => ({ turn: turnOf(id), program: "p", keepMs });

/** A journal that writes to a store of the test; records which ids it reports to other holders as flushed. */
export class JournalNode {
    readonly notifiedIds: string[][] = [];
    readonly flushOrder = new FlushOrder("r", () => "r", () => undefined);
    private readonly remover: RecordRemover;
    readonly journal: TurnJournal;

    constructor(dir: string, store: FakeStore) {
        this.remover = new RecordRemover(store, silentLogger);
        const notifyFlushed = (_: string, ids: readonly string[]) => this.notifiedIds.push([...ids]);
        this.journal = new TurnJournal(
            new DiskLog(dir, silentLogger),
            store,
            this.remover,
            notifyFlushed,
            this.flushOrder,
            silentLogger,
        );
    }

    keep(id: string, copy: number): Promise<boolean> {
        const record = packTurn(turnOf(id));
        return this.journal.append({ id, record, keepMs, copy, holders: ["other:1"] });
    }

    async close(): Promise<void> {
        this.remover.close();
        await this.journal.close();
    }
}

/** Runs a test with a journal on an empty disk. */
export const withJournalNode = (
    test: (node: JournalNode, store: FakeStore, dir: string) => Promise<void>,
): Promise<void> =>
    withDir(async dir => {
        const store = new FakeStore();
        const node = new JournalNode(dir, store);
        await node.journal.start(0);
        try {
            await test(node, store, dir);
        }
        finally {
            await node.close();
        }
    });
