import type { ProblemError } from "@marigolddrift/common";
import { Progress, silentLogger } from "@marigolddrift/common";
import { BatchWriter, ChunkedBytes, createTurn, RecordRemover, StoreArchive, TurnStore } from "@marigolddrift/gateway";
import type { Conversation, TurnRecord } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";
import { FakeStore } from "../fakeStore.js";
import { conversationOf } from "./conversations.js";

const keepMs = 60_000;
const program = "p";

const textOf = (id: string, bytes: number): Buffer => Buffer.from(`${id} ${"x".repeat(bytes)} `);

const createTurns = (store: FakeStore): TurnStore =>
    new TurnStore(new StoreArchive(store, new BatchWriter(store, 0, silentLogger), silentLogger), silentLogger);

/** Runs an operation on the paused clock. */
const settle = async <T>(clock: { tickAsync(ms: number): Promise<number>; }, operation: Promise<T>): Promise<T> => {
    operation.catch(() => {});
    await clock.tickAsync(100);
    return await operation;
};

describe("retention of conversations", () => {
    // Guards against conversations that were answered 404 once their first turn was older than the retention time of one turn.
    for (
        const [pauseMs, bytes] of [[50_000, 9_000], [59_000, 9_000], [7_000, 9_000], [20_000, 3_000], [
            59_000,
            10,
        ]] as const
    ) {
        it(`should find the whole conversation after pauses of ${pauseMs} ms between turns of ${bytes} bytes`, () =>
            withClock(async clock => {
                const store = new FakeStore();
                const writing = createTurns(store);
                let previous: Conversation | undefined;
                let written = Buffer.alloc(0);
                for (let index = 0; index < 12; index++) {
                    const id = `t${index}`;
                    const input = textOf(id, bytes);
                    const turn = createTurn({ id, input, output: Buffer.from("out\n"), keepMs }, previous, Date.now());
                    await settle(clock, writing.save({ turn, program, keepMs }, new Progress(2_000)));
                    written = Buffer.concat([written, input, Buffer.from("out\n")]);
                    await clock.tickAsync(pauseMs);
                    // An instance that has nothing in its cache.
                    previous = await settle(
                        clock,
                        createTurns(store).loadConversation({ id, program }, new Progress(2_000)),
                    );
                    expect(previous.history.equals(written)).toEqual(true);
                }
            }));
    }

    it("should refer to earlier records as long as they are kept, and write the conversation anew after that", () => {
        const content = (id: string) => ({ id, input: textOf(id, 9_000), output: Buffer.from("out\n"), keepMs });
        const first = createTurn(content("t1"), undefined, 0);
        const early = createTurn(content("t2"), conversationOf(first), 20_000);
        const late = createTurn(content("t2"), conversationOf(first), 20_001);
        expect([early.base, early.keptUntil]).toEqual(["t1", first.keptUntil]);
        expect([late.base, late.tail.length > 18_000, late.keptUntil]).toEqual([undefined, true, keepMs + 40_001]);
    });

    it("should not believe a time that only a clock far ahead can have written", () => {
        const first = createTurn(
            { id: "t1", input: textOf("t1", 9_000), output: Buffer.alloc(0), keepMs },
            undefined,
            600_000,
        );
        const content = { id: "t2", input: textOf("t2", 10), output: Buffer.alloc(0), keepMs };
        expect(createTurn(content, conversationOf(first), 0).base).toEqual(undefined);
    });

    it("should count on the shortest-lived record of a conversation if the retention time has changed", () => {
        const content = (id: string, keptMs: number) => ({
            id,
            input: textOf(id, 9_000),
            output: Buffer.from("out\n"),
            keepMs: keptMs,
        });
        const first = createTurn(content("t1", 60_000), undefined, 0);
        const longer = createTurn(content("t2", 75_000), conversationOf(first), 10_000);
        expect(longer.base).toEqual(undefined);
    });

    it("should hold the whole conversation after a record of an earlier version", () => {
        const tail = ChunkedBytes.of(textOf("t1", 9_000));
        const old = { id: "t1", base: undefined, tail } as unknown as TurnRecord;
        const previous = conversationOf(old);
        const turn = createTurn({ id: "t2", input: textOf("t2", 10), output: Buffer.alloc(0), keepMs }, previous, 0);
        expect([turn.base, turn.tail.length > 9_000]).toEqual([undefined, true]);
    });

    it("should not say that a turn does not exist while only an earlier record of it is missing", async () => {
        const store = new FakeStore();
        const turns = createTurns(store);
        const first = createTurn(
            { id: "t1", input: textOf("t1", 9_000), output: Buffer.alloc(0), keepMs },
            undefined,
            Date.now(),
        );
        const previous = conversationOf(first);
        const second = createTurn(
            { id: "t2", input: textOf("t2", 10), output: Buffer.alloc(0), keepMs },
            previous,
            Date.now(),
        );
        await turns.save({ turn: second, program, keepMs }, new Progress(2_000));
        const err = await createTurns(store).loadConversation({ id: "t2", program }, new Progress(2_000)).catch(
            (caught: unknown) => caught,
        );
        expect((err as ProblemError).code).toEqual("not_durable");
    });

    it("should remove each record once, whatever the retention times of those before it", () =>
        withClock(async clock => {
            const store = new FakeStore();
            const remover = new RecordRemover(store, silentLogger);
            for (const [key, keptMs] of [["long", 300_000], ["short", 1_000], ["medium", 60_000]] as const) {
                await store.txn([], [{ key, value: Buffer.from(key) }]);
                remover.schedule(key, keptMs);
            }
            const left = () => ["long", "short", "medium"].filter(key => store.state.get(key) !== undefined);
            await clock.tickAsync(45_000);
            expect(left()).toEqual(["long", "medium"]);
            await clock.tickAsync(120_000);
            expect(left()).toEqual(["long"]);
            await clock.tickAsync(500_000);
            expect(left()).toEqual([]);
            remover.close();
        }));
});
