import { InputMemory } from "@marigolddrift/gateway";
import type { HeldInput, RefusedInput } from "@marigolddrift/gateway";
import { install } from "@sinonjs/fake-timers";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

const kib = 1024;
const maxBytes = 1_000 * kib;

describe("memory of input", () => {
    let clock: ReturnType<typeof install>;
    let memory: InputMemory;
    let events: string[];
    let refused: RefusedInput[];
    beforeEach(() => {
        clock = install();
        events = [];
        refused = [];
        memory = new InputMemory(maxBytes, { onRefused: input => refused.push(input) }, () => clock.now);
    });
    afterEach(() => clock.uninstall());

    const hold = (name: string, bytes: number): HeldInput => {
        const held = memory.hold({
            kind: "request",
            setPaused: isPaused => events.push(`${name} ${isPaused ? "paused" : "resumed"}`),
            refuse: () => events.push(`${name} refused`),
        });
        held.resize(bytes);
        return held;
    };

    // Guards against a bound that refuses ordinary callers in place of those that have filled the memory.
    it("should refuse what holds the most for the longest, not the newest", () => {
        hold("old and small", 10 * kib);
        clock.tick(1_000);
        hold("old and large", 400 * kib);
        clock.tick(1_000);
        hold("new and larger", 580 * kib);
        expect(events).toEqual(["new and larger paused"]);
        hold("new", 20 * kib);
        expect(events.slice(1)).toEqual(["old and large refused", "new and larger resumed"]);
        expect(refused.map(({ kind, bytes, heldMs }) => ({ kind, bytes, heldMs }))).toEqual([
            { kind: "request", bytes: 400 * kib, heldMs: 1_000 },
        ]);
        expect(memory.heldBytes).toEqual(610 * kib);
    });

    it("should stop reading before it refuses, and read on when there is room", () => {
        const first = hold("first", 700 * kib);
        hold("second", 100 * kib);
        hold("small", 30 * kib);
        expect([events, memory.pausedInputs]).toEqual([["second paused"], 1]);
        clock.tick(100);
        first.release();
        expect([events, memory.pausedInputs]).toEqual([["second paused", "second resumed"], 0]);
        clock.tick(1_000);
        expect(refused).toEqual([]);
    });

    // Guards against bodies that stop just short of their end, and so keep others from being read for good.
    it("should refuse an input that keeps others from being read", () => {
        hold("stopped", 700 * kib);
        clock.tick(2_000);
        hold("later", 100 * kib);
        clock.tick(300);
        expect(events).toEqual(["later paused", "stopped refused", "later resumed"]);
    });

    // Guards against a refusal, which promises that the request has not run, of one that may have.
    it("should count an input whose call may run, and not refuse it", () => {
        hold("running", 900 * kib).keep();
        clock.tick(10_000);
        hold("waiting", 90 * kib);
        hold("large", 200 * kib);
        clock.tick(1_000);
        expect(events).not.toInclude("running refused");
        expect(events).toInclude("large refused");
        expect(memory.heldBytes >= 900 * kib).toEqual(true);
    });

    it("should refuse an input that is too large by itself", () => {
        hold("too large", maxBytes + 1);
        expect([events, memory.heldBytes]).toEqual([["too large refused"], 0]);
    });

    it("should count nothing after the release", () => {
        const held = hold("one", 100 * kib);
        held.release();
        held.resize(5_000 * kib);
        held.release();
        expect([events, memory.heldBytes]).toEqual([[], 0]);
    });

    // Guards against bodies that are stopped again and again, and run in the end with too little time left.
    it("should refuse a stopped input at once that would not fit beside those of running calls", () => {
        hold("running", 700 * kib).keep();
        const large = memory.hold({
            kind: "request",
            expectedBytes: 400 * kib,
            setPaused: isPaused => events.push(`large ${isPaused ? "paused" : "resumed"}`),
            refuse: () => events.push("large refused"),
        });
        large.resize(70 * kib);
        clock.tick(300);
        expect(events).toEqual(["large paused", "large refused"]);
    });

    // Guards against bodies that are all stopped although one of them would fit, and are refused one after the other.
    it("should read one input to its end, if there is room for it, while others are stopped", () => {
        const holdExpected = (name: string, bytes: number, expectedBytes: number): HeldInput => {
            const held = memory.hold({
                kind: "request",
                expectedBytes,
                setPaused: isPaused => events.push(`${name} ${isPaused ? "paused" : "resumed"}`),
                refuse: () => events.push(`${name} refused`),
            });
            held.resize(bytes);
            return held;
        };
        hold("running", 400 * kib).keep();
        const first = holdExpected("first", 240 * kib, 300 * kib);
        const second = holdExpected("second", 100 * kib, 300 * kib);
        first.resize(260 * kib);
        second.resize(110 * kib);
        expect(events).toEqual(["second paused"]);
        first.release();
        expect(events).toEqual(["second paused", "second resumed"]);
    });
});
