import { delay } from "@marigolddrift/common";
import type { Clock } from "@sinonjs/fake-timers";
import { expect } from "earl";
import { describe, it } from "node:test";

import { Disturbances } from "../../bench/soak/disturbances.js";
import { RecoveryWatch } from "../../bench/soak/recoveryWatch.js";
import { withClock } from "../clock.js";

/** One machine that is ready, or not, as the test says. */
class WatchedMachine {
    readonly machines = [{ name: "front-1", role: "front", zone: "north-a", ip: "127.0.0.1" }] as const;
    readonly restarts = new Disturbances();
    readonly disturbances = new Disturbances();
    readonly violations: string[] = [];
    isReady = true;
    hasEnded = false;

    hasEndedByItself(): boolean {
        return this.hasEnded;
    }

    async isServing(): Promise<boolean> {
        return this.isReady;
    }
}

const watch = (test: (machine: WatchedMachine, clock: Clock) => Promise<void>): Promise<void> =>
    withClock(async clock => {
        const machine = new WatchedMachine();
        const recovery = new RecoveryWatch(machine, machine);
        const ended = recovery.run();
        await clock.tickAsync(1_000);
        await test(machine, clock);
        recovery.stop();
        await clock.tickAsync(1_000);
        await ended;
    });

describe("watch of the recovery of machines in a soak", () => {
    // Guards against a soak that passes although a process runs and never serves.
    it("should report a machine once that is not ready in time after a restart", () =>
        watch(async (machine, clock) => {
            void machine.restarts.during(["front-1"], () => delay(3_000));
            machine.isReady = false;
            await clock.tickAsync(14_500);
            expect(machine.violations).toEqual([]);
            await clock.tickAsync(30_000);
            expect(machine.violations).toEqual(["front-1 was not ready 12 s after its last disturbance"]);
        }));

    // Guards against a bound that goes on while the store, without which no machine starts, is away.
    it("should count the time from the last disturbance of the machine or the store", () =>
        watch(async (machine, clock) => {
            machine.isReady = false;
            await clock.tickAsync(10_000);
            void machine.disturbances.during(["store"], () => delay(50));
            await clock.tickAsync(11_000);
            void machine.disturbances.during(["front-2"], () => delay(50));
            expect(machine.violations).toEqual([]);
            await clock.tickAsync(2_000);
            expect(machine.violations.length).toEqual(1);
        }));

    it("should not wait for a process that ended by itself, which is reported as such", () =>
        watch(async (machine, clock) => {
            machine.isReady = false;
            machine.hasEnded = true;
            await clock.tickAsync(60_000);
            expect(machine.violations).toEqual([]);
        }));

    // Guards against runs that end before a machine that never comes back is late.
    it("should settle only once a machine is ready or late", () =>
        watch(async (machine, clock) => {
            machine.isReady = false;
            let isSettled = false;
            const recovery = new RecoveryWatch(machine, machine);
            void recovery.settled().then(() => isSettled = true);
            await clock.tickAsync(11_000);
            expect(isSettled).toEqual(false);
            await clock.tickAsync(2_000);
            expect(isSettled).toEqual(true);
        }));
});
