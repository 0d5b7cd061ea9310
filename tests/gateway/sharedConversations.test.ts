import { Progress, silentLogger } from "@marigolddrift/common";
import { createTurn, MemoryRoom, splitTurn, TurnStore } from "@marigolddrift/gateway";
import type { TurnArchive, TurnRecord } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

const mb = 1_000_000;
const keepMs = 60_000;
const maxTailBytes = 250_000;
const program = "p";

/** An archive that counts what is loaded. */
class CountingArchive implements TurnArchive {
    readonly records = new Map<string, TurnRecord>();
    loads = 0;

    async save({ turn }: { readonly turn: TurnRecord; }): Promise<void> {
        this.records.set(turn.id, turn);
    }

    async load({ id }: { readonly id: string; }): Promise<TurnRecord | undefined> {
        this.loads += 1;
        await new Promise(resolve => setTimeout(resolve, 1));
        return this.records.get(id);
    }
}

/** Returns a store that keeps conversations of one turn with the given names and size, and has none of them in memory. */
const createStore = (names: readonly string[], bytes: number, maxBytes: number) => {
    const archive = new CountingArchive();
    for (const id of names) {
        const content = { id, input: Buffer.alloc(bytes, id), output: Buffer.from("out\n"), keepMs };
        splitTurn(createTurn(content, undefined, Date.now()), maxTailBytes).forEach(turn =>
            archive.records.set(turn.id, turn)
        );
    }
    const conversations = new MemoryRoom(maxBytes);
    return { archive, conversations, turns: new TurnStore(archive, silentLogger, { conversations, maxTailBytes }) };
};

describe("conversations in memory", () => {
    // Guards against a copy of the conversation for each of the sub-agents that a turn has started.
    it("should be loaded and held once for all turns that continue one at the same time", () =>
        withClock(async clock => {
            const { archive, conversations, turns } = createStore(["t"], 4 * mb, 20 * mb);
            const loading = Promise.all(
                Array.from({ length: 10 }, () => turns.loadConversation({ id: "t", program }, new Progress(2_000))),
            );
            await clock.tickAsync(200);
            const held = await loading;
            expect(archive.loads).toEqual(17);
            expect(new Set(held.map(({ bytes }) => bytes))).toEqual(new Set([4 * mb + 4]));
            expect(new Set(held.map(({ history }) => history.chunks[3])).size).toEqual(1);
            expect(conversations.heldBytes).toSatisfy(bytes => bytes < 4.1 * mb);
        }));

    it("should wait for each other if there is no room for all, and be served one after the other", () =>
        withClock(async clock => {
            const names = ["a", "b", "c", "d"];
            const { conversations, turns } = createStore(names, 6 * mb, 15 * mb);
            const ended: string[] = [];
            let mostBytes = 0;
            for (const id of names) {
                void turns.loadConversation({ id, program }, new Progress(20_000)).then(async conversation => {
                    mostBytes = Math.max(mostBytes, conversations.heldBytes);
                    await new Promise(resolve => setTimeout(resolve, 500));
                    conversation.release();
                    ended.push(id);
                });
            }
            await clock.tickAsync(5_000);
            expect(ended).toEqual(names);
            expect(mostBytes).toSatisfy(bytes => bytes <= 15 * mb);
        }));

    // Guards against a time to come again that is far too early, since conversations are held for longer than they take to load.
    it("should be refused with a time to come again that follows from how long others are held", () =>
        withClock(async clock => {
            const { turns } = createStore(["a", "b"], 6 * mb, 11 * mb);
            for (let time = 0; time < 20; time++) {
                const loading = turns.loadConversation({ id: "a", program }, new Progress(5_000));
                await clock.tickAsync(2_000);
                (await loading).release();
            }
            const held = turns.loadConversation({ id: "a", program }, new Progress(5_000));
            await clock.tickAsync(100);
            const refused = turns.loadConversation({ id: "b", program }, new Progress(1_000)).then(
                () => undefined,
                (err: { readonly retryAfterSeconds: number; }) => err.retryAfterSeconds,
            );
            await clock.tickAsync(100);
            (await held).release();
            expect(await refused).toSatisfy(seconds => seconds! >= 0.8 && seconds! <= 1.2);
        }));

    it("should be found in memory until the room is needed for others", () =>
        withClock(async clock => {
            const { archive, conversations, turns } = createStore(["a", "b"], 6 * mb, 11 * mb);
            const load = async (id: string): Promise<number> => {
                const before = archive.loads;
                const loading = turns.loadConversation({ id, program }, new Progress(5_000));
                await clock.tickAsync(1_000);
                (await loading).release();
                return archive.loads - before;
            };
            expect([await load("a"), await load("a"), await load("b")]).toEqual([25, 0, 25]);
            expect(conversations.heldBytes).toSatisfy(bytes => bytes <= 11 * mb);
            expect(await load("a")).toSatisfy(loads => loads > 0);
        }));

    // Guards against a conversation that is answered whole, and whose next turn can't be served by anyone.
    it("should be refused for good at the turn after which there would be no room for them", () =>
        withClock(async clock => {
            const { turns } = createStore(["t"], 5 * mb, 10 * mb);
            const continueWith = async (inputBytes: number): Promise<string> => {
                const loading = turns.loadConversation({ id: "t", program }, new Progress(2_000), {
                    inputBytes,
                    group: "",
                }).then(() => "served", (err: { readonly code: string; }) => err.code);
                await clock.tickAsync(200);
                return await loading;
            };
            expect([await continueWith(0.5 * mb), await continueWith(1 * mb)]).toEqual([
                "served",
                "conversation_too_large",
            ]);
        }));

    it("should leave nothing behind if a record of one is missing", () =>
        withClock(async clock => {
            const { archive, conversations, turns } = createStore(["t"], 4 * mb, 20 * mb);
            archive.records.delete("t\n2");
            const loading = turns.loadConversation({ id: "t", program }, new Progress(2_000)).catch(() => "failed");
            await clock.tickAsync(200);
            expect(await loading).toEqual("failed");
            const whole = conversations.fits(20 * mb);
            expect([whole, conversations.waitingRequests]).toEqual([true, 0]);
        }));
});
