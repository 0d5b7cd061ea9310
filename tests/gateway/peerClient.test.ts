import { Progress, silentLogger } from "@marigolddrift/common";
import { PeerClient, PeerServer } from "@marigolddrift/gateway";
import type { RequestHandler } from "@marigolddrift/gateway";
import { expect } from "earl";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";

import { waitUntil } from "../platform/deployment.js";

const key = () => "shared";

const withPeer = async (
    handleRequest: RequestHandler,
    test: (client: PeerClient, port: number) => Promise<void>,
): Promise<void> => {
    const server = new PeerServer(key, handleRequest, silentLogger);
    const port = await server.listen("127.0.0.1", [0]);
    const address = { instance: "b", host: "127.0.0.1", port, zone: "z", region: "r", keepsTurns: false };
    const client = new PeerClient(address, key);
    try {
        await test(client, port);
    }
    finally {
        client.close();
        server.close();
    }
};

const neverResolve = (): Promise<unknown> => new Promise(() => {});
const request = { kind: "get" as const, key: "k" };

describe("peer client", () => {
    it("should not take a peer out of use when a question was aborted because another attempt succeeded", () =>
        withPeer(neverResolve, async client => {
            const progress = new Progress(5_000);
            setTimeout(() => progress.abort(new Error("another attempt succeeded")), 250);
            await expect(client.ask(request, progress)).toBeRejectedWith("another attempt succeeded");
            expect(client.isUsable).toEqual(true);
        }));

    it("should leave an unresponsive peer unused for longer after each failure", () =>
        withPeer(neverResolve, async client => {
            const pauses: number[] = [];
            for (let failure = 0; failure < 2; failure++) {
                // The time that the connection takes is none in which the peer is silent.
                await client.preconnect();
                await expect(client.ask(request, new Progress(200))).toBeRejected();
                const failedAt = performance.now();
                while (!client.isUsable) {
                    await new Promise(resolve => setTimeout(resolve, 20));
                }
                pauses.push(performance.now() - failedAt);
            }
            expect(pauses[1]! > 1.5 * pauses[0]!).toEqual(true);
        }));

    it("should not take a slow peer out of use while it responds to other requests", () =>
        withPeer(
            async received => received.kind === "get" && received.key === "slow" ? await neverResolve() : "value",
            async client => {
                const slow = client.ask({ kind: "get", key: "slow" }, new Progress(300));
                await new Promise(resolve => setTimeout(resolve, 100));
                expect(await client.ask(request, new Progress(1_000)) as unknown).toEqual("value");
                await expect(slow).toBeRejected();
                expect([client.isUsable, client.isConnected]).toEqual([true, true]);
            },
        ));

    it("should use a connection that opened after the question that started it had timed out", () =>
        withPeer(async () => "value", async (client, port) => {
            const slowProxy = createServer(socket => {
                const peer = connect(port, "127.0.0.1");
                setTimeout(() => socket.pipe(peer).pipe(socket), 600);
                socket.on("error", () => peer.destroy());
                peer.on("error", () => socket.destroy());
            });
            await new Promise<void>(resolve => slowProxy.listen(0, "127.0.0.1", () => resolve()));
            const viaProxy = new PeerClient(
                { ...client.address, port: (slowProxy.address() as AddressInfo).port },
                key,
            );
            try {
                await expect(viaProxy.ask(request, new Progress(300))).toBeRejected();
                await waitUntil(() => viaProxy.isUsable && viaProxy.isConnected);
                expect(await viaProxy.ask(request, new Progress(1_000)) as unknown).toEqual("value");
            }
            finally {
                viaProxy.close();
                slowProxy.close();
            }
        }));

    // Guards against one odd entry in the member list, tried every 150 ms in place of all peers behind it, which are never connected.
    for (const odd of [{ port: 99_999 }, { port: 1.5 }, { host: "::1" }, { host: "a b" }, { key: "odd\nkey" }]) {
        it(`should leave a peer unused that cannot be connected to: ${JSON.stringify(odd)}`, async () => {
            const address = { instance: "b", host: "127.0.0.1", port: 1, zone: "z", region: "r", keepsTurns: false };
            const client = new PeerClient({ ...address, ...odd }, () => "key" in odd ? odd.key : key());
            await client.preconnect();
            expect(client.isUsable).toEqual(false);
            client.close();
        });
    }

    it("should return the response to a request", () =>
        withPeer(async () => "value", async client => {
            expect(await client.ask(request, new Progress(1_000)) as unknown).toEqual("value");
        }));
});
