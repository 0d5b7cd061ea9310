import { ReplyMemory } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

describe("memory of replies", () => {
    it("should break off the largest reply, not the one that arrives last", () => {
        const memory = new ReplyMemory(1_000);
        const broken: string[] = [];
        const [endless, sound] = ["endless", "sound"].map(name => memory.hold(() => broken.push(name)));
        endless!.add(900);
        sound!.add(101);
        expect([broken, memory.heldBytes]).toEqual([["endless"], 101]);
        endless!.add(5_000);
        expect([broken, memory.heldBytes]).toEqual([["endless"], 101]);
        endless!.release();
        sound!.release();
        sound!.release();
        expect(memory.heldBytes).toEqual(0);
    });

    it("should break off a reply that is too large by itself, and as many as needed", () => {
        const memory = new ReplyMemory(1_000);
        const broken: number[] = [];
        const replies = [0, 1, 2, 3].map(index => memory.hold(() => broken.push(index)));
        replies.slice(0, 3).forEach(reply => reply.add(300));
        replies[3]!.add(2_000);
        expect([broken, memory.heldBytes]).toEqual([[3], 900]);
    });

    it("should leave replies alone that fit", () => {
        const memory = new ReplyMemory(1_000);
        const reply = memory.hold(() => {
            throw new Error("broken off");
        });
        reply.add(1_000);
        expect(memory.heldBytes).toEqual(1_000);
    });

    // Guards against sound replies that are broken off, although their calls have run, because several are large at once.
    it("should read large replies one after the other, from three quarters of the bound on, and break none off", async () => {
        const kib = 1024;
        const memory = new ReplyMemory(1_000 * kib);
        const events: string[] = [];
        const [first, second, small] = ["first", "second", "small"].map(name =>
            memory.hold(() => events.push(`${name} broken`), isPaused => events.push(`${name} ${isPaused}`))
        );
        first!.add(400 * kib);
        second!.add(400 * kib);
        small!.add(10 * kib);
        expect([events, memory.pausedReplies]).toEqual([["second true"], 1]);
        first!.release();
        await new Promise(resolve => setImmediate(resolve));
        expect([events, memory.pausedReplies]).toEqual([["second true", "second false"], 0]);
    });

    it("should count what a reply needs now, not what has passed through", () => {
        const memory = new ReplyMemory(1_000);
        const reply = memory.hold(() => {
            throw new Error("broken off");
        });
        for (let piece = 0; piece < 10; piece++) {
            reply.add(500);
            reply.resize(piece);
        }
        expect(memory.heldBytes).toEqual(9);
    });
});
