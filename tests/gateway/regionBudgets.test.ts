import { Progress, rendezvous, silentLogger } from "@marigolddrift/common";
import { BatchWriter, Budgets, RegionBudgets } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { FakeStore } from "../fakeStore.js";

interface Member {
    readonly budgets: Budgets;
    readonly region: RegionBudgets;
    /** Whether its peers reach it. */
    reachable: boolean;
}

interface Question {
    readonly kind: string;
    readonly program: string;
}

/** Instances of one region that call each other directly. */
const createRegion = (store: FakeStore, names: readonly string[]): Map<string, Member> => {
    const members = new Map<string, Member>();
    const answer = async (name: string, question: Question, progress: Progress): Promise<unknown> => {
        const member = members.get(name)!;
        if (!member.reachable) {
            throw new Error("the peer is silent");
        }
        switch (question.kind) {
            case "returnBudget":
                return await member.budgets.returnFor(question.program, progress);
            case "reserveTokens":
                return await member.region.lend(question as never, progress);
            default:
                return await member.region.settleLent(question as never);
        }
    };
    const peer = (name: string) => ({
        name,
        address: { instance: name },
        ask: (question: Question, progress: Progress) => answer(name, question, progress),
        tell: (question: Question) => answer(name, question, new Progress(1_000)),
    });
    for (const name of names) {
        const peers = {
            refresh: async () => {},
            get: (instance: string) => members.has(instance) ? peer(instance) : undefined,
            usableInRegion: () => names.filter(other => other !== name).map(peer),
        } as never;
        const budgets = new Budgets(name, new BatchWriter(store, 0, silentLogger), store, peers, silentLogger);
        const self = { instance: name, region: "r", address: () => name };
        members.set(name, { budgets, region: new RegionBudgets(self, budgets, peers, silentLogger), reachable: true });
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
    it("should write the record once while the turns of a program come in through all instances", async () => {
        const store = new FakeStore();
        const region = createRegion(store, names);
        for (let index = 0; index < 8; index++) {
            await turn(region.get(names[index % names.length]!)!, 73);
        }
        expect(store.writes).toEqual(1);
        close(region);
    });

    it("should refuse what the budget does not hold, through any instance", async () => {
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

    it("should go on with portions of its own when the keeper is silent", async () => {
        const store = new FakeStore();
        const region = createRegion(store, names);
        const keeper = rendezvous("p", names)[0]!;
        region.get(keeper)!.reachable = false;
        const other = names.find(name => name !== keeper)!;
        await turn(region.get(other)!, 73);
        expect(store.writes).toEqual(1);
        close(region);
    });

    it("should let others keep their tokens once it stops, and give back what it holds", async () => {
        const store = new FakeStore();
        const region = createRegion(store, names);
        const keeper = rendezvous("p", names)[0]!;
        const other = names.find(name => name !== keeper)!;
        await turn(region.get(other)!, needed);
        region.get(keeper)!.region.stop();
        await region.get(keeper)!.budgets.returnAll(new Progress(1_000));
        for (let spent = needed; spent + needed <= total; spent += needed) {
            await turn(region.get(other)!, needed);
        }
        await expect(turn(region.get(other)!, 1)).toBeRejectedWith("spent");
        close(region);
    });
});
