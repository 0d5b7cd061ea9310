import { Progress } from "@marigolddrift/common";
import { PlatformStore } from "@marigolddrift/platform";
import { HistoryGoneError, StoreRefusalError } from "@marigolddrift/store";
import { expect } from "earl";
import { describe, it } from "node:test";

import { RawServer } from "../platform/rawServer.js";
import type { ConnectionEnd, RawReply } from "../platform/rawServer.js";

const item = { key: "a", value: "aGk=", rev: 3, createdRev: 1, lease: 0 };
const callTimeoutMs = 2_000;
const concurrency = 8;

const get = (store: PlatformStore, progress: Progress): Promise<unknown> => store.get("a", progress);
const range = (store: PlatformStore, progress: Progress): Promise<unknown> => store.range("a", progress);
const watch = (store: PlatformStore, progress: Progress): Promise<unknown> => store.changes("a", 1, 10, progress);
const write = (store: PlatformStore, progress: Progress): Promise<unknown> =>
    store.txn([{ key: "a", revision: 0 }], [{ key: "a", value: Buffer.from("x") }], progress);

/** Calls with replies to them. */
const exchanges = {
    "an item": { send: get, status: 200, body: { ...item, at: 5 } },
    "that there is no item": { send: get, status: 404, body: {} },
    "the last page": { send: range, status: 200, body: { items: [item, { ...item, key: "b" }], more: false, at: 5 } },
    "a page that others follow": { send: range, status: 200, body: { items: [item], more: true, at: 5 } },
    "changes": { send: watch, status: 200, body: { events: [item, { key: "b", rev: 4, deleted: true }], at: 5 } },
    "that the history is gone": { send: watch, status: 410, body: {} },
    "a write": { send: write, status: 200, body: { rev: 9 } },
    "a conflict": { send: write, status: 412, body: { items: [item] } },
    "a refusal": { send: write, status: 503, body: {} },
};

const headEnd = "\r\n\r\n";
const framings: readonly ((status: number, body: string) => string)[] = [
    (status, body) => `HTTP/1.1 ${status} X\r\nContent-Length: ${body.length}${headEnd}${body}`,
    (status, body) =>
        `HTTP/1.1 ${status} X\r\nConnection: close\r\nTransfer-Encoding: chunked${headEnd}${
            body.length.toString(16)
        }\r\n${body}\r\n0\r\n\r\n`,
    (status, body) => `HTTP/1.1 ${status} X\r\nConnection: close${headEnd}${body}`,
];
const ends: readonly ConnectionEnd[] = ["close", "reset", "half"];

/** All parts of a reply that do not say how the call ended. */
const partsOf = (reply: string, status: number): string[] =>
    Array.from({ length: reply.length }, (_, length) => reply.slice(0, length)).filter(part =>
        // A status other than 200 says all, and without framing an empty body may be the whole one.
        status === 200 || !(part.endsWith(headEnd) && !/length|chunked/i.test(part))
    );

/** Calls a store that replies as given, and tells whether the caller learned anything from it. */
const outcomeOf = async (send: typeof get, reply: RawReply): Promise<string> => {
    const server = new RawServer(() => reply);
    await server.start();
    const store = new PlatformStore(server.address);
    const progress = new Progress(callTimeoutMs);
    try {
        return `answered: ${JSON.stringify(await send(store, progress))} after ${JSON.stringify(reply)}`;
    }
    catch (err) {
        const isAnswer = err instanceof StoreRefusalError || err instanceof HistoryGoneError;
        return isAnswer ? `refused after ${JSON.stringify(reply)}` : "unknown";
    }
    finally {
        progress.dispose();
        await store.close();
        server.close();
    }
};

// Guards against a part of a reply of the platform's store that is taken for an answer: what was sent may have been executed.
describe("replies of the platform's store that break off", () => {
    for (const [name, { send, status, body }] of Object.entries(exchanges)) {
        it(`should leave open how the call ended: ${name}`, async () => {
            const replies = framings.flatMap(frame => partsOf(frame(status, JSON.stringify(body)), status)).map(
                (bytes, cut): RawReply => ({ bytes, end: ends[cut % ends.length]!, endDelayMs: cut % 2 * 5 }),
            );
            const outcomes = new Set<string>();
            const lanes = Array.from({ length: concurrency }, async (_, lane) => {
                for (const reply of replies.filter((_, index) => index % concurrency === lane)) {
                    outcomes.add(await outcomeOf(send, reply));
                }
            });
            await Promise.all(lanes);
            expect([...outcomes]).toEqual(["unknown"]);
        });
    }
});
