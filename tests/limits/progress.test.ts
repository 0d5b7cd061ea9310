import { Progress } from "@marigolddrift/common";
import { expect } from "earl";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";

const nextEventLoopIteration = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 0));

describe("progress", () => {
    it("should let many children wait at once without a listener leak warning", async () => {
        const warnings: Error[] = [];
        const onEvent = (warning: Error): void => void warnings.push(warning);
        process.on("warning", onEvent);
        const progress = new Progress(1_000);
        const children = Array.from({ length: 20 }, () => progress.child(500));
        await nextEventLoopIteration();
        children.forEach(child => child.dispose());
        progress.dispose();
        process.off("warning", onEvent);
        expect(warnings).toEqual([]);
    });

    it("should leave no unhandled rejection when the operation has ended before the wait begins", async () => {
        const unhandled: unknown[] = [];
        const onEvent = (reason: unknown): void => {
            unhandled.push(reason);
        };
        process.on("unhandledRejection", onEvent);
        try {
            const progress = new Progress(1_000);
            progress.abort(new Error("the deadline passed"));
            const late = Promise.reject(new Error("the store did not answer"));
            await expect(progress.race(late)).toBeRejectedWith("the deadline passed");
            await nextEventLoopIteration();
        }
        finally {
            process.off("unhandledRejection", onEvent);
        }
        expect(unhandled).toEqual([]);
    });

    it("should process input that arrived during a stall of the process before the deadline error", async () => {
        const server = createServer(socket => socket.end("in time"));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        // Prevents the sockets from keeping the process alive if the test fails.
        server.unref();
        socket.unref();
        const progress = new Progress(50);
        const answer = new Promise<string>(resolve => socket.on("data", data => resolve(data.toString())));
        await once(server, "connection");
        const stalledUntil = performance.now() + 150;
        while (performance.now() < stalledUntil) {
            // Blocks the event loop while the response waits in the socket.
        }
        expect(await progress.race(answer)).toEqual("in time");
        server.close();
    });
});
