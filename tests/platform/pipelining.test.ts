import { expect } from "earl";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";

import { Deployment, waitUntil } from "./deployment.js";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const callerCount = 10;

const requestText = (method: "GET" | "POST", path: string, id: string): string => {
    const head = `Host: carts.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2000\r\nToken-Usage: 40,50`;
    return `${method} ${path} HTTP/1.1\r\n${head}\r\nContent-Length: 4\r\n\r\nonce`;
};

/** A caller that writes several requests on one connection without awaiting the answers. */
class PipeliningCaller {
    received = "";
    isClosed = false;
    readonly socket: Socket;

    constructor(port: number) {
        this.socket = connect(port, "127.0.0.1");
        this.socket.setEncoding("latin1");
        this.socket.on("data", (text: string) => this.received += text);
        this.socket.on("close", () => this.isClosed = true);
        this.socket.on("error", () => {});
    }

    get statuses(): string[] {
        return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!);
    }
}

describe("requests that are written behind others on one connection", () => {
    let deployment: Deployment;
    beforeEach(async () => deployment = await Deployment.start(1));
    afterEach(() => deployment.close());

    const hasRun = (id: string): boolean => deployment.plainWorker.ran.some(ran => ran.id === id);

    // Guards against requests that were passed on and lost, since the answer before theirs ended the connection of a stopping instance.
    it("should all be answered while the instance stops", async () => {
        const gateway = deployment.gateways[0]!;
        deployment.plainWorker.delayMs = 100;
        const callers = Array.from({ length: callerCount }, () => new PipeliningCaller(gateway.port));
        await waitUntil(() => gateway.entry.connections === callerCount);
        const stopped = gateway.drain();
        callers.forEach(({ socket }, index) => {
            socket.write(requestText("POST", "/order/1", `first-${index}`));
            socket.write(requestText("POST", "/order/1", `second-${index}`));
        });
        await stopped;
        expect(callers.map(({ statuses }) => statuses)).toEqual(callers.map(() => ["200", "200"]));
        await waitUntil(() => callers.every(({ isClosed }) => isClosed));
    });

    it("should not run if the answer before theirs breaks off", async () => {
        deployment.streamingWorker.fault = "truncate";
        const caller = new PipeliningCaller(deployment.gateways[0]!.port);
        caller.socket.write(requestText("GET", "/talk/1", "stream") + requestText("POST", "/order/1", "behind"));
        await waitUntil(() => caller.isClosed);
        await sleep(50);
        expect(hasRun("behind")).toEqual(false);
    });

    it("should not count as active once their caller has left", async () => {
        const gateway = deployment.gateways[0]!;
        deployment.plainWorker.delayMs = 300;
        const caller = new PipeliningCaller(gateway.port);
        caller.socket.write(requestText("POST", "/order/1", "first") + requestText("POST", "/order/1", "second"));
        await waitUntil(() => hasRun("first"));
        expect(gateway.entry.active).toEqual(2);
        caller.socket.destroy();
        await waitUntil(() => gateway.entry.active === 0);
        await sleep(400);
        expect(hasRun("second")).toEqual(false);
    });

    it("should be answered in their order", async () => {
        const caller = new PipeliningCaller(deployment.gateways[0]!.port);
        const ids = ["one", "two", "three"];
        deployment.plainWorker.delayMs = 60;
        caller.socket.write(ids.map(id => requestText("POST", "/order/1", id)).join(""));
        await waitUntil(() => caller.statuses.length === 3);
        await sleep(50);
        expect([...caller.received.matchAll(/answer to (one|two|three)/g)].map(([, id]) => id)).toEqual(ids);
        expect(caller.isClosed).toEqual(false);
        caller.socket.destroy();
    });
});
