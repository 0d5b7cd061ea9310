import { Progress, silentLogger } from "@marigolddrift/common";
import { PeerClient, PeerServer } from "@marigolddrift/gateway";
import type { AnswerFunction } from "@marigolddrift/gateway";
import { expect } from "earl";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";

import { waitUntil } from "../platform/deployment.js";

const key = () => "shared";

const withPeer = async (
    answer: AnswerFunction,
    test: (client: PeerClient, port: number) => Promise<void>,
): Promise<void> => {
    const server = new PeerServer(key, answer, silentLogger);
    const port = await server.listen("127.0.0.1", 0);
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

const never = (): Promise<unknown> => new Promise(() => {});
const question = { kind: "get" as const, key: "k" };

describe("peer client", () => {
    it("should not take a peer for gone when a question was answered another way", () =>
        withPeer(never, async client => {
            const progress = new Progress(5_000);
            setTimeout(() => progress.abort(new Error("answered another way")), 250);
            await expect(client.ask(question, progress)).toBeRejectedWith("answered another way");
            expect(client.isUsable).toEqual(true);
        }));

    it("should leave a silent peer alone for longer with each failure", () =>
        withPeer(never, async client => {
            const pauses: number[] = [];
            for (let failure = 0; failure < 2; failure++) {
                await expect(client.ask(question, new Progress(200))).toBeRejected();
                const failedAt = performance.now();
                while (!client.isUsable) {
                    await new Promise(resolve => setTimeout(resolve, 20));
                }
                pauses.push(performance.now() - failedAt);
            }
            expect(pauses[1]! > 1.5 * pauses[0]!).toEqual(true);
        }));

    it("should not take a peer for gone that answers other questions", () =>
        withPeer(
            async asked => asked.kind === "get" && asked.key === "slow" ? await never() : "value",
            async client => {
                const slow = client.ask({ kind: "get", key: "slow" }, new Progress(300));
                await new Promise(resolve => setTimeout(resolve, 100));
                expect(await client.ask(question, new Progress(1_000)) as unknown).toEqual("value");
                await expect(slow).toBeRejected();
                expect([client.isUsable, client.isConnected]).toEqual([true, true]);
            },
        ));

    it("should use a connection that opened after its first question had given up", () =>
        withPeer(async () => "value", async (client, port) => {
            const late = createServer(socket => {
                const peer = connect(port, "127.0.0.1");
                setTimeout(() => socket.pipe(peer).pipe(socket), 600);
                socket.on("error", () => peer.destroy());
                peer.on("error", () => socket.destroy());
            });
            await new Promise<void>(resolve => late.listen(0, "127.0.0.1", () => resolve()));
            const viaLate = new PeerClient({ ...client.address, port: (late.address() as AddressInfo).port }, key);
            try {
                await expect(viaLate.ask(question, new Progress(300))).toBeRejected();
                await waitUntil(() => viaLate.isUsable && viaLate.isConnected);
                expect(await viaLate.ask(question, new Progress(1_000)) as unknown).toEqual("value");
            }
            finally {
                viaLate.close();
                late.close();
            }
        }));

    it("should answer questions", () =>
        withPeer(async () => "value", async client => {
            expect(await client.ask(question, new Progress(1_000)) as unknown).toEqual("value");
        }));
});
