import { Progress, silentLogger } from "@marigolddrift/common";
import { Duties, peerName, Peers, PeerServer } from "@marigolddrift/gateway";
import type { PeerAddress } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";
import { waitUntil } from "../platform/deployment.js";

const createAddress = (instance: string, zone: string, keepsTurns: boolean): PeerAddress => ({
    instance,
    host: "127.0.0.1",
    port: 1,
    zone,
    region: zone.split("-")[0]!,
    keepsTurns,
});

describe("peers", () => {
    it("should open the connections that calls need before a call is made, one after the other", async () => {
        const store = new FakeStore();
        const others = [
            createAddress("journal-near", "north-b", true),
            createAddress("journal-far", "south-a", true),
            createAddress("front-near", "north-b", false),
            createAddress("front-far", "south-a", false),
        ];
        const key = { value: "" };
        const servers = await Promise.all(others.map(async other => {
            const server = new PeerServer(() => key.value, async () => true, silentLogger);
            const port = await server.listen("127.0.0.1", [0]);
            store.state.beginRevision();
            store.state.put(
                `marigolddrift/members/${other.instance}`,
                Buffer.from(JSON.stringify({ ...other, port })),
                "0",
            );
            return server;
        }));
        const address = createAddress("front", "north-a", false);
        const localInstance = { instance: "front", region: "north", address: () => peerName(address) };
        const peers: Peers = new Peers(
            "front",
            () => address,
            store,
            silentLogger,
            { neededFronts: () => [duties.likelyCarriers(["config"]), duties.partners()] },
        );
        const duties = new Duties(localInstance, peers);
        peers.start();
        try {
            await waitUntil(() => peers.key !== undefined);
            key.value = peers.key!;
            const connected = (): string[] =>
                others.map(({ instance }) => instance).filter(instance => peers.get(instance)?.isConnected === true);
            await waitUntil(() => connected().length === 3);
            await new Promise(resolve => setTimeout(resolve, 500));
            expect(connected()).toEqual(["journal-near", "journal-far", "front-near"]);
        }
        finally {
            peers.stop();
            servers.forEach(server => server.close());
        }
    });

    it("should still find a machine that has taken over the address of one that is removed", async () => {
        const store = new FakeStore();
        const put = (machine: string, instance: string): void => {
            store.state.beginRevision();
            const value = JSON.stringify(createAddress(instance, "north-a", false));
            store.state.put(`marigolddrift/members/${machine}`, Buffer.from(value), "0");
        };
        put("old", "old-1");
        const local = { ...createAddress("front", "north-a", false), port: 2 };
        const peers = new Peers("front", () => local, store, silentLogger);
        const progress = new Progress(1_000);
        await peers.reload(progress);
        put("new", "new-1");
        await peers.reload(progress);
        store.state.beginRevision();
        store.state.remove("marigolddrift/members/old");
        await peers.reload(progress);
        expect(peers.getByName("127.0.0.1:1")?.address.instance).toEqual("new-1");
        progress.dispose();
        peers.stop();
    });

    it("should not take the process that ran on its machine before for a peer", async () => {
        const store = new FakeStore();
        store.state.beginRevision();
        const value = JSON.stringify(createAddress("front-before", "north-a", false));
        store.state.put("marigolddrift/members/front", Buffer.from(value), "0");
        const peers = new Peers("front", () => createAddress("front-now", "north-a", false), store, silentLogger);
        const progress = new Progress(1_000);
        await peers.reload(progress);
        expect([peers.namesInRegion("north"), peers.get("front-before")]).toEqual([[], undefined]);
        progress.dispose();
        peers.stop();
    });
});
