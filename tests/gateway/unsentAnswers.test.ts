import { InputMemory, StreamedResponse, UnsentAnswer } from "@marigolddrift/gateway";
import { expect } from "earl";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";

const kib = 1024;
const eventText = `data: ${"x".repeat(64 * kib)}\n\n`;

/** A connection that takes nothing until the test lets it. */
class StuckSocket extends Socket {
    private readonly writes: (() => void)[] = [];

    override _write(_: unknown, __: BufferEncoding, callback: () => void): void {
        this.writes.push(callback);
    }

    override _writev(_: unknown, callback: () => void): void {
        this.writes.push(callback);
    }

    /** Takes all that has been written. */
    async takeAll(): Promise<void> {
        while (this.writableLength > 0) {
            this.writes.splice(0).forEach(callback => callback());
            await new Promise(resolve => setImmediate(resolve));
        }
    }
}

describe("answers that are not read", () => {
    let memory: InputMemory;
    let socket: StuckSocket;
    let res: ServerResponse;
    let stream: StreamedResponse;
    let changes: boolean[];
    beforeEach(() => {
        memory = new InputMemory(4_000 * kib);
        socket = new StuckSocket();
        res = new ServerResponse(new IncomingMessage(socket));
        res.assignSocket(socket);
        // As the HTTP server does.
        socket.on("drain", () => res.emit("drain"));
        stream = new StreamedResponse(new UnsentAnswer(res, memory));
        changes = [];
        stream.onFull = isFull => changes.push(isFull);
        stream.onHead({
            status: 200,
            callId: "id",
            signed: true,
            notRun: false,
            promisesNotRun: false,
            isLeaving: false,
            requestsPerSecond: undefined,
            endsWithConnection: false,
            headers: [],
        });
    });
    afterEach(() => socket.destroy());

    const send = (count: number): void => {
        for (let event = 0; event < count; event++) {
            stream.onData(Buffer.from(eventText));
        }
    };

    // Guards against streams that fill the memory, as they are read from upstreams faster than by callers.
    it("should stop their upstream from 512 KB on, until the caller reads", async () => {
        send(6);
        expect(changes).toEqual([]);
        send(4);
        expect(changes).toEqual([true]);
        await socket.takeAll();
        expect([changes, memory.heldBytes]).toEqual([[true, false], 0]);
        send(10);
        expect(changes).toEqual([true, false, true]);
    });

    it("should count until they have been read, or their connection ends", async () => {
        send(8);
        expect(memory.heldBytes >= 8 * 64 * kib).toEqual(true);
        socket.destroy();
        await new Promise(resolve => setImmediate(resolve));
        expect(memory.heldBytes).toEqual(0);
    });

    it("should be closed when they hold too much", async () => {
        const running = memory.hold({ kind: "request", refuse: () => {} });
        running.keep();
        running.resize(3_300 * kib);
        send(16);
        await new Promise(resolve => setImmediate(resolve));
        expect([res.destroyed, memory.heldBytes]).toEqual([true, 3_300 * kib]);
    });
});
