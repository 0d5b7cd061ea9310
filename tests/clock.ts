/** Virtual time for tests. */
import { install } from "@sinonjs/fake-timers";
import type { Clock } from "@sinonjs/fake-timers";

/** Runs a test on a clock that only the test advances. */
export const withClock = async (test: (clock: Clock) => Promise<void>): Promise<void> => {
    const clock = install({ now: 1_800_000_000_000, toNotFake: ["nextTick", "queueMicrotask"] });
    try {
        await test(clock);
    }
    finally {
        clock.uninstall();
    }
};
