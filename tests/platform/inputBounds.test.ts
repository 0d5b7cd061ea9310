import { expect } from "earl";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";

import { config, Deployment, waitUntil } from "./deployment.js";

const mib = 1024 * 1024;
const bodyBytes = 4 * mib;

/** Number of one-byte chunks in a few reads of a connection. */
const tinyChunks = 20_000;

/** More bodies in one-byte chunks than may be in progress at once. */
const manyBodies = 24;

/** The default of a machine of 88 MB. */
const inputBytes = 11 * mib;

describe("bound on the input of all callers", () => {
    let deployment: Deployment;
    let sockets: Socket[];
    beforeEach(async () => {
        sockets = [];
        deployment = await Deployment.start(0);
        const { limits, ...others } = config(4);
        deployment.store.put("op/config", { ...others, limits: { ...limits, maxBodyBytes: bodyBytes } });
        const gateway = await deployment.addGateway({ memory: { inputBytes } });
        await waitUntil(() => gateway.configVersion === 4);
    });
    afterEach(() => {
        sockets.forEach(socket => socket.destroy());
        deployment.close();
    });

    // Guards against a default that refuses a caller without other load.
    it("should serve bodies of the largest size one after the other on the smallest machine", async () => {
        const { memory } = deployment.gateways[0]!.input;
        const framings: Record<string, string>[] = [
            { "Content-Length": String(bodyBytes) },
            { "Transfer-Encoding": "chunked" },
        ];
        for (const framing of framings) {
            const { status } = await deployment.call("POST", "/order/1", framing, "x".repeat(bodyBytes));
            expect(status).toEqual(200);
            await waitUntil(() => memory.heldBytes === 0);
        }
        expect(deployment.plainWorker.ran.map(({ body }) => body.length)).toEqual([bodyBytes, bodyBytes]);
    });

    // Guards against a refusal that a caller can't tell from a call that may have run.
    it("should refuse what does not fit with 503 and Retry-After, and not run it", async () => {
        deployment.plainWorker.delayMs = 1_500;
        const calls = Array.from(
            { length: 6 },
            () =>
                deployment.call("POST", "/order/1", { "Content-Length": String(bodyBytes) }, "x".repeat(bodyBytes))
                    .catch(() => undefined),
        );
        const answers = await Promise.all(calls);
        const statuses = answers.map(answer => answer?.status);
        expect(statuses.every(status => status === 200 || status === 503 || status === undefined)).toEqual(true);
        expect(statuses).toInclude(503);
        const refusals = answers.filter(answer => answer?.status === 503);
        expect(refusals.every(answer => answer!.headers["retry-after"] === "1")).toEqual(true);
        expect(deployment.plainWorker.ran.length).toEqual(statuses.filter(status => status === 200).length);
    });

    const tinyHead = (id: string): string =>
        `POST /order/1 HTTP/1.1\r\nHost: carts.example\r\nRequest-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;

    /** Writes on a connection of its own; returns the statuses that have been received whenever they are asked for. */
    const write = (text: string): () => string[] => {
        let received = "";
        const socket = connect(deployment.gateways[0]!.port, "127.0.0.1");
        socket.on("data", data => received += data.toString("latin1"));
        socket.on("error", () => {});
        socket.write(text);
        sockets.push(socket);
        return () => [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!);
    };

    // Guards against a connection that is not read any more after a body that was read at the pace of very small chunks.
    it("should serve a body in one-byte chunks and the request behind it", async () => {
        const tiny = tinyHead("tiny") + "1\r\nx\r\n".repeat(tinyChunks) + "0\r\n\r\n";
        const statuses = write(`${tiny}${tinyHead("next")}0\r\n\r\n`);
        await waitUntil(() => statuses().length === 2);
        expect(statuses()).toEqual(["200", "200"]);
        expect(deployment.plainWorker.ran.map(({ body }) => body.length)).toEqual([tinyChunks, 0]);
    });

    // Guards against a refusal for very small chunks that leaves its caller in doubt whether the request has run.
    it("should refuse bodies in one-byte chunks with 503 if there are many, and not run them", async () => {
        const open = "1\r\nx\r\n".repeat(tinyChunks);
        const all = Array.from({ length: manyBodies }, (_, index) => write(tinyHead(`tiny-${index}`) + open));
        const { pacer } = deployment.gateways[0]!.input;
        await waitUntil(() => all.filter(statuses => statuses().length > 0).length >= manyBodies - 16);
        expect(pacer.size).toEqual(16);
        const refusals = all.flatMap(statuses => statuses());
        expect(refusals).toEqual(Array.from({ length: manyBodies - 16 }, () => "503"));
        expect(deployment.plainWorker.ran).toEqual([]);
    });
});
