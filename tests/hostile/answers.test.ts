import { expect } from "earl";
import { describe, it } from "node:test";

import { writeFor } from "./crowd.js";
import { headOf } from "./hostileFront.js";
import { useSmallestFront } from "./smallestFront.js";

const writeTimeoutMs = 4_000;

// Guards against callers that ask for more than they read, or ask on and on while a call of theirs runs.
describe("requests without a reader", () => {
    const setup = useSmallestFront();

    it("should be bounded if they are written behind a running call without end", async t => {
        setup.front.plainWorker.delayOf = path => path.startsWith("/order/") ? 20_000 : undefined;
        const requests = headOf("GET", "/look/1").repeat(500);
        await setup.crowd.play(8, async caller => {
            await caller.write(headOf("POST", "/order/1", ["Content-Length: 0"]), writeTimeoutMs);
            await writeFor(caller, requests, 5_000);
        });
        expect(await setup.front.findFaults(t)).toEqual([]);
    });

    it("should be bounded if the large answers to them are not read", async t => {
        setup.front.plainWorker.answerBytes = 4 * 1024 * 1024 - 1;
        await setup.crowd.play(100, caller => caller.write(headOf("GET", "/look/1"), writeTimeoutMs), false);
        expect(await setup.front.findFaults(t)).toEqual([]);
    });

    it("should be bounded if the large streams that answer them are not read", async t => {
        setup.front.streamingWorker.events = 60;
        setup.front.streamingWorker.eventBytes = 64 * 1024;
        await setup.crowd.play(100, caller => caller.write(headOf("GET", "/talk/1"), writeTimeoutMs), false);
        expect(await setup.front.findFaults(t)).toEqual([]);
    });
});
