import { QuotaGranter } from "@marigolddrift/gateway";
import type { QuotaAnswer, QuotaAsk, QuotaResponse } from "@marigolddrift/gateway";
import type { Clock } from "@sinonjs/fake-timers";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";
import { allowedInWindow, QuotaFleet, settings, workspace } from "./quotaFleet.js";

/** Time in which the leases of a fleet of up to 53 instances are in force. */
const lentMs = 3_000;

/** Makes calls at random times and instances, as many a second as given for each workspace. */
const load = async (
    clock: Clock,
    fleet: QuotaFleet,
    rates: Readonly<Record<string, number>>,
    durationMs: number,
    options: { instances?: readonly string[]; prepareMs?: number; } = {},
): Promise<void> => {
    const names = options.instances ?? fleet.names;
    let seed = 7;
    const random = (): number => (seed = (seed * 48_271) % 2_147_483_647) / 2_147_483_647;
    const stepMs = 5;
    for (let elapsed = 0; elapsed < durationMs; elapsed += stepMs) {
        for (const [name, rate] of Object.entries(rates)) {
            let calls = rate * stepMs / 1_000;
            for (; calls > 0; calls -= 1) {
                if (random() < calls) {
                    const instance = names[Math.floor(random() * names.length)]!;
                    void fleet.call(
                        instance,
                        name,
                        options.prepareMs === undefined ? {} : { prepareMs: options.prepareMs },
                    );
                }
            }
        }
        await clock.tickAsync(stepMs);
    }
    await clock.tickAsync(1_000);
};

const keepsRule = (fleet: QuotaFleet, of: ReturnType<typeof workspace>, from?: number): void =>
    expect(fleet.mostInWindow(of.name, from)).toSatisfy(count => count <= allowedInWindow(of));

