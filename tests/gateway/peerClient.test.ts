import { Progress, silentLogger } from "@marigolddrift/common";
import { PeerClient, PeerServer } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

const key = () => "shared";

const withPeer = async (
    answer: () => Promise<unknown>,
    test: (client: PeerClient) => Promise<void>,
): Promise<void> => {
    const server = new PeerServer(key, answer, silentLogger);
    const port = await server.listen("127.0.0.1", 0);
    const address = { instance: "b", host: "127.0.0.1", port, zone: "z", region: "r", keepsTurns: false };
    const client = new PeerClient(address, key);
    try {
        await test(client);
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

    it("should answer questions", () =>
        withPeer(async () => "value", async client => {
            expect(await client.ask(question, new Progress(1_000)) as unknown).toEqual("value");
        }));
});
