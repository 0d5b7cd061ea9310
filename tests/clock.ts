/** Fake timers for tests. */
import { install } from "@sinonjs/fake-timers";
import type { Clock } from "@sinonjs/fake-timers";

/** Runs a test with a fake clock that only the test advances; `nextTick` and `queueMicrotask` are not faked. */
export const withClock = async (test: (clock: Clock) => Promise<void>): Promise<void> => {
    const clock = install({ now: 1_800_000_000_000, toNotFake: ["nextTick", "queueMicrotask"] });
    try {
        await test(clock);
    }
    finally {
        clock.uninstall();
    }
};
