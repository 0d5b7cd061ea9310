import { expect } from "earl";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";

import { buildBundle, HostileFront } from "./hostileFront.js";
import { smallestFront } from "./smallestFront.js";

const calls = 20;
const replyBytes = 1024 * 1024;
const tinyPath = "/look/tiny";

const headOf = (id: string, framing: string): string =>
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: 3e1b.07.5a2\r\n${framing}\r\n\r\n`;

const answer = (socket: Socket, path: string, id: string): void => {
    if (path !== tinyPath) {
        socket.write(`${headOf(id, "Content-Length: 2")}ok`);
        return;
    }
    socket.write(`${headOf(id, "Transfer-Encoding: chunked")}${"1\r\nx\r\n".repeat(replyBytes)}0\r\n\r\n`);
};

// Guards against a worker whose replies, each of permitted size, cost the runtime a hundred times as much.
describe("replies in chunks of one byte", () => {
    const server = createServer(req => answer(req.socket, req.url!, String(req.headers["request-id"])));
    let front: HostileFront;
    before(async () => {
        buildBundle();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    });
    after(() => {
        server.close();
        server.closeAllConnections();
    });
    beforeEach(async () => {
        const { port } = server.address() as AddressInfo;
        front = await HostileFront.start({ ...smallestFront, plainWorkerAddress: `127.0.0.1:${port}` });
    });
    afterEach(() => front.close());

    it("should be bounded if many arrive at once", async t => {
        await Promise.all(Array.from({ length: calls }, () => front.callOnce(tinyPath)));
        expect(await front.findFaults(t)).toEqual([]);
    });

    it("should be passed on whole", async t => {
        expect(await front.callOnce(tinyPath)).toEqual(200);
        expect(await front.findFaults(t)).toEqual([]);
    });
});
