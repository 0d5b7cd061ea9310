import { expect } from "earl";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";

import { Deployment, waitUntil } from "./deployment.js";

const headOf = (path: string, id: string, framing: string): string =>
    `POST ${path} HTTP/1.1\r\nHost: carts.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2500\r\n${framing}\r\n\r\n`;
const withLength = (path: string, id: string): string => `${headOf(path, id, "Content-Length: 2")}hi`;
const inChunks = (path: string, id: string): string =>
    `${headOf(path, id, "Transfer-Encoding: chunked")}2\r\nhi\r\n3\r\n you\r\n0\r\n\r\n`;

/** Time within which a connection whose request is answered or refused must have ended. */
const limitMs = 3_500;

/** Resolves to all that arrives until the connection ends. */
const untilEnd = (socket: Socket): Promise<string> =>
    new Promise((resolve, reject) => {
        const timer = setTimeout(() => reject(new Error("the connection did not end")), limitMs);
        let received = "";
        socket.on("data", (data: Buffer) => received += data.toString());
        socket.on("error", reject);
        socket.on("end", () => {
            clearTimeout(timer);
            socket.destroy();
            resolve(received);
        });
    });

// Guards against the refusal of the next request being sent as the answer to a running call, whose own answer was then lost.
describe("requests that break off", () => {
    let deployment: Deployment;
    before(async () => {
        deployment = await Deployment.start(1);
        deployment.plainWorker.delayMs = 100;
        deployment.streamingWorker.delayMs = 50;
    });
    after(() => deployment.close());

    /** Number of calls that have reached a worker. */
    const arrivals = (): number => deployment.plainWorker.arrivals.length + deployment.streamingWorker.arrivals.length;

    /**
     * Sends bytes on one connection; resolves to all that arrives until the connection ends.
     *
     * @param first Sent first. Is a whole call, which runs by the time that the rest is sent, if `runs`.
     */
    const exchange = async (first: string, second: string, closes: boolean, runs: boolean): Promise<string> => {
        const socket = connect({ host: "127.0.0.1", port: deployment.gateways[0]!.port, allowHalfOpen: true });
        const arrivalsBefore = arrivals();
        const received = untilEnd(socket);
        socket.write(first);
        if (runs) {
            await waitUntil(() => arrivals() > arrivalsBefore);
        }
        if (closes) {
            socket.end(second);
        }
        else {
            socket.write(second);
        }
        return await received;
    };

    /** Statuses of responses, in order. */
    const statuses = (received: string): string[] =>
        [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!);

    const unreadable: Readonly<Record<string, [status: string, bytes: string, closes: boolean]>> = {
        "bytes that are no request": ["400", "\0\0\0\r\n\r\n", false],
        "a head that breaks off": ["400", "POST /order/1 HTTP/1.1\r\nHost: carts", true],
        "a head without end": ["431", `POST /order/1 HTTP/1.1\r\nX-Long: ${"x".repeat(200_000)}`, false],
        "a body in chunks that breaks off": ["400", inChunks("/order/1", "broken-1").slice(0, -8), true],
        "a chunk without a size": ["400", inChunks("/order/1", "broken-2").replace("\r\n3\r\n", "\r\nzz\r\n"), false],
    };

    for (const [name, [status, bytes, closes]] of Object.entries(unreadable)) {
        it(`should answer a call that runs before it refuses what follows: ${name}`, async () => {
            const id = deployment.newId();
            const received = await exchange(withLength("/order/1", id), bytes, closes, true);
            expect(statuses(received)).toEqual(["200", status]);
            expect(received).toInclude(`answer to ${id}`);
        });

        it(`should end a stream that runs before it refuses what follows: ${name}`, async () => {
            const id = deployment.newId();
            const received = await exchange(withLength("/talk/1", id), bytes, closes, true);
            expect(statuses(received)).toEqual(["200", status]);
            expect(received).toInclude(`data: ${id}-2\n\n\r\n0\r\n\r\n`);
        });
    }

    // Guards against calls that count as active, and hold up a stop, as long as a caller that was refused keeps its connection.
    it("should end the connection after a refusal although its caller keeps its side open", async () => {
        const { entry, port } = deployment.gateways[0]!;
        await waitUntil(() => entry.connections === 0);
        const socket = connect({ host: "127.0.0.1", port, allowHalfOpen: true });
        socket.on("error", () => {});
        socket.write(`${withLength("/order/1", deployment.newId())}\0\0\0\r\n\r\n`);
        let received = "";
        socket.on("data", (data: Buffer) => received += data.toString());
        await waitUntil(() => statuses(received).length === 2);
        await waitUntil(() => entry.connections === 0, limitMs);
        expect(entry.active).toEqual(0);
        socket.destroy();
    });

    it("should pass on no request of which a part is missing", async () => {
        const ranBefore = deployment.plainWorker.ran.length;
        const whole = inChunks("/order/1", "part");
        const parts = Array.from({ length: whole.length - 1 }, (_, cut) => whole.slice(0, cut + 1));
        const received = await Promise.all(parts.map(part => exchange(part, "", true, false)));
        expect(new Set(received.flatMap(statuses))).toEqual(new Set(["400"]));
        expect(deployment.plainWorker.ran.length).toEqual(ranBefore);
    });
});
