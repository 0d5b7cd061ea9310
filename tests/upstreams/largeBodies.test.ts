import { ChunkedBytes, UpstreamConnections } from "@marigolddrift/gateway";
import { expect } from "earl";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";

import { waitUntil } from "../platform/deployment.js";

const chunkBytes = 64 * 1024;
const chunks = 200;

/** More than the buffers of two sockets on loopback take. */
const bodyBytes = chunkBytes * chunks;

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

describe("large bodies", () => {
    let server: Server;
    let connections: UpstreamConnections;
    let sockets: Socket[];
    let received: number;
    let onSocket: (socket: Socket) => void;
    beforeEach(async () => {
        sockets = [];
        received = 0;
        onSocket = () => {};
        server = createServer(socket => {
            sockets.push(socket);
            socket.on("error", () => {});
            onSocket(socket);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        connections = new UpstreamConnections(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
    });
    afterEach(() => {
        connections.close();
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    const send = (id: string, body: ChunkedBytes, onBodySent: () => void = () => {}): Promise<string> =>
        new Promise(resolve => {
            connections.send({ id, method: "POST", path: "/", headers: ["request-id", id], body, onBodySent }, {
                onStart: () => undefined,
                onHead: () => true,
                onData: () => true,
                onEnd: () => resolve("whole"),
                onError: err => resolve(err.message),
            });
        });

    const largeBody = ChunkedBytes.of(
        ...Array.from({ length: chunks }, (_, index) => Buffer.alloc(chunkBytes, index % 251)),
    );

    it("should arrive whole, with their length", async () => {
        const read: Buffer[] = [];
        onSocket = socket =>
            socket.on("data", data => {
                read.push(data);
                received += data.length;
                if (received > bodyBytes) {
                    socket.write(answer);
                }
            });
        expect(await send("c1", largeBody)).toEqual("whole");
        const whole = Buffer.concat(read);
        const bodyAt = whole.indexOf("\r\n\r\n") + 4;
        expect(whole.subarray(0, bodyAt).toString().includes(`content-length: ${bodyBytes}`)).toEqual(true);
        expect(whole.subarray(bodyAt).equals(largeBody.toBuffer())).toEqual(true);
    });

    // Guards against bodies that fill the memory because an upstream does not read them, also after it has answered.
    it("should be sent only as the upstream reads, and be dropped with the connection once it has answered", async () => {
        let isSent = false;
        onSocket = socket => {
            socket.once("data", () => {
                socket.pause();
                setTimeout(() => socket.write(answer), 100);
            });
        };
        const result = await send("c1", largeBody, () => isSent = true);
        expect([result, isSent]).toEqual(["whole", false]);
        await waitUntil(() => sockets[0]!.destroyed || sockets[0]!.readableLength > 0);
        onSocket = socket => socket.on("data", () => socket.write(answer));
        expect(await send("c2", ChunkedBytes.of(Buffer.from("small")))).toEqual("whole");
        expect(sockets.length).toEqual(2);
    });
});
