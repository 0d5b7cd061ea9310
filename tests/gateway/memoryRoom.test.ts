import { Progress } from "@marigolddrift/common";
import type { ProblemError } from "@marigolddrift/common";
import { MemoryRoom } from "@marigolddrift/gateway";
import type { HeldRoom } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

const kib = 1024;
const maxBytes = 1_000 * kib;
const large = 600 * kib;
const maxWaitMs = 2_000;

describe("room in memory", () => {
    /** Asks for room; the result tells what has become of it so far. */
    const ask = (memory: MemoryRoom, name: string, bytes: number, group = "", waitMs = maxWaitMs) => {
        const asked: { room?: HeldRoom; err?: ProblemError; progress: Progress; } = { progress: new Progress(10_000) };
        memory.acquire({ bytes: () => bytes, group, key: name, maxWaitMs: waitMs }, asked.progress).then(
            room => asked.room = room,
            (err: ProblemError) => asked.err = err,
        );
        return asked;
    };

    it("should be granted in order, and a large request not be passed by smaller ones behind it", () =>
        withClock(async clock => {
            const memory = new MemoryRoom(maxBytes);
            const first = ask(memory, "first", large);
            const second = ask(memory, "second", large);
            const third = ask(memory, "third", 200 * kib);
            await clock.tickAsync(0);
            expect([first.room, second.room, third.room].map(room => room !== undefined)).toEqual([true, false, false]);
            first.room!.release();
            await clock.tickAsync(0);
            expect([second.room, third.room].map(room => room !== undefined)).toEqual([true, true]);
        }));

    // Guards against ordinary calls that wait behind large conversations.
    it("should be granted to small requests while large ones wait", () =>
        withClock(async clock => {
            const memory = new MemoryRoom(maxBytes);
            ask(memory, "first", maxBytes);
            ask(memory, "second", large);
            const small = ask(memory, "small", 5 * kib);
            await clock.tickAsync(0);
            expect([small.room !== undefined, memory.waitingRequests]).toEqual([true, 1]);
        }));

    // Guards against a workspace that waits behind all calls of another one.
    it("should be granted to several groups in turn", () =>
        withClock(async clock => {
            const memory = new MemoryRoom(maxBytes);
            const running = ask(memory, "running", maxBytes, "busy");
            const busy = [1, 2, 3].map(index => ask(memory, `busy-${index}`, large, "busy"));
            await clock.tickAsync(1);
            const quiet = ask(memory, "quiet", large, "quiet");
            await clock.tickAsync(0);
            running.room!.release();
            await clock.tickAsync(0);
            busy[0]!.room!.release();
            await clock.tickAsync(0);
            expect([busy[1]!.room !== undefined, quiet.room !== undefined]).toEqual([false, true]);
        }));

    it("should be granted to a request that is larger than the bound once nothing else is held", () =>
        withClock(async clock => {
            const memory = new MemoryRoom(maxBytes);
            const first = ask(memory, "first", large);
            const huge = ask(memory, "huge", 2 * maxBytes);
            await clock.tickAsync(0);
            expect(huge.room).toEqual(undefined);
            first.room!.release();
            await clock.tickAsync(0);
            expect(huge.room !== undefined).toEqual(true);
        }));

    // Guards against a wait until the deadline, after which the caller only knows that its time is over.
    it("should be refused at once if the wait would be too long, and say when to come again", () =>
        withClock(async clock => {
            const memory = new MemoryRoom(maxBytes);
            const held = ask(memory, "held", maxBytes);
            await clock.tickAsync(0);
            const refused = ask(memory, "refused", large, "", 100);
            await clock.tickAsync(0);
            expect([refused.err?.code, refused.err?.verdict]).toEqual(["input_refused", "notRun"]);
            expect(refused.err!.retryAfterSeconds! >= 0.1).toEqual(true);
            held.room!.release();
        }));

    // Guards against a Retry-After after which a caller finds those before it that came later.
    it("should be granted to a caller that comes again before those that have come since its refusal", () =>
        withClock(async clock => {
            const memory = new MemoryRoom(maxBytes);
            const held = ask(memory, "held", maxBytes);
            await clock.tickAsync(0);
            const refused = ask(memory, "returning", large, "", 100);
            await clock.tickAsync(10);
            const later = ask(memory, "later", large);
            await clock.tickAsync(refused.err!.retryAfterSeconds! * 1_000);
            const again = ask(memory, "returning", large);
            await clock.tickAsync(0);
            held.room!.release();
            await clock.tickAsync(0);
            expect([again.room !== undefined, later.room !== undefined]).toEqual([true, false]);
        }));

    it("should be refused with a time to come again after the longest wait", () =>
        withClock(async clock => {
            const memory = new MemoryRoom(maxBytes);
            ask(memory, "held", maxBytes);
            const waiting = ask(memory, "waiting", large, "", 1_000);
            await clock.tickAsync(1_100);
            expect([waiting.err?.code, memory.waitingRequests]).toEqual(["input_refused", 0]);
        }));

    it("should not be kept by a request that was given up, before or after it was granted", () =>
        withClock(async clock => {
            const memory = new MemoryRoom(maxBytes);
            const held = ask(memory, "held", maxBytes);
            const left = ask(memory, "left", large);
            const granted = ask(memory, "granted", large);
            await clock.tickAsync(0);
            left.progress.abort(new Error("gone"));
            await clock.tickAsync(0);
            held.room!.release();
            granted.progress.abort(new Error("gone"));
            await clock.tickAsync(0);
            granted.room?.release();
            expect([memory.heldBytes, memory.waitingRequests]).toEqual([0, 0]);
        }));

    it("should be made by giving up what is kept only for speed", () =>
        withClock(async clock => {
            const memory = new MemoryRoom(maxBytes);
            const kept = memory.hold(large);
            const given: number[] = [];
            memory.reclaimable = {
                get reclaimableBytes() {
                    return given.length === 0 ? large : 0;
                },
                reclaim: bytes => {
                    given.push(bytes);
                    kept.release();
                },
            };
            const asked = ask(memory, "asked", large);
            await clock.tickAsync(0);
            expect([asked.room !== undefined, given, memory.heldBytes]).toEqual([true, [200 * kib], large]);
        }));
});
