/** Loads that leave too little room, replayed with the previous order and with fair queueing. */
import { createRandom } from "@marigolddrift/workload";
import { expect } from "earl";
import { describe, it } from "node:test";

import { isServed, replay, servedShare, steadyLoad } from "./roomReplay.js";
import type { LoadCall, Outcome } from "./roomReplay.js";

const seconds = 20;
const slots = 20;
const callMs = 200;

/** Calls of `callMs` that all slots run in a second. */
const capacityPerSecond = slots * 1_000 / callMs;

const names = Array.from({ length: 20 }, (_, index) => `workspace-${index}`);

const callOf = (workspace: string, changes: Partial<LoadCall> = {}): Omit<LoadCall, "at"> => ({
    workspace,
    priority: 1,
    ms: callMs,
    limitMs: 3_000,
    isContinuation: false,
    ...changes,
});

const of = (outcomes: readonly Outcome[], workspaces: readonly string[]): Outcome[] =>
    outcomes.filter(({ call }) => workspaces.includes(call.workspace));

const startWaits = (outcomes: readonly Outcome[]): number[] =>
    outcomes.filter(isServed).map(({ call, startedAt }) => startedAt! - call.at);

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

describe("fair queueing under load", () => {
    // Guards against a workspace with 8 times its usual load taking the room of the others.
    it("should not let one workspace at 8 times its usual load affect the 19 others", () => {
        const random = createRandom(7);
        const usual = 0.9 * capacityPerSecond / names.length;
        const [hot, ...others] = names;
        const load = [
            ...others.flatMap(name => steadyLoad(random, usual, seconds, callOf(name))),
            ...steadyLoad(random, 8 * usual, seconds, callOf(hot!)),
        ];
        const before = servedShare(of(replay(load, slots, "previous"), others));
        const outcomes = replay(load, slots, "fair");
        const usualShare = servedShare(
            of(replay(load.filter(({ workspace }) => workspace !== hot), slots, "fair"), others),
        );
        // All others together need less than their share of the capacity, so each of their calls can be served.
        expect(servedShare(of(outcomes, others))).toBeGreaterThanOrEqual(0.98 * usualShare);
        expect(before).toBeLessThan(0.98 * usualShare);
        expect(servedShare(of(outcomes, [hot!]))).toBeGreaterThanOrEqual(servedShare(outcomes) / 4);
    });

    // Guards against calls of other kinds waiting behind all calls of a burst.
    it("should serve other calls through a burst of one kind of call", () => {
        const random = createRandom(8);
        const [bursting, ...others] = names;
        const steady = others.flatMap(name =>
            steadyLoad(random, 0.7 * capacityPerSecond / others.length, seconds, callOf(name))
        );
        const burst = steadyLoad(random, 2_000, 0.2, callOf(bursting!, { ms: 1_000, limitMs: 10_000 }), 5_000);
        const before = replay([...steady, ...burst], slots, "previous");
        const outcomes = replay([...steady, ...burst], slots, "fair");
        expect(servedShare(of(outcomes, others))).toBeGreaterThanOrEqual(0.98);
        // A call with a free share of the room waits for the end of a running one at most, on average half of a long one.
        const during = ({ call }: Outcome): boolean => call.at >= 5_000 && call.at < 10_000;
        expect(mean(startWaits(of(outcomes, others).filter(during)))).toBeLessThanOrEqual(500);
        expect(servedShare(of(outcomes, others))).toBeGreaterThanOrEqual(servedShare(of(before, others)));
    });

    // Guards against a lower urgency getting nothing while a higher one takes more than all of the room.
    it("should serve low priority under a flood of high priority with a quarter of the share of all or more", () => {
        for (const [lowShare, highShare] of [[0.2, 2], [1, 1.5], [0.05, 4]] as const) {
            const random = createRandom(9);
            const low = names.slice(0, 8);
            const high = names.slice(8);
            const load = [
                ...low.flatMap(name =>
                    steadyLoad(
                        random,
                        lowShare * capacityPerSecond / low.length,
                        seconds,
                        callOf(name, { priority: 6 }),
                    )
                ),
                ...high.flatMap(name =>
                    steadyLoad(
                        random,
                        highShare * capacityPerSecond / high.length,
                        seconds,
                        callOf(name, { priority: 0 }),
                    )
                ),
            ];
            const outcomes = replay(load, slots, "fair");
            const all = servedShare(outcomes);
            expect(servedShare(of(outcomes, low))).toBeGreaterThanOrEqual(all / 4);
            expect(servedShare(of(outcomes, high))).toBeGreaterThan(servedShare(of(outcomes, low)));
            names.forEach(name => expect(servedShare(of(outcomes, [name]))).toBeGreaterThanOrEqual(all / 4));
        }
    });

    // Guards against all refused callers returning at the same moment, and against new calls taking their place.
    it("should let refused callers return spread over time, and not behind newcomers", () => {
        const random = createRandom(10);
        const burst = names.flatMap(name => steadyLoad(random, 200, 0.1, callOf(name), 2_000));
        const steady = names.flatMap(name =>
            steadyLoad(random, 0.9 * capacityPerSecond / names.length, seconds, callOf(name))
        );
        const outcomes = replay([...burst, ...steady], slots, "fair");
        const times = outcomes.flatMap(({ returnedAt }) => returnedAt);
        expect(times.length).toBeGreaterThan(0);
        // The calls of the burst were refused within a tenth of a second: their callers spread over half a second or more.
        const returnsFrom = (at: number): number => times.filter(time => time >= at && time < at + 100).length;
        expect(Math.max(...times.map(returnsFrom))).toBeLessThanOrEqual(times.length / 5);
        const returned = outcomes.filter(({ returnedAt }) => returnedAt.length > 0);
        const newcomers = outcomes.filter(({ call, refusedAt }) =>
            refusedAt.length === 0 && call.at >= Math.min(...times) && call.at <= Math.max(...times)
        );
        // No new call of the same workspace that came after the return may start before it.
        const isOvertaken = ({ call, startedAt, returnedAt }: Outcome): boolean =>
            newcomers.some(newcomer =>
                newcomer.call.workspace === call.workspace && newcomer.call.at > returnedAt.at(-1)! &&
                newcomer.startedAt !== undefined && newcomer.startedAt < startedAt!
            );
        const started = returned.filter(({ startedAt }) => startedAt !== undefined);
        expect(started.length).toBeGreaterThan(100);
        expect(started.filter(isOvertaken).length).toEqual(0);
        const allNew = outcomes.filter(({ call }) => call.at >= Math.min(...times) && call.at <= Math.max(...times));
        expect(servedShare(returned)).toBeGreaterThanOrEqual(0.9 * servedShare(allNew));
    });

    // Guards against a workspace taking more of the room by longer calls, since calls are counted instead of their cost.
    it("should share the room by slot time, whatever the length of the calls", () => {
        const random = createRandom(11);
        const load = [
            ...steadyLoad(random, 0.4 * slots * 1_000 / 50, seconds, callOf("short", { ms: 50 })),
            ...steadyLoad(random, 2 * slots, seconds, callOf("long", { ms: 1_000 })),
        ];
        const before = servedShare(of(replay(load, slots, "previous"), ["short"]));
        const outcomes = replay(load, slots, "fair");
        // The short calls need 0.4 of the room, and are due half of it.
        expect(servedShare(of(outcomes, ["short"]))).toBeGreaterThanOrEqual(0.98);
        expect(servedShare(of(outcomes, ["short"]))).toBeGreaterThanOrEqual(before);
        expect(servedShare(of(outcomes, ["long"]))).toBeGreaterThanOrEqual(servedShare(outcomes) / 4);
    });

    // Guards against a workspace whose calls take longer than was expected getting more than its share.
    it("should correct the cost of calls that take four times what was expected", () => {
        const random = createRandom(12);
        const load = ["true", "wrong"].flatMap(name =>
            steadyLoad(
                random,
                2 * capacityPerSecond,
                seconds,
                callOf(name, { expectedMs: name === "wrong" ? callMs / 4 : callMs }),
            )
        );
        const outcomes = replay(load, slots, "fair");
        const slotTime = (name: string): number =>
            of(outcomes, [name]).filter(({ startedAt }) => startedAt !== undefined).length;
        expect(slotTime("wrong")).toBeLessThanOrEqual(1.1 * slotTime("true"));
    });

    // Guards against programs that stop halfway, since new ones take the room.
    it("should refuse first calls of programs before those of programs that have begun", () => {
        const random = createRandom(13);
        const load = names.flatMap(name =>
            [true, false].flatMap(isContinuation =>
                steadyLoad(random, 0.6 * capacityPerSecond / names.length, seconds, callOf(name, { isContinuation }))
            )
        );
        const outcomes = replay(load, slots, "fair");
        const begun = outcomes.filter(({ call }) => call.isContinuation);
        const first = outcomes.filter(({ call }) => !call.isContinuation);
        expect(servedShare(begun)).toBeGreaterThanOrEqual(0.98);
        expect(servedShare(first)).toBeLessThan(servedShare(begun));
    });
});
