import { UpstreamConnections } from "@marigolddrift/gateway";
import type { RunningCall } from "@marigolddrift/gateway";
import { expect } from "earl";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";

import { Deployment } from "../platform/deployment.js";
import { RawServer } from "../platform/rawServer.js";
import type { RawReply } from "../platform/rawServer.js";

const signature = "3e1b.07.5a2.600.0.c9f2a4d1";

const refusalOf = (id: string, status: number): string =>
    `HTTP/1.1 ${status} Refused\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;

const answerOf = (id: string): string =>
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: ${signature}\r\nContent-Length: 4\r\n\r\ndone`;

// Guards against a second, late copy of a refusal that is taken for the reply to the same call when it is sent again: the call ran, but its
// caller was told that it had not, or it ran twice (REFUSED, TWICE).
describe("a call that returns to an upstream that has refused it", () => {
    let deployment: Deployment;
    /** Statuses with which each call is still refused before it runs. */
    let refusals: number[] = [];
    const ran: string[] = [];
    const reply = (id: string): RawReply => {
        const status = refusals.shift();
        if (status !== undefined) {
            const bytes = refusalOf(id, status);
            return { bytes, end: "keep", bytesBeforeNext: bytes };
        }
        ran.push(id);
        return { bytes: answerOf(id), end: "keep" };
    };
    let servers: readonly [RawServer, RawServer];

    // Each test has its own connections, as a copy that is due on one makes the next call there fail.
    beforeEach(async () => {
        refusals = [];
        ran.length = 0;
        servers = [new RawServer(reply), new RawServer(reply)];
        deployment = await Deployment.start(1);
        await Promise.all(servers.map(server => server.start()));
    });
    afterEach(() => {
        servers.forEach(server => server.close());
        deployment.close();
    });

    const order = async (): Promise<number> => (await deployment.call("POST", "/order/1", {}, "once")).status;

    for (const status of [503, 429]) {
        it(`should be answered 200 and run once, at one upstream that has refused it with ${status}`, async () => {
            await deployment.replaceUpstreams({ "i-raw-1": servers[0].entry("ops") });
            refusals = [status, status];
            expect(await order()).toEqual(200);
            expect(ran.length).toEqual(1);
        });
    }

    it("should be answered 200 and run once, at two upstreams that have refused it", async () => {
        await deployment.replaceUpstreams({ "i-raw-1": servers[0].entry("ops"), "i-raw-2": servers[1].entry("ops") });
        refusals = [503, 503];
        expect(await order()).toEqual(200);
        expect(ran.length).toEqual(1);
    });

    it("should be answered 503 if it is refused each time", async () => {
        await deployment.replaceUpstreams({ "i-raw-1": servers[0].entry("ops"), "i-raw-2": servers[1].entry("ops") });
        refusals = [503, 503, 503];
        expect(await order()).toEqual(503);
        expect(ran.length).toEqual(0);
    });
});

// Guards against bytes that belong to no call and promise that this one has not run (REFUSED).
describe("a refusal without an id", () => {
    it("should not promise that a call has not run", async () => {
        const deployment = await Deployment.start(1);
        const server = new RawServer(id => ({
            bytes: refusalOf(id, 503).replace(/Request-Id.*\r\n/, ""),
            end: "keep",
        }));
        await server.start();
        await deployment.replaceUpstreams({ "i-raw": server.entry("ops") });
        const { status } = await deployment.call("POST", "/order/1", {}, "once");
        server.close();
        deployment.close();
        expect([status, server.heads.length]).toEqual([502, 1]);
    });
});

describe("a connection", () => {
    const server = new RawServer(id => ({ bytes: refusalOf(id, 503), end: "keep" }));
    let reopened = 0;
    let connections: UpstreamConnections;

    before(async () => {
        await server.start();
        connections = new UpstreamConnections(server.address, 1);
        connections.onReopened = () => reopened += 1;
    });
    after(() => {
        connections.close();
        server.close();
    });

    /** Sends a call, which is refused. */
    const send = (id: string): Promise<void> =>
        new Promise((resolve, reject) => {
            const call: RunningCall = connections.send({ id, method: "GET", path: "/", headers: [], body: undefined }, {
                onStart: () => undefined,
                onHead: () => {
                    call.markRefused();
                    return true;
                },
                onData: () => true,
                onEnd: () => resolve(),
                onError: reject,
            });
        });

    it("should be kept for other calls, and opened anew for a call that was refused on it", async () => {
        await send("a");
        await send("b");
        expect(reopened).toEqual(0);
        await send("a");
        expect(reopened).toEqual(1);
        await send("b");
        expect(reopened).toEqual(1);
    });

    it("should be opened anew rather than remember any number of refused calls", async () => {
        const reopenedBefore = reopened;
        for (let index = 0; index < 200; index++) {
            await send(`other-${index}`);
        }
        expect(reopened - reopenedBefore).toEqual(3);
    });
});
