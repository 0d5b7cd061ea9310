import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

import { Surroundings, until } from "./programProcess.js";

/** Calls whose lines in the log fill what the system buffers of a pipe that nobody reads. */
const unreadCalls = 400;

describe("processes whose log is not read", () => {
    let around: Surroundings;
    beforeEach(async () => around = await Surroundings.start());
    afterEach(() => around.close());

    // Guards against an exit that waits for a blocked write to the log: the process neither serves nor gives its ports back.
    it("should serve, and end when they are told to", async () => {
        const front = around.startProcess({ role: "front", ip: around.newAddress() });
        expect(await front.becomesReady()).toEqual(true);
        front.stopReading();
        const longPath = `/look/${"a".repeat(8_000)}`;
        for (let call = 0; call < unreadCalls; call++) {
            await front.call(longPath);
        }
        expect(await front.call()).toEqual(200);
        front.signal("SIGTERM");
        await until(() => front.exit !== undefined, 8_000);
        expect(front.exit).toEqual("0");
    });
});
