import { UpstreamConnections } from "@marigolddrift/gateway";
import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";

import { waitUntil } from "../platform/deployment.js";

/** Returns an address that refuses connections. */
const findClosedAddress = async (): Promise<string> => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return `127.0.0.1:${port}`;
};

describe("an upstream that refuses connections", () => {
    it("should be found unreachable although the call that needed a connection was given up meanwhile", async () => {
        const connections = new UpstreamConnections(await findClosedAddress(), 1);
        let unreachable = 0;
        connections.onUnreachable = () => unreachable += 1;
        const errors: [string, boolean][] = [];
        const listener = {
            onStart: () => undefined,
            onHead: () => true,
            onData: () => true,
            onEnd: () => {},
            onError: (err: Error, sent: boolean) => errors.push([err.message, sent]),
        };
        const call = { id: "c1", method: "GET", path: "/", headers: [], body: undefined };
        connections.send(call, listener).abort(new Error("the caller left"));
        await waitUntil(() => unreachable > 0);
        expect(errors).toEqual([["the caller left", false]]);
        connections.close();
    });
});
