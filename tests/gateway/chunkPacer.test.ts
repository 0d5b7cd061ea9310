import { ChunkPacer } from "@marigolddrift/gateway";
import type { PacedBody, RefusedBody } from "@marigolddrift/gateway";
import { install } from "@sinonjs/fake-timers";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

/** Time that one read of a body takes in these tests. */
const readMs = 20;

describe("pace of bodies in very small chunks", () => {
    let clock: ReturnType<typeof install>;
    let pacer: ChunkPacer;
    let events: string[];
    let refused: RefusedBody[];
    beforeEach(() => {
        clock = install();
        events = [];
        refused = [];
        pacer = new ChunkPacer(body => refused.push(body), () => clock.now);
    });
    afterEach(() => clock.uninstall());

    const body = (name: string, chunks = 10_000): PacedBody => ({
        chunks: () => chunks,
        setPaused: isPaused => events.push(`${name} ${isPaused ? "paused" : "resumed"}`),
        refuse: () => events.push(`${name} refused`),
    });

    /** A body of which there is more to read each time that it is resumed. */
    const endlessBody = (name: string): PacedBody => {
        const endless: PacedBody = {
            chunks: () => 10_000,
            setPaused: isPaused => {
                if (!isPaused) {
                    events.push(name);
                    setImmediate(() => pacer.pace(endless));
                }
            },
            refuse: () => {},
        };
        return endless;
    };

    // Guards against reads of several bodies in one turn of the event loop, in which no other request is served.
    it("should read one body at a time", () => {
        const bodies = ["a", "b", "c"].map(name => body(name));
        bodies.forEach(one => pacer.pace(one));
        expect(events).toEqual(["a paused", "b paused", "c paused"]);
        events = [];
        clock.next();
        clock.next();
        expect(events).toEqual(["a resumed"]);
    });

    // Guards against bodies that leave the process no time for others.
    it("should rest as long as the read took", () => {
        pacer.pace(body("a"));
        // The read goes on after its first chunk.
        clock.setSystemTime(clock.now + readMs);
        clock.next();
        events = [];
        clock.tick(readMs - 1);
        expect(events).toEqual([]);
        clock.tick(1);
        expect(events).toEqual(["a resumed"]);
    });

    // Guards against bodies that all advance alike, and so all miss their deadlines.
    it("should give every other read to the oldest body, and the rest to all in turn", () => {
        ["a", "b", "c"].map(endlessBody).forEach(one => pacer.pace(one));
        while (events.length < 8) {
            clock.next();
        }
        expect(events.filter(name => name === "a").length >= 4).toEqual(true);
        expect(events).toInclude("b");
        expect(events).toInclude("c");
    });

    // Guards against a bound that refuses new callers in place of those that have taken the most time.
    it("should refuse the body with the most chunks for the longest if there are too many", () => {
        pacer.pace(body("old and small", 5_000));
        pacer.pace(body("old and large", 50_000));
        clock.setSystemTime(clock.now + 1_000);
        for (let count = 2; count < 16; count++) {
            pacer.pace(body(`body ${count}`));
        }
        expect(refused).toEqual([]);
        pacer.pace(body("newest"));
        expect(events.filter(event => event.endsWith("refused"))).toEqual(["old and large refused"]);
        expect(refused).toEqual([{ chunks: 50_000, heldMs: 1_000, bodies: 17 }]);
        expect(pacer.size).toEqual(16);
    });

    // Guards against connections that are not read for good after a body that arrived whole.
    it("should resume a body that is removed", () => {
        const one = body("a");
        pacer.pace(one);
        pacer.remove(one);
        pacer.remove(one);
        expect([events, pacer.size]).toEqual([["a paused", "a resumed"], 0]);
        clock.runAll();
        expect(events.length).toEqual(2);
    });
});
