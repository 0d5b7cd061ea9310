import { ChunkedBytes, UpstreamConnections } from "@marigolddrift/gateway";
import { expect } from "earl";
import { once } from "node:events";
import { after, before, describe, it } from "node:test";
import { Worker } from "node:worker_threads";

/** A server in a thread of its own that closes each connection some time after its first reply; a thread goes on while the test is busy. */
const serverCode = `
    const { createServer } = require("node:net");
    const { parentPort, workerData } = require("node:worker_threads");
    const server = createServer(socket => {
        socket.on("error", () => {});
        socket.on("data", () => {
            socket.write("HTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\n\\r\\ndone");
            setTimeout(() => {
                socket.resetAndClosing = workerData === "reset";
                workerData === "reset" ? socket.destroy() : socket.end();
            }, 30);
        });
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

const block = (ms: number): void => {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
        // The thread is busy, so that what arrives meanwhile stays unread.
    }
};

const call = (connections: UpstreamConnections): Promise<string> =>
    new Promise(resolve => {
        connections.send({
            id: "c1",
            method: "POST",
            path: "/",
            headers: [],
            body: ChunkedBytes.of(Buffer.from("once")),
        }, {
            onStart: () => undefined,
            onHead: () => true,
            onData: () => true,
            onEnd: () => resolve("whole"),
            onError: (_, sent) => resolve(sent ? "may have run" : "not sent"),
        });
    });

// Guards against calls that must not be repeated and are answered 502, because they were written to a connection whose end had
// already arrived at a process that was busy.
for (const how of ["reset", "end"]) {
    describe(`an idle connection that is closed by ${how}`, () => {
        let server: Worker;
        let address = "";
        before(async () => {
            server = new Worker(serverCode, { eval: true, workerData: how });
            const [port] = await once(server, "message") as [number];
            address = `127.0.0.1:${port}`;
        });
        after(() => server.terminate());

        it("should not be used after a time in which the process was busy", async () => {
            const connections = new UpstreamConnections(address, 2);
            const results: string[] = [];
            for (let round = 0; round < 5; round++) {
                results.push(await call(connections));
                // The connection becomes idle once the reply has been handled.
                await new Promise(resolve => setTimeout(resolve, 5));
                block(80);
            }
            expect(results).toEqual(results.map(() => "whole"));
            connections.close();
        });
    });
}
