import { silentLogger } from "@marigolddrift/common";
import { Peers, PeerServer } from "@marigolddrift/gateway";
import type { PeerAddress, PeerRequest } from "@marigolddrift/gateway";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";
import { waitUntil } from "../platform/deployment.js";
import { keyOf, StorePath } from "./storePath.js";

/** Time after which a new instance took itself as known to all, whatever the others knew. */
const formerSettlingMs = 10_000;

/** Time in which an instance settles that needs no one's answer, and in which it would have done so wrongly after a restart. */
const promptMs = 1_500;

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** A front instance of which only the membership runs. */
class Member {
    readonly path: StorePath;
    peers!: Peers;
    /** Whether it answers its peers. */
    isSilent = false;
    /** Whether shares are still lent that were lent before it knew of others. */
    hasFormerShares = false;
    private server!: PeerServer;
    private starts = 0;
    private port = 0;

    constructor(readonly machine: string, store: FakeStore) {
        this.path = new StorePath(store);
    }

    get name(): string {
        return `127.0.0.1:${this.port}`;
    }

    async start(): Promise<void> {
        const instance = `${this.machine}-${++this.starts}`;
        this.server = new PeerServer(
            () => this.peers.key,
            request => this.answer(request as PeerRequest),
            silentLogger,
        );
        this.port = await this.server.listen("127.0.0.1", [this.port]);
        const address = (): PeerAddress => ({
            instance,
            host: "127.0.0.1",
            port: this.port,
            zone: "north-a",
            region: "north",
            keepsTurns: false,
        });
        const recognition = { isRemover: () => false };
        this.peers = new Peers(this.machine, address, this.path, silentLogger, { recognition });
        this.peers.start();
    }

    knows(other: Member): boolean {
        return this.peers.namesInRegion("north").includes(other.name);
    }

    close(): void {
        this.peers.stop();
        this.server.close();
    }

    private async answer(request: PeerRequest): Promise<unknown> {
        if (this.isSilent) {
            await pause(60_000);
        }
        if (request.kind === "recognize") {
            this.peers.add(request.machine, request.address);
            return !this.hasFormerShares;
        }
        return undefined;
    }
}

// Guards against an instance that takes itself as known to all while others don't count with it, so that the shares of the quotas add up to
// more than one (QUOTA): after a restart, while others can't read the list, and with an older list.
describe("an instance that is added", () => {
    let store: FakeStore;
    let old: Member[];
    let added: Member;

    beforeEach(async () => {
        store = new FakeStore();
        old = ["a", "b"].map(machine => new Member(machine, store));
        added = new Member("c", store);
        for (const member of old) {
            await member.start();
        }
        await waitUntil(() => old.every(({ peers }) => peers.isSettled));
        // The first refreshes come soon one after another; the others don't read the list again while a test runs.
        old.forEach(({ path }) => path.isCut = true);
    });
    afterEach(() => [...old, added].forEach(member => member.close()));

    const countedBy = (): boolean[] => old.map(member => member.knows(added));

    it("should be settled once the others count with it, also if they can't read the list", async () => {
        await added.start();
        await waitUntil(() => added.peers.isSettled);
        expect(countedBy()).toEqual([true, true]);
    });

    it("should not be settled while one of them is silent, however long it waits", async () => {
        old[1]!.isSilent = true;
        await added.start();
        await pause(formerSettlingMs + promptMs);
        expect(added.peers.isSettled).toEqual(false);
        old[1]!.isSilent = false;
        await waitUntil(() => added.peers.isSettled, 12_000);
        expect(countedBy()).toEqual([true, true]);
    });

    it("should not be settled after a restart if its former process was not", async () => {
        old.forEach(member => member.isSilent = true);
        await added.start();
        await waitUntil(() => added.peers.isRegistered);
        added.close();
        await added.start();
        await pause(promptMs);
        expect(added.peers.isSettled).toEqual(false);
    });

    // Guards against quotas that nobody can grant because a machine was listed once and has never come up.
    it("should pass over one that is not recognized itself and does not respond", async () => {
        const dead = { instance: "dead-1", host: "127.0.0.1", port: 1, zone: "north-a", region: "north" };
        store.state.beginRevision();
        store.state.put(keyOf("dead"), Buffer.from(JSON.stringify(dead)), "0");
        await added.start();
        await pause(promptMs);
        expect(added.peers.isSettled).toEqual(false);
        await waitUntil(() => added.peers.isSettled, 10_000);
        expect(store.state.get(keyOf("dead"))?.value.toString().includes("\"doubted\":true")).toEqual(true);
    });

    it("should be settled after a restart if its former process was, whoever is silent", async () => {
        await added.start();
        await waitUntil(() => store.state.get(keyOf("c"))?.value.toString().includes("\"recognized\":true") === true);
        added.close();
        old.forEach(member => member.isSilent = true);
        await added.start();
        await waitUntil(() => added.peers.isSettled, promptMs);
    });

    it("should not be settled while shares are in force that were lent before", async () => {
        old[0]!.hasFormerShares = true;
        await added.start();
        await pause(promptMs);
        expect(added.peers.isSettled).toEqual(false);
        old[0]!.hasFormerShares = false;
        await waitUntil(() => added.peers.isSettled);
    });

    it("should not be settled by an older list that lacks others", async () => {
        added.path.oldList = [];
        old.forEach(member => member.isSilent = true);
        await added.start();
        await pause(promptMs);
        expect(added.peers.isSettled).toEqual(false);
        expect(old.map(member => added.knows(member))).toEqual([true, true]);
    });

    it("should be settled together with another one that is added at once, and both count with each other", async () => {
        const other = new Member("d", store);
        old.push(other);
        await Promise.all([added.start(), other.start()]);
        await waitUntil(() => added.peers.isSettled && other.peers.isSettled);
        expect([added.knows(other), other.knows(added)]).toEqual([true, true]);
    });
});
