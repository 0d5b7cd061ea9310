import type { Progress } from "@marigolddrift/common";
import { silentLogger } from "@marigolddrift/common";
import { Duties, FactClock, FactExchange, FactTable } from "@marigolddrift/gateway";
import type { FactSource, PeerRequest } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

/** Time within which a fact must reach all instances that are in touch. */
const contactMs = 4_000;

const regions = ["north", "south"];

/** One round trip between instances of one region, and of two. */
const nearMs = 4;
const farMs = 40;

interface Member {
    readonly region: string;
    readonly facts: FactTable<number>;
    readonly exchange: FactExchange;
    readonly instance: string;
    isFrozen: boolean;
}

type FactRequest = Extract<PeerRequest, { kind: "shareFacts"; }>;

/** Instances that exchange facts. */
class Fleet {
    readonly members = new Map<string, Member>();
    requests = 0;
    private readonly backoffs = new Map<string, number>();

    constructor(instances: number) {
        Array.from({ length: instances }, (_, index) => this.start(`f${index}`, regions[index % 2]!, 1));
    }

    /** Starts an instance, or starts it again with nothing of what it knew. */
    start(name: string, region: string, start: number): void {
        this.members.get(name)?.exchange.close();
        const clock = new FactClock();
        const facts = new FactTable<number>(clock, 100);
        const source: FactSource = {
            changedSince: sequence => facts.changedSince(sequence),
            merge: received => {
                for (const [key, value] of received as [string, number][]) {
                    if (value > (facts.get(key) ?? 0)) {
                        facts.put(key, value);
                    }
                }
            },
        };
        const inRegion = (of: string): string[] =>
            [...this.members].filter(([other, member]) => other !== name && member.region === of).map(([other]) =>
                other
            );
        const isUsable = (other: string): boolean => performance.now() >= (this.backoffs.get(`${name}>${other}`) ?? 0);
        const peers = {
            version: 0,
            regions: () => regions,
            namesInRegion: inRegion,
            getByName: (other: string) =>
                this.members.has(other) && other !== name ?
                    Object.assign(this.peer(name, other) as object, { isUsable: isUsable(other) }) :
                    undefined,
        } as never;
        const instance = `${name}-${start}`;
        const localInstance = { instance, region, address: () => name };
        // The members of a fake fleet change without a version.
        const duties = {
            carriers: (...args: Parameters<Duties["carriers"]>) => new Duties(localInstance, peers).carriers(...args),
        };
        const exchange = new FactExchange(localInstance, duties, peers, clock, { numbers: source }, silentLogger);
        this.members.set(name, { region, facts, exchange, instance, isFrozen: false });
    }

    /** Names of the instances that do not know a fact. */
    unaware(key: string, value: number): string[] {
        return [...this.members].filter(([, { facts, isFrozen }]) => !isFrozen && facts.get(key) !== value).map((
            [name],
        ) => name);
    }

    close(): void {
        this.members.forEach(({ exchange }) => exchange.close());
    }

    private peer(from: string, to: string): unknown {
        const wayMs = (this.members.get(from)!.region === this.members.get(to)!.region ? nearMs : farMs) / 2;
        const ask = async (request: FactRequest, progress: Progress): Promise<unknown> => {
            this.requests += 1;
            const target = this.members.get(to)!;
            try {
                await progress.sleep(wayMs);
                if (target.isFrozen || this.members.get(from)!.isFrozen) {
                    await progress.sleep(60_000);
                }
                const response = await progress.race(target.exchange.onRequest(request, progress));
                await progress.sleep(wayMs);
                return response;
            }
            catch (err) {
                this.backoffs.set(`${from}>${to}`, performance.now() + 1_000);
                throw err;
            }
        };
        const cached = this.clients.get(`${from}>${to}`) ?? { name: to, address: { instance: to }, ask };
        this.clients.set(`${from}>${to}`, cached);
        return cached;
    }

    private readonly clients = new Map<string, unknown>();
}

describe("fact exchange", () => {
    for (const instances of [7, 67]) {
        it(`should tell ${instances} instances of two regions a fact, also while any one of them is frozen`, async () => {
            await withClock(async clock => {
                const fleet = new Fleet(instances);
                await clock.tickAsync(5_000);
                let value = 0;
                for (const name of [...fleet.members.keys()].slice(0, 12)) {
                    const frozen = fleet.members.get(name)!;
                    frozen.isFrozen = true;
                    value += 1;
                    const teller = [...fleet.members.values()].find(member => !member.isFrozen)!;
                    teller.facts.put("fact", value);
                    await clock.tickAsync(contactMs);
                    expect(fleet.unaware("fact", value)).toEqual([]);
                    frozen.isFrozen = false;
                    await clock.tickAsync(2_500);
                    expect(fleet.unaware("fact", value)).toEqual([]);
                }
                fleet.close();
            });
        });

        it(`should tell an instance of ${instances} that starts again all facts, also if it was a relay`, async () => {
            await withClock(async clock => {
                const fleet = new Fleet(instances);
                await clock.tickAsync(3_000);
                fleet.members.get("f0")!.facts.put("fact", 1);
                await clock.tickAsync(1_000);
                for (const [name, { region }] of [...fleet.members].slice(0, 12)) {
                    fleet.start(name, region, 2);
                    await clock.tickAsync(contactMs);
                    expect(fleet.unaware("fact", 1)).toEqual([]);
                }
                fleet.close();
            });
        });
    }

    it("should send a few requests an instance and second, not one to each other instance", async () => {
        await withClock(async clock => {
            const fleet = new Fleet(67);
            await clock.tickAsync(3_000);
            const before = fleet.requests;
            for (let fact = 1; fact <= 10; fact++) {
                fleet.members.get(`f${fact}`)!.facts.put(`fact ${fact}`, 1);
                await clock.tickAsync(1_000);
            }
            const perInstanceAndSecond = (fleet.requests - before) / 67 / 10;
            expect(perInstanceAndSecond).toSatisfy(count => count <= 5);
            fleet.close();
        });
    });
});
