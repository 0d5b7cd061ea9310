import { UpstreamConnections } from "@marigolddrift/gateway";
import { expect } from "earl";
import { once } from "node:events";
import { after, before, describe, it } from "node:test";
import { Worker } from "node:worker_threads";

/** A server in a thread of its own, which goes on while the thread of the test is busy. The path says how a reply ends. */
const serverCode = `
    const { createServer } = require("node:net");
    const server = createServer(socket => {
        socket.on("error", () => {});
        socket.once("data", data => {
            const [, how] = /^GET \\/(\\w+)/.exec(data.toString());
            const length = how === "framed" ? "Content-Length: 8\\r\\n" : "";
            socket.write("HTTP/1.1 200 OK\\r\\nConnection: close\\r\\n" + length + "\\r\\npart one");
            setTimeout(() => {
                socket.resetAndClosing = how === "reset";
                how === "reset" ? socket.destroy() : socket.end();
            }, 10);
        });
    });
    server.listen(0, "127.0.0.1", () => require("node:worker_threads").parentPort.postMessage(server.address().port));
`;

const block = (ms: number): void => {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
        // The thread is busy, so that what arrives meanwhile is read at once.
    }
};

describe("connections that end", () => {
    let server: Worker;
    let address = "";
    before(async () => {
        server = new Worker(serverCode, { eval: true });
        const [port] = await once(server, "message") as [number];
        address = `127.0.0.1:${port}`;
    });
    after(() => server.terminate());

    /** Calls the server, and is busy for a while once the call has been sent. */
    const call = (how: string, busyMs: number): Promise<string> =>
        new Promise(resolve => {
            const connections = new UpstreamConnections(address, 1);
            const finish = (result: string): void => {
                connections.close();
                resolve(result);
            };
            connections.send({ id: "c1", method: "GET", path: `/${how}`, headers: [], body: undefined }, {
                onStart: () => undefined,
                onHead: () => true,
                onData: () => true,
                onEnd: () => finish("whole"),
                onError: (_, sent) => finish(sent ? "broken off" : "not sent"),
            });
            setTimeout(() => block(busyMs), 5);
        });

    // Guards against a stream that was reset and ended as if it were complete, at a process that was busy when both arrived.
    for (const busyMs of [0, 60]) {
        it(`should take a reply without framing as broken off if it is reset, at a process busy for ${busyMs} ms`, async () => {
            expect(await call("reset", busyMs)).toEqual("broken off");
        });

        it(`should take a reply without framing as whole if it ends in order, at a process busy for ${busyMs} ms`, async () => {
            expect(await call("fin", busyMs)).toEqual("whole");
            expect(await call("framed", busyMs)).toEqual("whole");
        });
    }
});
