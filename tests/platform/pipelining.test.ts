import { expect } from "earl";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";

import { config, Deployment, waitUntil } from "./deployment.js";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const callerCount = 10;

const requestText = (method: "GET" | "POST", path: string, id: string): string => {
    const head = `Host: carts.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2000\r\nToken-Usage: 40,50`;
    return `${method} ${path} HTTP/1.1\r\n${head}\r\nContent-Length: 4\r\n\r\nonce`;
};

/** Requests that are parsed on a connection before the first one has been answered, and more of them. */
const maxUnsent = 64;
const manyRequests = 100;

const largeBodyBytes = 300_000;
const answerBytes = 2 * 1024 * 1024;

const largeRequest = (id: string, sentBytes = largeBodyBytes): string => {
    const head = `Host: carts.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2000`;
    return `POST /order/1 HTTP/1.1\r\n${head}\r\nContent-Length: ${largeBodyBytes}\r\n\r\n${"y".repeat(sentBytes)}`;
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

    // Guards against a reset, which also discards what the caller has not read of the answer before.
    for (const [part, sentBytes] of [["whole", largeBodyBytes], ["a part of them", largeBodyBytes - 1]] as const) {
        it(`should not cut the answer before theirs when they are refused and ${part} has arrived`, async () => {
            deployment.plainWorker.answerBytes = answerBytes;
            const caller = new PipeliningCaller(deployment.gateways[0]!.port);
            caller.socket.pause();
            const refused = largeRequest("too-large", sentBytes);
            caller.socket.write(requestText("GET", "/look/1", "large") + refused);
            await sleep(400);
            caller.socket.resume();
            await waitUntil(() => caller.isClosed || caller.statuses.length === 2, 5_000);
            expect(caller.statuses).toEqual(["200", "413"]);
            expect(/x+/.exec(caller.received)![0].length).toEqual(answerBytes);
            expect(hasRun("too-large")).toEqual(false);
            caller.socket.destroy();
        });
    }

    // Guards against calls that keep running after their caller has left, which a connection that is not read does not show.
    it("should not hide that the caller has left, however large they are", async () => {
        const gateway = deployment.gateways[0]!;
        const { limits, ...others } = config(4);
        deployment.store.put("op/config", { ...others, limits: { ...limits, maxBodyBytes: 1024 * 1024 } });
        await waitUntil(() => gateway.configVersion === 4);
        deployment.plainWorker.delayMs = 2_000;
        const caller = new PipeliningCaller(gateway.port);
        caller.socket.write(requestText("GET", "/look/1", "running") + largeRequest("behind"));
        await waitUntil(() => hasRun("running"));
        await sleep(100);
        caller.socket.destroy();
        await waitUntil(() => deployment.plainWorker.abandonedRequestIds.includes("running"), 1_000);
        await waitUntil(() => gateway.entry.active === 0);
        expect(gateway.input.memory.heldBytes).toEqual(0);
        expect(hasRun("behind")).toEqual(false);
    });

    it("should be refused after the answer before them if they ask for a tunnel", async () => {
        deployment.plainWorker.delayMs = 100;
        const caller = new PipeliningCaller(deployment.gateways[0]!.port);
        const tunnel = "CONNECT elsewhere.example:443 HTTP/1.1\r\nHost: elsewhere.example:443\r\n\r\n";
        caller.socket.write(requestText("POST", "/order/1", "before") + tunnel);
        await waitUntil(() => caller.isClosed, 5_000);
        expect(caller.statuses).toEqual(["200", "400"]);
    });

    // Guards against a refusal that cuts the answers before it, or leaves a large one of them waiting for a caller that reads on.
    it("should be refused after the answers before them if there are too many", async () => {
        deployment.streamingWorker.events = 55;
        deployment.streamingWorker.eventBytes = 64 * 1024;
        const caller = new PipeliningCaller(deployment.gateways[0]!.port);
        const texts = Array.from(
            { length: manyRequests },
            (_, index) => requestText("POST", "/order/1", `many-${index}`),
        );
        caller.socket.pause();
        const streams = ["a", "b", "c"].map(id => requestText("GET", "/talk/1", `stream-${id}`));
        caller.socket.write([...streams, ...texts].join(""));
        await sleep(500);
        caller.socket.resume();
        await waitUntil(() => caller.isClosed);
        const served = Array.from({ length: maxUnsent }, () => "200");
        expect(caller.statuses).toEqual([...served, "503"]);
        expect(deployment.plainWorker.ran.length).toEqual(maxUnsent - streams.length);
    });
});