describe("quotas", () => {
    for (const instances of [6, 53]) {
        for (
            const of of [
                workspace("small", 2, 4),
                workspace("middle", 20, 20),
                workspace("large", 580, 300),
            ]
        ) {
            it(`should serve all calls below the limit of ${of.name} at ${instances} instances`, async () => {
                await withClock(async clock => {
                    const fleet = new QuotaFleet(instances, [of]);
                    await clock.tickAsync(lentMs + 3_000);
                    await load(clock, fleet, { [of.name]: of.quota!.perSecond / 1.6 }, 20_000);
                    const refused = fleet.refused().length / fleet.outcomes.length;
                    // Arrivals at random exceed a small burst now and then by themselves.
                    expect(refused).toSatisfy(share => share <= (of.name === "small" ? 0.2 : 0));
                    keepsRule(fleet, of);
                    fleet.close();
                });
            });

            it(`should keep to the limit of ${of.name} at ${instances} instances, and use it`, async () => {
                await withClock(async clock => {
                    const fleet = new QuotaFleet(instances, [of]);
                    await clock.tickAsync(lentMs + 3_000);
                    const startedAt = performance.now();
                    await load(clock, fleet, { [of.name]: 3 * of.quota!.perSecond }, 10_000);
                    keepsRule(fleet, of);
                    const sent = fleet.sent(of.name, startedAt).length;
                    expect(sent).toSatisfy(count => count >= 0.9 * of.quota!.perSecond * 10);
                    const retries = fleet.refused().map(({ retryAfterSeconds }) => retryAfterSeconds ?? NaN);
                    expect(retries.every(seconds => seconds > 0 && seconds <= 7)).toEqual(true);
                    fleet.close();
                });
            });
        }
    }

    const all = { perSecond: 60, burst: 30 };
    const of = workspace("w", all.perSecond, all.burst);

    it("should move unused capacity to where the demand is", async () => {
        await withClock(async clock => {
            const fleet = new QuotaFleet(12, [of]);
            await clock.tickAsync(lentMs);
            // All calls reach one region; half of the quota is lent to the other one.
            const north = fleet.names.filter((_, index) => index % 2 === 0);
            await load(clock, fleet, { w: all.perSecond / 1.3 }, 10_000, { instances: north });
            expect(fleet.refused().length).toEqual(0);
            expect(fleet.outcomes.every(({ waitedMs }) => waitedMs < 200)).toEqual(true);
            keepsRule(fleet, of);
            fleet.close();
        });
    });

    it("should serve calls at once through an instance that was idle", async () => {
        await withClock(async clock => {
            const fleet = new QuotaFleet(12, [of]);
            await clock.tickAsync(lentMs);
            const calls = Array.from({ length: 8 }, () => fleet.call(fleet.names[7]!, "w"));
            await clock.tickAsync(20);
            const outcomes = await Promise.all(calls);
            expect(outcomes.every(outcome => outcome!.status === 200 && outcome!.waitedMs < 10)).toEqual(true);
            fleet.close();
        });
    });

    for (const fault of ["freezes", "is cut off", "restarts"] as const) {
        it(`should keep the rule and go on when an instance that grants permits ${fault}`, async () => {
            // Failure: a successor spends shares that the lost instance still spends, or callers are refused until it is back.
            await withClock(async clock => {
                const fleet = new QuotaFleet(12, [of]);
                await clock.tickAsync(lentMs);
                await load(clock, fleet, { w: all.perSecond / 1.6 }, 3_000);
                const [lost] = fleet.granters();
                const member = fleet.members.get(lost!)!;
                const others = fleet.names.filter(name => name !== lost);
                const faultAt = performance.now();
                if (fault === "restarts") {
                    fleet.restart(lost!);
                }
                else {
                    Object.assign(member, fault === "freezes" ? { isFrozen: true } : { group: 1 });
                }
                const offered = load(clock, fleet, { w: all.perSecond / 1.6 }, 4_000, { instances: others });
                await offered;
                const refused = fleet.refused(faultAt).length;
                Object.assign(member, { isFrozen: false, group: 0 });
                await load(clock, fleet, { w: 3 * all.perSecond }, 8_000);
                keepsRule(fleet, of);
                // 150 calls were made below the limit during the fault.
                expect(refused).toSatisfy(count => count <= 8);
                fleet.close();
            });
        });
    }

    it("should keep the rule in a split in which each side goes on, and after it", async () => {
        await withClock(async clock => {
            const fleet = new QuotaFleet(12, [of]);
            await clock.tickAsync(lentMs);
            await load(clock, fleet, { w: 3 * all.perSecond }, 3_000);
            const splitAt = performance.now();
            fleet.names.forEach((name, index) => fleet.members.get(name)!.group = index < 4 ? 1 : 0);
            await load(clock, fleet, { w: 3 * all.perSecond }, 8_000);
            // Both sides hold what the shares of their instances amount to.
            expect(fleet.sent("w", splitAt + 3_000).length).toSatisfy(count => count >= 0.8 * 5 * all.perSecond);
            fleet.names.forEach(name => fleet.members.get(name)!.group = 0);
            await load(clock, fleet, { w: 3 * all.perSecond }, 6_000);
            keepsRule(fleet, of);
            fleet.close();
        });
    });

    for (const small of [workspace("w", 2, 1), workspace("w", 20, 10)]) {
        it(`should keep the rule when each of 53 instances is alone, for ${small.quota!.perSecond} a second`, async () => {
            // Failure: each of them rounds its small share up to a whole permit.
            await withClock(async clock => {
                const fleet = new QuotaFleet(53, [small]);
                await clock.tickAsync(lentMs);
                fleet.names.forEach((name, index) => fleet.members.get(name)!.group = index + 1);
                await clock.tickAsync(10_000);
                for (let round = 0; round < 60; round++) {
                    fleet.names.forEach(name => void fleet.call(name, "w"));
                    await clock.tickAsync(100);
                }
                await clock.tickAsync(1_000);
                keepsRule(fleet, small);
                fleet.close();
            });
        });
    }

    it("should keep the rule of a lowered limit one window after it is in force, with one instance cut off", async () => {
        await withClock(async clock => {
            const low = workspace("w", 10, 5);
            const fleet = new QuotaFleet(12, [of]);
            await clock.tickAsync(lentMs);
            await load(clock, fleet, { w: 3 * all.perSecond }, 2_000);
            const [cutOff] = fleet.granters();
            fleet.members.get(cutOff!)!.group = 1;
            const others = fleet.names.filter(name => name !== cutOff);
            fleet.configure([low], others);
            const changedAt = performance.now();
            await load(clock, fleet, { w: 3 * all.perSecond }, 10_000);
            const from = changedAt + 4_000;
            // The one that is cut off may go on with its share of the old limit.
            const ownShare = (all.perSecond * 5 + all.burst) / 12;
            expect(fleet.mostInWindow("w", from)).toSatisfy(count => count <= allowedInWindow(low) + ownShare);
            fleet.close();
        });
    });

    it("should not spend shares before the fleet is known, and name a time to return", async () => {
        await withClock(async clock => {
            const fleet = new QuotaFleet(6, [of], false);
            await load(clock, fleet, { w: 20 }, 2_000);
            expect(fleet.sent("w").length).toEqual(0);
            expect(fleet.refused().every(({ retryAfterSeconds }) => retryAfterSeconds! > 0)).toEqual(true);
            fleet.members.forEach(member => member.isSettled = true);
            await clock.tickAsync(1_000);
            const settledAt = performance.now();
            await load(clock, fleet, { w: 20 }, 2_000);
            expect(fleet.refused(settledAt).length).toEqual(0);
            fleet.close();
        });
    });

    it("should return what is not used, so that calls which end early cost nothing", async () => {
        await withClock(async clock => {
            const fleet = new QuotaFleet(6, [of]);
            await clock.tickAsync(lentMs);
            // Each call holds its permit for longer than it is valid, and takes another one.
            await load(clock, fleet, { w: all.perSecond / 1.6 }, 8_000, { prepareMs: 400 });
            expect(fleet.refused().length / fleet.outcomes.length).toSatisfy(share => share < 0.05);
            keepsRule(fleet, of);
            fleet.close();
        });
    });

    it("should keep the rule when calls hold permits and send them all at once", async () => {
        await withClock(async clock => {
            const fleet = new QuotaFleet(6, [of]);
            await clock.tickAsync(lentMs);
            const startedAt = performance.now();
            for (let elapsed = 0; elapsed < 5_000; elapsed += 10) {
                const left = 5_000 - elapsed;
                fleet.names.forEach(name => void fleet.call(name, "w", { prepareMs: left }));
                await clock.tickAsync(10);
            }
            await clock.tickAsync(6_000);
            expect(fleet.sent("w", startedAt).length).toSatisfy(count => count > 0);
            keepsRule(fleet, of);
            fleet.close();
        });
    });

    it("should finish the programs that it starts when too many start", async () => {
        // Failure: programs are refused in the middle, with their first requests served in vain.
        await withClock(async clock => {
            const fleet = new QuotaFleet(6, [workspace("w", 20, 20)]);
            await clock.tickAsync(lentMs);
            const steps = 6;
            const done: { startedAt: number; served: number; }[] = [];
            const run = async (id: string): Promise<void> => {
                const program = { startedAt: performance.now(), served: 0 };
                done.push(program);
                for (let step = 0; step < steps; step++) {
                    const name = fleet.names[(id.length * 7 + step * 5 + done.length) % 6]!;
                    let outcome = await fleet.call(name, "w", { program: id });
                    if (outcome!.status !== 200) {
                        // Callers return once, when they are told to.
                        const { retryAfterSeconds } = outcome!;
                        await new Promise(resolve => setTimeout(resolve, retryAfterSeconds! * 1_000));
                        outcome = await fleet.call(name, "w", { program: id });
                    }
                    if (outcome!.status !== 200) {
                        return;
                    }
                    program.served += 1;
                    await new Promise(resolve => setTimeout(resolve, 150));
                }
            };
            // Twice as many programs as the quota can finish.
            for (let elapsed = 0; elapsed < 30_000; elapsed += 150) {
                void run(`program-${elapsed}`);
                await clock.tickAsync(150);
            }
            await clock.tickAsync(12_000);
            const late = done.filter(({ startedAt }) => startedAt >= done[0]!.startedAt + 10_000);
            const started = late.filter(({ served }) => served > 0);
            const finished = late.filter(({ served }) => served === steps);
            expect(finished.length / started.length).toSatisfy(share => share >= 0.9);
            // 20 s of the quota finish 66 programs.
            expect(finished.length).toSatisfy(count => count >= 50);
            fleet.close();
        });
    });

    it("should send nothing without a workspace that has a quota", async () => {
        await withClock(async clock => {
            const fleet = new QuotaFleet(6, [{ ...of, quota: undefined }]);
            await clock.tickAsync(2_000);
            await fleet.call(fleet.names[0]!, "w");
            expect(fleet.traffic.size).toEqual(0);
            expect(clock.countTimers()).toEqual(0);
            fleet.configure([of]);
            await clock.tickAsync(1_000);
            expect(fleet.traffic.size > 0).toEqual(true);
            fleet.configure([]);
            await clock.tickAsync(1_000);
            fleet.traffic.clear();
            await clock.tickAsync(1_000);
            expect(fleet.traffic.size).toEqual(0);
            fleet.close();
        });
    });
});

