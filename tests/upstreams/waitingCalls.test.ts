import { UpstreamConnections } from "@marigolddrift/gateway";
import type { RunningCall } from "@marigolddrift/gateway";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";

import { Deployment, waitUntil } from "../platform/deployment.js";
import { RawServer } from "../platform/rawServer.js";

const signature = "3e1b.07.5a2.600.0.c9f2a4d1";
const reply = `HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok`;

/** Time after which the server answers. */
const answerMs = 150;

// Guards against calls that wait for a connection, and are sent to an upstream that has begun to leave meanwhile (DRAIN).
describe("calls that wait for a connection", () => {
    it("should ask whether they may still be sent once there is one", async () => {
        const server = new RawServer(() => ({ bytes: reply, end: "keep" }));
        await server.start();
        const connections = new UpstreamConnections(server.address, 1);
        let refusal: Error | undefined;
        const results: string[] = [];
        const send = (): RunningCall =>
            connections.send({ id: "c1", method: "GET", path: "/", headers: [], body: undefined }, {
                onStart: () => refusal,
                onHead: () => true,
                onData: () => true,
                onEnd: () => {
                    refusal = new Error("it leaves");
                    results.push("answered");
                },
                onError: (err, sent) => results.push(`${err.message}, sent: ${sent}`),
            });
        send();
        send();
        send();
        await waitUntil(() => results.length === 3);
        connections.close();
        server.close();
        expect(results).toEqual(["answered", "it leaves, sent: false", "it leaves, sent: false"]);
        expect(server.heads.length).toEqual(1);
    });

    describe("at a gateway", () => {
        let deployment: Deployment;
        let delayed = true;
        const arrivedAt: number[] = [];
        const server = new RawServer(id => {
            arrivedAt.push(performance.now());
            const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: ${signature}\r\n`;
            const bytes = `${head}Connection: close\r\n\r\nok`;
            return { bytes, end: "close", endDelayMs: delayed ? answerMs : 0 };
        });

        before(async () => {
            deployment = await Deployment.start(1);
            await server.start();
            // 64 slots, of which one instance may use 12 connections.
            await deployment.replaceUpstreams({ "i-raw-ops": server.entry("ops") });
        });
        after(() => {
            server.close();
            deployment.close();
        });

        it("should be placed once a connection is free, and not before", async () => {
            const { upstreams } = deployment.gateways[0]!;
            const calls = Array.from({ length: 30 }, () => deployment.call("GET", "/look/1"));
            let most = 0;
            await waitUntil(() => {
                most = Math.max(most, upstreams.get("i-raw-ops")?.inFlight ?? 0);
                return arrivedAt.length === 30;
            });
            delayed = false;
            const answers = await Promise.all(calls);
            expect(answers.map(({ status }) => status)).toEqual(Array.from({ length: 30 }, () => 200));
            expect(most).toEqual(12);
        });
    });
});
