import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

import { Crowd } from "./crowd.js";
import type { HostileCaller } from "./crowd.js";
import { callerLimits, headOf, HostileFront } from "./hostileFront.js";
import { smallestFront, useSmallestFront } from "./smallestFront.js";

const callers = 40;
const bodyBytes = callerLimits.maxBodyBytes;
const pieceBytes = 64 * 1024;

/** Size of a body in one-byte chunks, which costs the runtime a hundred times as much. */
const tinyBodyBytes = 1024 * 1024;
const tinyCallers = 8;

/** Callers that the system accepts all at once, each with a body of the largest permitted size in one-byte chunks. */
const manyTinyCallers = 60;

/** Time for which a caller waits for the front to take what it has written. */
const writeTimeoutMs = 4_000;

/** The same for a body that is much larger on the wire than its size. */
const manyTinyWriteTimeoutMs = 10_000;

/** Time for which a caller that is alone waits for its answer, however slow the machine is. */
const answerTimeoutMs = 25_000;

/** Of eight bodies, seven stop short of their end. */
const isWhole = (index: number): boolean => index % 8 === 0;

const lengthHead = (): string => headOf("POST", "/order/1", [`Content-Length: ${bodyBytes}`]);
const chunkedHead = (): string => headOf("POST", "/order/1", ["Transfer-Encoding: chunked"]);

const inPieces = async (caller: HostileCaller, body: Buffer, size: number): Promise<void> => {
    for (let at = 0; at < body.length && caller.isOpen; at += size) {
        await caller.write(body.subarray(at, at + size), writeTimeoutMs);
    }
};

const chunkOf = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
const chunkedEnd = "0\r\n\r\n";

// Guards against callers with bodies of permitted size that together fill the memory of the machine.
describe("bodies of permitted size from many callers at once", () => {
    const setup = useSmallestFront();

    it("should be bounded together if they arrive whole, most one byte short", async t => {
        const body = Buffer.alloc(bodyBytes, "x");
        await setup.crowd.play(callers, async (caller, index) => {
            await caller.write(lengthHead(), writeTimeoutMs);
            await caller.write(isWhole(index) ? body : body.subarray(1), writeTimeoutMs);
        });
        expect(await setup.front.findFaults(t)).toEqual([]);
    });

    it("should be bounded together if they arrive piece by piece, most one byte short", async t => {
        const body = Buffer.alloc(bodyBytes, "x");
        await setup.crowd.play(callers, async (caller, index) => {
            await caller.write(lengthHead(), writeTimeoutMs);
            await inPieces(caller, isWhole(index) ? body : body.subarray(1), pieceBytes);
        });
        expect(await setup.front.findFaults(t)).toEqual([]);
    });

    it("should be bounded together if they arrive in large chunks, most without the last", async t => {
        const body = Buffer.from(chunkOf(pieceBytes).repeat(bodyBytes / pieceBytes));
        await setup.crowd.play(callers, async (caller, index) => {
            await caller.write(chunkedHead(), writeTimeoutMs);
            await caller.write(body, writeTimeoutMs);
            await caller.write(isWhole(index) ? chunkedEnd : "", writeTimeoutMs);
        });
        expect(await setup.front.findFaults(t)).toEqual([]);
    });

    it("should be bounded together if they arrive in chunks of one byte, most without the last", async t => {
        const body = Buffer.from(chunkOf(1).repeat(tinyBodyBytes));
        await setup.crowd.play(tinyCallers, async (caller, index) => {
            await caller.write(chunkedHead(), writeTimeoutMs);
            await inPieces(caller, body, 1024 * 1024);
            await caller.write(isWhole(index) ? chunkedEnd : "", writeTimeoutMs);
        });
        expect(await setup.front.findFaults(t)).toEqual([]);
    });

    // Guards against a cost for each chunk that no bound counts: what one read of each connection holds fills the machine.
    it("should be bounded together if 60 of the largest size arrive in chunks of one byte", async t => {
        const body = Buffer.from(chunkOf(1).repeat(bodyBytes));
        await setup.crowd.play(manyTinyCallers, async (caller, index) => {
            await caller.write(chunkedHead(), writeTimeoutMs);
            await caller.write(body, manyTinyWriteTimeoutMs);
            await caller.write(isWhole(index) ? chunkedEnd : "", writeTimeoutMs);
        });
        expect(await setup.front.findFaults(t)).toEqual([]);
    });
});

// Guards against a bound that refuses a caller that is alone.
describe("a single body of permitted size", () => {
    let front: HostileFront;
    beforeEach(async () => front = await HostileFront.start(smallestFront));
    afterEach(() => front.close());

    it("should be served whole, in large chunks and in chunks of one byte", async t => {
        const texts = [
            lengthHead() + "x".repeat(bodyBytes),
            chunkedHead() + chunkOf(pieceBytes).repeat(bodyBytes / pieceBytes) + chunkedEnd,
            chunkedHead() + chunkOf(1).repeat(tinyBodyBytes) + chunkedEnd,
        ];
        const statuses: string[] = [];
        for (const text of texts) {
            const one = new Crowd(front.address);
            await one.play(1, async caller => {
                await caller.write(text, answerTimeoutMs);
                await caller.answered(answerTimeoutMs);
            });
            statuses.push(one.callers[0]!.received.slice(0, 15));
            one.close();
        }
        expect(statuses).toEqual(texts.map(() => "HTTP/1.1 200 OK"));
        expect(await front.findFaults(t)).toEqual([]);
    });
});
