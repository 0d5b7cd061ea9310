import { expect } from "earl";
import { describe, it } from "node:test";

import { JournalNode, withJournalNode } from "./journalNode.js";

describe("turn journal that is drained", () => {
    it("should take no turns once draining has begun, and flush all turns to the store", () =>
        withJournalNode(async (node, store) => {
            await node.keep("t1", 1);
            const draining = node.journal.drain();
            expect(await node.keep("t2", 0)).toEqual(false);
            await draining;
            expect([node.journal.unflushedCount, store.state.get("marigolddrift/turns/t1") !== undefined]).toEqual([
                0,
                true,
            ]);
        }));

    // Guards against a machine that said at its start that it was empty, before it had read the turns on its disk.
    it("should flush the turns on the disk if draining begins before they have been read", () =>
        withJournalNode(async (node, store, dir) => {
            store.fault = "down";
            await node.keep("t1", 0);
            await node.journal.close();
            store.fault = "none";
            const restarted = new JournalNode(dir, store);
            let isDrained = false;
            const draining = restarted.journal.drain().then(() => isDrained = true);
            await new Promise(resolve => setTimeout(resolve, 50));
            expect(isDrained).toEqual(false);
            await restarted.journal.start(0);
            expect(await restarted.keep("t2", 0)).toEqual(false);
            await draining;
            expect(store.state.get("marigolddrift/turns/t1")).not.toEqual(undefined);
            await restarted.close();
        }));

    it("should flush a turn that it is still writing to the disk when draining begins", () =>
        withJournalNode(async (node, store) => {
            const kept = node.keep("t1", 0);
            await node.journal.drain();
            expect([await kept, store.state.get("marigolddrift/turns/t1") !== undefined]).toEqual([true, true]);
        }));
});
