import { WorkerStandin } from "@marigolddrift/platform";
import { expect } from "earl";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";

import type { Gateway } from "@marigolddrift/gateway";
import { Deployment } from "./deployment.js";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const instances = 4;
const betweenStopsMs = 1_200;
const callersPerInstance = 72;

/** Time over which the callers of an instance send, from its signal on: the grace period in {@link Deployment}. */
const graceMs = 4_000;

const limitMs = 1_200;

/** Times that the upstreams work on a call. */
const workMs = [20, 150, 500, 900];

const bodyKinds = ["length", "chunks", "two parts", "byte by byte"] as const;
const paths = ["POST /order/1", "POST /look/1", "POST /chat/turn"] as const;

/** Time after which a request that was sent whole must not end without an answer, even if it has not been passed on. */
const unansweredLimitMs = 200;

type BodyKind = typeof bodyKinds[number];

/** A caller that has opened a connection, and sends one request on it. */
class Caller {
    received = "";
    begunAt = 0;
    sentAt: number | undefined;
    closedAt: number | undefined;
    private readonly socket: Socket;

    constructor(readonly id: string, port: number) {
        this.socket = connect(port, "127.0.0.1").setNoDelay().setEncoding("latin1");
        this.socket.on("data", (text: string) => this.received += text);
        this.socket.on("close", () => this.closedAt = performance.now());
        this.socket.on("error", () => {});
    }

    /** Uses the connection for a first request, so that it is an idle one afterwards. */
    async use(): Promise<void> {
        this.socket.write(`GET /look/0 HTTP/1.1\r\n${this.headers(`${this.id}-first`)}\r\n\r\n`);
        while (!this.isWhole) {
            await sleep(5);
        }
        this.received = "";
    }

    async send(path: string, bodyKind: BodyKind): Promise<void> {
        const body = `body of ${this.id}`;
        const isChunked = bodyKind === "chunks";
        const framing = isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${body.length}`;
        const head = `${path} HTTP/1.1\r\n${this.headers(this.id)}\r\n${framing}\r\n\r\n`;
        const framed = isChunked ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body;
        const parts = bodyKind === "byte by byte" ?
            [...head + framed] :
            bodyKind === "two parts" ?
            [head, framed] :
            [head + framed];
        this.begunAt = performance.now();
        for (const part of parts) {
            if (this.closedAt !== undefined) {
                return;
            }
            this.socket.write(part);
            await sleep(bodyKind === "two parts" ? 20 : 0);
        }
        this.sentAt = performance.now();
    }

    close(): void {
        this.socket.destroy();
    }

    get status(): string | undefined {
        return /^HTTP\/1\.1 (\d+)/.exec(this.received)?.[1];
    }

    get isWhole(): boolean {
        const [head, body] = this.received.split("\r\n\r\n", 2);
        const length = /content-length: (\d+)/i.exec(head ?? "")?.[1];
        return length === undefined ? this.received.endsWith("\r\n0\r\n\r\n") : body?.length === Number(length);
    }

    /** Whether the connection ended without a complete answer, and before the time limit of the request. */
    get isCut(): boolean {
        return !this.isWhole && (this.closedAt === undefined || this.closedAt - this.begunAt < limitMs);
    }

    /** Whether the connection ended without an answer long after the request had been sent. */
    get isLeftUnanswered(): boolean {
        const { sentAt, closedAt } = this;
        return this.isCut && sentAt !== undefined && closedAt !== undefined && closedAt - sentAt > unansweredLimitMs;
    }

    private headers(id: string): string {
        const program = `Program-Id: p-${id}\r\nSession-Id: p-${id}\r\nFinish-Ms: 9000\r\nToken-Budget: 400`;
        const call = `Host: carts.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${limitMs}`;
        return `${call}\r\n${program}\r\nToken-Usage: 40,50\r\nModel: m`;
    }
}

describe("instances that stop in turn", () => {
    let deployment: Deployment;
    const workers: WorkerStandin[] = [];

    beforeEach(async () => {
        deployment = await Deployment.start(instances);
        for (const [index, delayMs] of workMs.entries()) {
            const worker = new WorkerStandin(`i-ops-${index}`, "ops", false);
            await worker.start();
            worker.delayMs = delayMs;
            workers.push(worker);
            deployment.store.put(`servers/${worker.id}`, worker.entry());
        }
        deployment.streamingWorker.delayMs = 100;
        await sleep(200);
    });

    afterEach(() => {
        deployment.close();
        workers.splice(0).forEach(worker => worker.close());
    });

    const stopUnderCalls = async (gateway: Gateway, name: number): Promise<Caller[]> => {
        const ids = Array.from({ length: callersPerInstance }, (_, index) => `${name}-${index}`);
        const callers = ids.map(id => new Caller(id, gateway.port));
        await Promise.all(callers.filter((_, index) => index % 3 === 0).map(caller => caller.use()));
        const stopped = gateway.drain().then(() => gateway.close());
        await Promise.all(callers.map(async (caller, index) => {
            await sleep(index * graceMs / callersPerInstance);
            await caller.send(
                paths[index % paths.length]!,
                bodyKinds[Math.floor(index / paths.length) % bodyKinds.length]!,
            );
        }));
        await stopped;
        await sleep(100);
        callers.forEach(caller => caller.close());
        return callers;
    };

    // Guards against calls that were read whole and cut when the instance closed its connections at the end of a stop.
    it("should answer each request that they read whole, however its body is sent", async () => {
        const stops = deployment.gateways.map(async (gateway, index) => {
            await sleep(index * betweenStopsMs);
            return stopUnderCalls(gateway, index);
        });
        const callers = (await Promise.all(stops)).flat();
        const allRan = [deployment.streamingWorker, deployment.plainWorker, ...workers].flatMap(({ ran }) => ran);
        const ran = new Set(allRan.map(({ id }) => id));
        expect(callers.filter(({ id, isCut }) => ran.has(id) && isCut).map(({ id }) => id)).toEqual([]);
        expect(callers.filter(({ isLeftUnanswered }) => isLeftUnanswered).map(({ id }) => id)).toEqual([]);
        expect(callers.filter(({ id, status }) => status === "503" && ran.has(id)).map(({ id }) => id)).toEqual([]);
        const answered = callers.filter(({ status }) => status === "200").length;
        expect(answered).toSatisfy(count => count >= instances * callersPerInstance / 3);
    });
});
