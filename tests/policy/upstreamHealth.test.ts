import { sampleByWeight, slowStartWeight, UpstreamHealth } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";
import { expect } from "earl";
import { describe, it } from "node:test";

const workers = Array.from({ length: 10 }, (_, index) => `w${index}`);

/** A worker's behavior in a replay. */
interface Behavior {
    readonly failureShare: number;
    readonly slowness: number;
}

const even: Behavior = { failureShare: 0.01, slowness: 1 };

interface Replay {
    readonly calls: Map<string, number>;
    readonly failures: number;
    readonly total: number;
    readonly health: UpstreamHealth;
    readonly now: number;
}

/** Replays calls at 20 a second of one instance, in virtual time, to workers that are chosen at random by their weights. */
const replay = (behaviorAt: (worker: string, now: number) => Behavior, seconds: number, seed: number): Replay => {
    const random = createRandom(seed);
    const health = new UpstreamHealth();
    const calls = new Map(workers.map(worker => [worker, 0]));
    let failures = 0;
    let now = 0;
    let total = 0;
    for (; now < seconds * 1_000; now += 50) {
        const weights = health.weights(workers, now);
        const considered = sampleByWeight(
            workers.map(worker => ({ worker, weight: weights.get(worker) ?? 1 })),
            random,
        );
        const { worker } = considered[Math.floor(random() * considered.length)]!;
        const { failureShare, slowness } = behaviorAt(worker, now);
        const failed = random() < failureShare;
        health.onOutcome(worker, failed, now);
        if (!failed) {
            health.onServed({ worker, kind: "k", predictedMs: 1, ms: -Math.log(1 - random()) * 60 * slowness }, now);
        }
        calls.set(worker, calls.get(worker)! + 1);
        failures += failed ? 1 : 0;
        total += 1;
    }
    return { calls, failures, total, health, now };
};

describe("upstream health", () => {
    // Guards against an upstream that fails calls behind a good health check and keeps getting its full share.
    it("should give an upstream that fails calls fewer of them, but not none", () => {
        for (const seed of [1, 2, 3]) {
            const { calls, total, failures } = replay(
                worker => worker === "w3" ? { failureShare: 0.6, slowness: 1 } : even,
                60,
                seed,
            );
            const share = calls.get("w3")! / total;
            expect(share).toSatisfy(value => value > 0.002 && value < 0.04);
            expect(failures / total).toSatisfy(value => value < 0.035);
        }
    });

    it("should give it its share again once it has recovered", () => {
        const failsUntil = 30_000;
        const { health, now } = replay(
            (worker, at) => worker === "w3" && at < failsUntil ? { failureShare: 0.9, slowness: 1 } : even,
            150,
            4,
        );
        expect(health.weights(workers, now).get("w3") ?? 1).toSatisfy(weight => weight > 0.9);
    });

    // Guards against setting an upstream back because of answers with 500 that a tool gives by its own logic.
    it("should set no upstream back for 1 % of failures", () => {
        for (let seed = 1; seed <= 10; seed++) {
            const { calls, health, now } = replay(() => even, 120, seed);
            expect([...health.weights(workers, now)]).toEqual([]);
            expect(Math.min(...calls.values()) * 10 / 2_400).toSatisfy(ratio => ratio > 0.75);
        }
    });

    it("should set none back if the calls fail everywhere", () => {
        const { health, now } = replay(() => ({ failureShare: 0.5, slowness: 1 }), 60, 5);
        expect(health.weights(workers, now).size).toSatisfy(count => count <= 2);
    });

    it("should never set more than half of a service back at once", () => {
        const health = new UpstreamHealth();
        for (let call = 0; call < 50; call++) {
            workers.forEach((worker, index) => health.onOutcome(worker, index >= 3, 0));
        }
        expect(health.weights(workers, 0).size).toSatisfy(count => count <= 5);
        const [first, second] = workers;
        expect(health.weights([first!], 0).size).toEqual(0);
        expect(health.weights([first!, second!], 0).size).toSatisfy(count => count <= 1);
    });

    it("should find a slow upstream, and no other one", () => {
        for (const seed of [1, 2, 3]) {
            const { health, now } = replay(
                worker => ({ failureShare: 0, slowness: worker === "w3" ? 4 : 1 }),
                40,
                seed,
            );
            const slowdowns = health.slowdowns(workers, now);
            expect(slowdowns.get("w3") ?? 1).toSatisfy(slowdown => slowdown > 1.5);
            for (const worker of workers.filter(name => name !== "w3")) {
                expect(slowdowns.get(worker) ?? 1).toSatisfy(slowdown => slowdown > 0.8 && slowdown < 1.2);
            }
        }
    });

    it("should compare each kind of call with its own expectation", () => {
        const health = new UpstreamHealth();
        for (let call = 0; call < 40; call++) {
            health.onServed({ worker: "short", kind: "a", predictedMs: 1, ms: 10 }, call);
            health.onServed({ worker: "long", kind: "b", predictedMs: 1, ms: 500 }, call);
        }
        expect([...health.slowdowns(["short", "long"], 40)]).toEqual([]);
    });
});

describe("slow start", () => {
    // Guards against a new upstream that gets the next calls of all instances at once.
    it("should raise the share of calls of a new upstream over some seconds", () => {
        const random = createRandom(7);
        const shareAfter = (sinceMs: number, coldLeftMs = 0): number => {
            let chosen = 0;
            for (let call = 0; call < 4_000; call++) {
                const considered = sampleByWeight([
                    { name: "new", weight: slowStartWeight(sinceMs, coldLeftMs) },
                    { name: "old", weight: 1 },
                ], random);
                chosen += considered.some(({ name }) => name === "new") ? 1 : 0;
            }
            return chosen / 4_000;
        };
        expect(shareAfter(0)).toSatisfy(share => share > 0.05 && share < 0.15);
        expect(shareAfter(2_500)).toSatisfy(share => share > 0.5 && share < 0.6);
        expect(shareAfter(5_000)).toEqual(1);
        expect(shareAfter(5_000, 4_000)).toSatisfy(share => share > 0.2 && share < 0.35);
    });

    it("should not keep calls waiting if all upstreams are new", () => {
        const considered = sampleByWeight([{ weight: 0.1 }, { weight: 0.1 }], () => 0.99);
        expect(considered.length).toEqual(2);
    });
});
