import { expect } from "earl";
import { afterEach, before, beforeEach, describe, it } from "node:test";

import { Crowd, writeFor } from "./crowd.js";
import { buildBundle, headOf, HostileFront } from "./hostileFront.js";

/** The smallest front. */
const settings = { memoryMb: 178, fds: 256 };

const writeTimeoutMs = 4_000;

// Guards against callers that ask for more than they read, or ask on and on while a call of theirs runs.
describe("requests without a reader", () => {
    let front: HostileFront;
    let crowd: Crowd;
    before(buildBundle);
    beforeEach(async () => {
        front = await HostileFront.start(settings);
        crowd = new Crowd(front.address);
    });
    afterEach(async () => {
        crowd.close();
        await front.close();
    });

    it("should be bounded if they are written behind a running call without end", async t => {
        front.plainWorker.delayOf = path => path.startsWith("/order/") ? 20_000 : undefined;
        const requests = headOf("GET", "/look/1").repeat(500);
        await crowd.play(8, async caller => {
            await caller.write(headOf("POST", "/order/1", ["Content-Length: 0"]), writeTimeoutMs);
            await writeFor(caller, requests, 5_000);
        });
        expect(await front.findFaults(t)).toEqual([]);
    });

    it("should be bounded if the large answers to them are not read", async t => {
        front.plainWorker.answerBytes = 4 * 1024 * 1024 - 1;
        await crowd.play(100, caller => caller.write(headOf("GET", "/look/1"), writeTimeoutMs), false);
        expect(await front.findFaults(t)).toEqual([]);
    });

    it("should be bounded if the large streams that answer them are not read", async t => {
        front.streamingWorker.events = 60;
        front.streamingWorker.eventBytes = 64 * 1024;
        await crowd.play(100, caller => caller.write(headOf("GET", "/talk/1"), writeTimeoutMs), false);
        expect(await front.findFaults(t)).toEqual([]);
    });
});
