import { PeerInput } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

const source = (events: string[], name: string) => ({
    pause: () => void events.push(`${name} paused`),
    resume: () => void events.push(`${name} resumed`),
});

describe("memory of peers' requests", () => {
    // Guards against any number of large frames that are decoded and handled at once.
    it("should not read on from those who send more than is handled", () => {
        const events: string[] = [];
        const input = new PeerInput(1_000);
        const [first, second] = [source(events, "first"), source(events, "second")];
        const releases = [input.add(first, 900), input.add(second, 90), input.add(second, 400)];
        expect(events).toEqual(["second paused"]);
        releases[1]!();
        expect(events).toEqual(["second paused"]);
        releases[0]!();
        expect([events, input.heldBytes]).toEqual([["second paused", "second resumed"], 400]);
    });

    it("should not resume a connection that has ended", () => {
        const events: string[] = [];
        const input = new PeerInput(1_000);
        const ended = source(events, "ended");
        const release = input.add(ended, 2_000);
        input.forget(ended);
        release();
        expect([events, input.heldBytes]).toEqual([["ended paused"], 0]);
    });
});
