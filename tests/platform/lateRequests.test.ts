import { expect } from "earl";
import { once } from "node:events";
import { after, before, beforeEach, describe, it } from "node:test";
import { Worker } from "node:worker_threads";

import { Deployment, waitUntil } from "./deployment.js";

/** A caller in a thread of its own: sends a request while the thread of the instance is busy, and leaves or stays. */
const callerCode = `
    const { connect } = require("node:net");
    const { parentPort } = require("node:worker_threads");
    parentPort.on("message", ({ port, text, stays }) => {
        const socket = connect(port, "127.0.0.1");
        socket.on("error", () => {});
        socket.once("data", data => parentPort.postMessage(data.toString("latin1")));
        socket.write(text, () => {
            if (!stays) {
                socket.end();
                parentPort.postMessage("left");
            }
        });
    });
    parentPort.postMessage("ready");
`;

/** Time for which the instance is busy. */
const busyMs = 200;

const block = (ms: number): void => {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
        // The thread is busy, so that requests wait.
    }
};

describe("a request that has waited until a busy instance reads it", () => {
    let deployment: Deployment;
    let caller: Worker;
    before(async () => {
        deployment = await Deployment.start(1);
        caller = new Worker(callerCode, { eval: true });
        await once(caller, "message");
    });
    after(async () => {
        deployment.close();
        await caller.terminate();
    });
    beforeEach(() => deployment.plainWorker.ran.length = 0);

    /** Returns the first message of the caller after the instance has been busy. */
    const send = async (method: string, path: string, id: string, stays: boolean): Promise<string> => {
        const gateway = deployment.gateways[0]!;
        const body = method === "POST" ? "Content-Length: 4\r\n\r\nonce" : "\r\n";
        const head = `Host: carts.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2500`;
        const text = `${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`;
        caller.postMessage({ port: gateway.port, text, stays });
        block(busyMs);
        const [message] = await once(caller, "message") as [string];
        return message;
    };

    // Guards against an instance that is behind spending its time on calls whose callers have left, and running them.
    for (const [method, path] of [["GET", "/look/1"], ["POST", "/order/1"]] as const) {
        it(`should not be passed on if its caller has left meanwhile (${method} ${path})`, async () => {
            expect(await send(method, path, "left", false)).toEqual("left");
            // A later call is answered only after the earlier one has been handled.
            expect((await deployment.call("GET", "/look/2", { "Request-Id": "next" })).status).toEqual(200);
            await waitUntil(() => deployment.gateways[0]!.entry.active === 0);
            expect(deployment.plainWorker.ran.map(({ id }) => id)).toEqual(["next"]);
        });

        it(`should be answered if its caller has stayed (${method} ${path})`, async () => {
            expect(await send(method, path, "stayed", true)).toInclude("answer to stayed");
        });
    }
});