describe("quota granter", () => {
    // Guards against callers that are told to return long after they can be served, as calls that waited before them for the bucket
    // to refill, and asked again, held several places of the queue.
    it("should count each call once among those that are served before a refused one, also if it has waited", () =>
        withClock(async clock => {
            const small = workspace("w", 5, 4);
            const granter = new QuotaGranter({
                settings,
                issuer: 1,
                regionMembers: () => 1,
                mayHoldWhole: () => true,
                borrow: () => undefined,
                onBorrowed: () => {},
            });
            granter.applyWorkspaces([{ name: "w", slot: 0, terms: small.quota! }]);
            let offer: readonly [issuer: number, until: number, leaseMs: number] | undefined;
            const renew = (asks: QuotaAsk[] = []): QuotaResponse => {
                const response = granter.handle({
                    kind: "takeQuota",
                    renewal: offer === undefined ? ["a", 1, 1] : ["a", 1, 1, ...offer],
                    asks,
                });
                offer = response.offer;
                return response;
            };
            const ask = (plain: number): QuotaAnswer => renew([["w", 0, plain, [], 0, 0]]).answers![0]!;
            for (let elapsed = 0; elapsed < 2_000; elapsed += 100) {
                renew();
                await clock.tickAsync(100);
            }
            renew();
            expect(ask(4)[0]).toEqual(4);
            await clock.tickAsync(120);
            // The next permit is there after 80 ms, for which all of these wait.
            const [granted, , firstRetryMs, , , waitMs] = ask(16);
            expect([granted, Math.round(firstRetryMs), waitMs > 0]).toEqual([0, 80, true]);
            await clock.tickAsync(waitMs);
            const [grantedLater, , retryMs, spacingMs, , furtherWaitMs] = ask(16);
            expect([grantedLater, Math.round(spacingMs), furtherWaitMs]).toEqual([1, 200, 0]);
            expect(retryMs).toSatisfy(ms => ms >= 195 && ms <= 205);
        }));
});
