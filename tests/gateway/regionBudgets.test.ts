import { Progress, rendezvous, silentLogger } from "@marigolddrift/common";
import { BatchWriter, Budgets, Duties, RegionBudgets } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";

interface Member {
    readonly budgets: Budgets;
    readonly region: RegionBudgets;
    /** Whether peers can reach the instance. */
    isReachable: boolean;
    /** Delay of the responses to reservations. */
    responseMs: number;
    /** Number of settlements that are lost. */
    lostSettlements: number;
}

interface PeerRequest {
    readonly kind: string;
    readonly program: string;
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Creates instances of one region that call each other directly. */
const createRegion = (store: FakeStore, names: readonly string[]): Map<string, Member> => {
    const members = new Map<string, Member>();
    const handleRequest = async (name: string, request: PeerRequest, progress: Progress): Promise<unknown> => {
        const member = members.get(name)!;
        if (!member.isReachable) {
            throw new Error("the peer is unreachable");
        }
        switch (request.kind) {
            case "returnBudget":
                return await member.budgets.returnUnspent(request.program, progress);
            case "reserveTokens": {
                const outcome = await member.region.reserveForPeer(request as never, progress);
                await sleep(member.responseMs);
                progress.throwIfAborted();
                return outcome;
            }
            default:
                if (member.lostSettlements > 0) {
                    member.lostSettlements -= 1;
                    throw new Error("the settlement was lost");
                }
                return await member.region.settleForPeer(request as never);
        }
    };
    const peer = (name: string) => ({
        name,
        isUsable: true,
        address: { instance: name },
        ask: (request: PeerRequest, progress: Progress) => handleRequest(name, request, progress),
        notify: (request: PeerRequest) => handleRequest(name, request, new Progress(1_000)),
    });
    for (const name of names) {
        const peers = {
            refresh: async () => {},
            get: (instance: string) => members.has(instance) ? peer(instance) : undefined,
            version: 0,
            namesInRegion: () => names.filter(other => other !== name),
            getByName: peer,
        } as never;
        const budgets = new Budgets(name, new BatchWriter(store, 0, silentLogger), store, peers, silentLogger);
        const localInstance = { instance: name, region: "r", address: () => name };
        members.set(name, {
            budgets,
            region: new RegionBudgets(localInstance, budgets, new Duties(localInstance, peers), silentLogger),
            isReachable: true,
            responseMs: 0,
            lostSettlements: 0,
        });
    }
    return members;
};

const names = ["a", "b", "c", "d"];
const close = (region: Map<string, Member>): void => region.forEach(({ budgets }) => budgets.close());
const total = 2_304;
const needed = 288;

const turn = async (member: Member, spent: number): Promise<void> => {
    (await member.region.reserve("p", total, needed, new Progress(5_000))).settle(spent);
    await new Promise(resolve => setTimeout(resolve, 1));
};

describe("budgets of a region", () => {
    it("should write the record as rarely when the turns of a program arrive at all instances as at one", async () => {
        const countWrites = async (arrivals: readonly string[]): Promise<number> => {
            const store = new FakeStore();
            const region = createRegion(store, names);
            for (let index = 0; index < 8; index++) {
                await turn(region.get(arrivals[index % arrivals.length]!)!, 73);
            }
            close(region);
            return store.writes;
        };
        expect(await countWrites(names)).toEqual(await countWrites([names[0]!]));
        expect(await countWrites(names)).toSatisfy(writes => writes <= 2);
    });

    it("should reject turns at every instance when the budget is exhausted", async () => {
        const store = new FakeStore();
        const region = createRegion(store, names);
        for (let spent = 0; spent + needed <= total; spent += needed) {
            await turn(region.get(names[spent % names.length]!)!, needed);
        }
        for (const member of region.values()) {
            await expect(turn(member, 1)).toBeRejectedWith("spent");
        }
        close(region);
    });

    it("should fall back on the instance's own allocation when the coordinator does not respond", async () => {
        const store = new FakeStore();
        const region = createRegion(store, names);
        const coordinator = rendezvous("p", names)[0]!;
        region.get(coordinator)!.isReachable = false;
        const other = names.find(name => name !== coordinator)!;
        await turn(region.get(other)!, 73);
        expect(store.writes).toEqual(1);
        close(region);
    });

    it("should not count a turn as spent whose caller left before its tokens were reserved", async () => {
        const region = createRegion(new FakeStore(), names);
        const coordinator = region.get(rendezvous("p", names)[0]!)!;
        const other = region.get(names.find(name => region.get(name) !== coordinator)!)!;
        coordinator.responseMs = 50;
        for (let turns = 0; turns < total / needed; turns++) {
            const progress = new Progress(5_000);
            setTimeout(() => progress.abort(new Error("the caller left")), 20);
            await expect(other.region.reserve("p", total, needed, progress)).toBeRejectedWith("the caller left");
        }
        await sleep(100);
        coordinator.responseMs = 0;
        await turn(other, needed);
        close(region);
    });

    it("should settle a turn again when the settlement is lost", async () => {
        const region = createRegion(new FakeStore(), names);
        const coordinator = region.get(rendezvous("p", names)[0]!)!;
        const other = region.get(names.find(name => region.get(name) !== coordinator)!)!;
        coordinator.lostSettlements = 2;
        for (let turns = 0; turns < total / needed; turns++) {
            await turn(other, 0);
        }
        await sleep(300);
        for (let spent = 0; spent + needed <= total; spent += needed) {
            await turn(other, needed);
        }
        await expect(turn(other, 1)).toBeRejectedWith("spent");
        close(region);
    });

    it("should let other instances keep their own tokens once it has stopped, and return the tokens it holds", async () => {
        const store = new FakeStore();
        const region = createRegion(store, names);
        const coordinator = rendezvous("p", names)[0]!;
        const other = names.find(name => name !== coordinator)!;
        await turn(region.get(other)!, needed);
        region.get(coordinator)!.region.stop();
        await region.get(coordinator)!.budgets.returnAllUnspent(new Progress(1_000));
        for (let spent = needed; spent + needed <= total; spent += needed) {
            await turn(region.get(other)!, needed);
        }
        await expect(turn(region.get(other)!, 1)).toBeRejectedWith("spent");
        close(region);
    });
});
