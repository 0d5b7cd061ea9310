import { Progress } from "@marigolddrift/common";
import { PlatformStore } from "@marigolddrift/platform";
import { HistoryGoneError } from "@marigolddrift/store";
import { expect } from "earl";
import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";

const mb = 1024 * 1024;

/** More than the largest reply to one call, and far less than the memory of a small machine. */
const maxBytes = 48 * mb;

const page = JSON.stringify({ items: [{ key: "a", value: "aGk=", rev: 3 }], more: true, at: 5 });

describe("replies of the store without end", () => {
    let server: Server;
    let store: PlatformStore;

    const start = async (listener: RequestListener): Promise<void> => {
        server = createServer(listener);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        store = new PlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    };

    afterEach(async () => {
        await store.close();
        server.close();
        server.closeAllConnections();
    });

    /** Resolves to whether the call failed, and whether that was before its time limit. */
    const outcomeOf = async (call: (progress: Progress) => Promise<unknown>): Promise<string> => {
        const progress = new Progress(1_500);
        try {
            await progress.race(call(progress));
            return "answered";
        }
        catch {
            return progress.signal.aborted ? "timed out" : "failed";
        }
        finally {
            progress.abort(new Error("the test has ended"));
            progress.dispose();
        }
    };

    // Guards against a reply that is collected until the process has no memory left.
    it("should be given up before they fill the memory", async () => {
        let sentBytes = 0;
        await start((_, res) => {
            const piece = Buffer.alloc(mb, " ");
            const timer = setInterval(() => {
                if (sentBytes - res.writableLength < 4 * maxBytes && res.writableLength < 4 * mb) {
                    res.write(piece);
                    sentBytes += piece.length;
                }
            }, 5);
            res.on("close", () => clearInterval(timer));
            res.on("error", () => {});
        });
        const outcome = await outcomeOf(progress => store.get("a", progress));
        expect([outcome, sentBytes < maxBytes]).toEqual(["failed", true]);
    });

    // Guards against changes that are too large to be read, asked for again without end.
    it("should be read anew as a snapshot if they are changes", async () => {
        await start((_, res) => void res.end(Buffer.alloc(maxBytes, " ")));
        const progress = new Progress(5_000);
        const err = await store.changes("a", 1, 10, progress).catch((err: unknown) => err);
        progress.dispose();
        expect(err).toBeA(HistoryGoneError);
    });

    // Guards against pages that are read and collected for as long as the store says that there are more.
    it("should be given up if a page does not go on after the one before it", async () => {
        let pages = 0;
        await start((_, res) => {
            pages += 1;
            res.end(page);
        });
        const outcome = await outcomeOf(progress => store.range("a", progress));
        expect([outcome, pages]).toEqual(["failed", 2]);
    });
});
