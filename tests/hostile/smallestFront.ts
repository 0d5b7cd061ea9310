/** The front and the crowd of callers of a suite. */
import { afterEach, before, beforeEach } from "node:test";

import { Crowd } from "./crowd.js";
import { buildBundle, HostileFront } from "./hostileFront.js";

/** The smallest front; it has fewer descriptors than the largest crowds have connections. */
export const smallestFront = { memoryMb: 178, fds: 256 };

/** What the tests of a suite play with; new in each test. */
export interface HostileSetup {
    readonly front: HostileFront;
    readonly crowd: Crowd;
}

/**
 * Starts the smallest front before each test of the suite that calls this, and ends it with all callers after the test.
 *
 * @example
 * describe("bodies", () => {
 *     const setup = useSmallestFront();
 */
export const useSmallestFront = (): HostileSetup => {
    let front: HostileFront;
    let crowd: Crowd;
    before(buildBundle);
    beforeEach(async () => {
        front = await HostileFront.start(smallestFront);
        crowd = new Crowd(front.address);
    });
    afterEach(async () => {
        crowd.close();
        await front.close();
    });
    return {
        get front() {
            return front;
        },
        get crowd() {
            return crowd;
        },
    };
};
