import { expect } from "earl";
import { describe, it } from "node:test";

import { writeFor } from "./crowd.js";
import { callerLimits, headOf } from "./hostileFront.js";
import { useSmallestFront } from "./smallestFront.js";

const callers = 300;
const playMs = 5_000;
const writeTimeoutMs = 4_000;

/** One read of a connection has some 2,500 of the smallest heads. */
const tinyHead = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const tinyHeadCallers = 60;

/** A head of many small lines costs the runtime the most. */
const smallLines = "ab: cd\r\n".repeat(1_024);

// Guards against callers that never send a request, and so are never answered and never closed.
describe("connections without a request", () => {
    const setup = useSmallestFront();

    it("should be bounded if their heads are over the limit", async t => {
        const filler = `X-Filler: ${"x".repeat(callerLimits.maxHeaderBytes * 4)}`;
        await setup.crowd.play(callers, caller => caller.write(headOf("GET", "/look/1", [filler]), writeTimeoutMs));
        expect(await setup.front.findFaults(t)).toEqual([]);
    });

    it("should be bounded if their heads never end", async t => {
        await setup.crowd.play(callers, async caller => {
            await caller.write(headOf("GET", "/look/1", [], true), writeTimeoutMs);
            await writeFor(caller, smallLines, playMs, 250);
        });
        expect(await setup.front.findFaults(t)).toEqual([]);
    });

    it("should be bounded if their heads stop short of their end", async t => {
        const filler = `X-Filler: ${"x".repeat(callerLimits.maxHeaderBytes / 2)}`;
        await setup.crowd.play(
            callers,
            caller => caller.write(headOf("GET", "/look/1", [filler], true), writeTimeoutMs),
        );
        expect(await setup.front.findFaults(t)).toEqual([]);
    });

    it("should be bounded if they send empty lines without end", async t => {
        await setup.crowd.play(callers, caller => writeFor(caller, "\r\n".repeat(512), playMs, 100));
        expect(await setup.front.findFaults(t)).toEqual([]);
    });
});

// Guards against callers of which one read has thousands of requests: what these need until the connection is closed fills the machine.
describe("the smallest heads behind one another", () => {
    const setup = useSmallestFront();

    it("should be bounded if 60 callers write them without end", async t => {
        const heads = tinyHead.repeat(20_000);
        await setup.crowd.play(tinyHeadCallers, caller => writeFor(caller, heads, playMs));
        expect(await setup.front.findFaults(t)).toEqual([]);
    });
});
