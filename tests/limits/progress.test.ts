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

    it("should end with its parent, also if that has ended before", () => {
        const parent = new Progress(1_000);
        const child = parent.child(500);
        const disposed = parent.child(500);
        disposed.dispose();
        const reason = new Error("the caller left");
        parent.abort(reason);
        const late = parent.child(500);
        const aborted = [parent, child, disposed, late].map(({ isAborted, abortReason }) => [isAborted, abortReason]);
        expect(aborted).toEqual([[true, reason], [true, reason], [false, undefined], [true, reason]]);
    });

    it("should end with a signal, also if that was aborted before", () => {
        const controller = new AbortController();
        const early = new Progress(1_000, controller.signal);
        controller.abort(new Error("stopping"));
        const late = new Progress(1_000, controller.signal);
        expect([early.isAborted, late.isAborted]).toEqual([true, true]);
        expect([early.abortReason, late.abortReason]).toEqual([controller.signal.reason, controller.signal.reason]);
    });

    it("should give the signal of an operation that is or will be aborted, with the reason", () => {
        const progress = new Progress(1_000);
        const before = progress.signal;
        expect(before.aborted).toEqual(false);
        progress.abort(new Error("first"));
        progress.abort(new Error("second"));
        const other = new Progress(1_000);
        other.abort(undefined);
        expect([before, progress.signal].map(({ aborted, reason }) => [aborted, (reason as Error).message])).toEqual([
            [true, "first"],
            [true, "first"],
        ]);
        expect([other.signal.aborted, (other.signal.reason as Error).name]).toEqual([true, "AbortError"]);
    });

    it("should call each listener once, but none that was removed, and one that comes late at once", () => {
        const progress = new Progress(1_000);
        const calls: string[] = [];
        const removers: (() => void)[] = [];
        progress.onAbort(() => {
            calls.push("first");
            removers.forEach(remove => remove());
        });
        removers.push(progress.onAbort(() => calls.push("removed by the first")));
        progress.onAbort(() => calls.push("last"));
        progress.abort(new Error("the deadline passed"));
        progress.abort(new Error("again"));
        progress.onAbort(() => calls.push("late"));
        expect(calls).toEqual(["first", "last", "late"]);
    });

    it("should keep no listener of a wait that has ended", async () => {
        const progress = new Progress(1_000);
        const { length } = await progress.race(Promise.resolve("done"));
        await expect(progress.race(Promise.reject(new Error("failed")))).toBeRejectedWith("failed");
        const child = progress.child(500);
        child.dispose();
        expect([length, progress.listenerCount]).toEqual([4, 0]);
        progress.dispose();
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
