import { silentLogger } from "@marigolddrift/common";
import { PrefixWatcher, UpstreamFollower, Upstreams } from "@marigolddrift/gateway";
import { storeLayout } from "@marigolddrift/platform";
import { expect } from "earl";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";
import { Deployment, waitUntil } from "../platform/deployment.js";

const soundEntry = { service: "ops", address: "127.0.0.1:9", zone: "north-a", version: "v1", slots: 4, state: "ready" };

const nested = (depth: number): string => `{"x":${"[".repeat(depth)}${"]".repeat(depth)}}`;

/** What another writer may leave under the keys of upstreams. */
const oddValues: Record<string, string | Buffer> = {
    "a port out of range": JSON.stringify({ ...soundEntry, address: "127.0.0.1:80800" }),
    "port 0": JSON.stringify({ ...soundEntry, address: "127.0.0.1:0" }),
    "a port with many digits": JSON.stringify({ ...soundEntry, address: `127.0.0.1:${"9".repeat(400)}` }),
    "a host that is no IP address": JSON.stringify({ ...soundEntry, address: "a/b?c@d:80" }),
    "a host with a space": JSON.stringify({ ...soundEntry, address: "127.0.0. 1:80" }),
    "an address of another type": JSON.stringify({ ...soundEntry, address: ["127.0.0.1:80"] }),
    "too many slots": JSON.stringify({ ...soundEntry, slots: 1e300 }),
    "a number too large for any type": JSON.stringify(soundEntry).replace(":4,", ":1e999,"),
    "a state that has no meaning": JSON.stringify({ ...soundEntry, state: "retired" }),
    "a missing field": JSON.stringify({ ...soundEntry, zone: undefined }),
    "very deep nesting": nested(200_000),
    "no object": "null",
    "bytes that are no text": Buffer.from([0xff, 0xfe, 0x00, 0x80]),
    "nothing": "",
};

describe("odd entries among the upstreams", () => {
    for (const [title, value] of Object.entries(oddValues)) {
        it(`should not take an entry with ${title} for an upstream`, () => {
            expect(storeLayout.decodeUpstream("servers/i-1", Buffer.from(value))).toEqual(undefined);
        });
    }

    it("should not take an id that cannot be sent in a header", () => {
        const value = Buffer.from(JSON.stringify(soundEntry));
        for (const id of ["", "a b", "a\r\nX: 1", "é", "\u0000"]) {
            expect(storeLayout.decodeUpstream(`servers/${id}`, value)).toEqual(undefined);
        }
    });

    // Guards against one entry with a port out of range, which kept all instances from serving after a restart.
    it("should become ready and serve although the list begins with odd entries", async () => {
        const deployment = await Deployment.start(0);
        Object.values(oddValues).forEach((value, index) =>
            deployment.store.putBytes(`servers/i-0${index}`, Buffer.from(value))
        );
        await deployment.addGateway();
        expect((await deployment.call("GET", "/look/1")).status).toEqual(200);
        deployment.close();
    });

    it("should send no further calls to an upstream whose entry has been overwritten", async () => {
        const deployment = await Deployment.start(1);
        const { upstreams } = deployment.gateways[0]!;
        deployment.store.put("servers/i-ops", { ...deployment.plainWorker.entry(), state: "retired" });
        await waitUntil(() => upstreams.get("i-ops") === undefined);
        deployment.store.put("servers/i-ops", deployment.plainWorker.entry());
        await waitUntil(() => upstreams.get("i-ops") !== undefined);
        deployment.close();
    });

    it("should apply the other entries of a batch if one makes the decoder or the HTTP client fail", () => {
        const upstreams = new Upstreams(() => {}, () => undefined, () => 2, silentLogger);
        const decodeUpstream: typeof storeLayout.decodeUpstream = (key, value) => {
            if (key.endsWith("i-1")) {
                throw new RangeError("too deep");
            }
            const entry = storeLayout.decodeUpstream(key, value);
            return entry && key.endsWith("i-2") ? { ...entry, address: "127.0.0.1:80800" } : entry;
        };
        const follower = new UpstreamFollower(upstreams, { ...storeLayout, decodeUpstream }, () => {}, silentLogger);
        const value = Buffer.from(JSON.stringify(soundEntry));
        follower.onSnapshot(["i-1", "i-2", "i-3"].map(id => ({ key: `servers/${id}`, value, revision: 1 })));
        expect(follower.hasSnapshot).toEqual(true);
        expect([upstreams.size, upstreams.get("i-3")?.entry.id]).toEqual([1, "i-3"]);
        upstreams.close();
    });

    it("should go on to follow the store after an error of the receiver", async () => {
        const store = new FakeStore();
        const seen: string[] = [];
        const events = {
            onSnapshot: () => {
                throw new Error("the receiver failed");
            },
            onChanges: () => seen.push("changes"),
            onDisconnected: () => seen.push("disconnected"),
            onReconnected: () => {},
        };
        const watcher = new PrefixWatcher(store, "x/", events, 5_000, silentLogger);
        watcher.start();
        await waitUntil(() => store.reads > 0);
        await store.txn([], [{ key: "x/1", value: Buffer.from("one") }]);
        await waitUntil(() => seen.length > 0);
        expect(seen).toEqual(["changes"]);
        watcher.stop();
    });
});
