import { Progress } from "@marigolddrift/common";
import { CallPermit } from "@marigolddrift/gateway";
import type { GrantedPermit, ProgramMark } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

/** Grants all permits, each valid for 250 ms. */
const createPool = () => {
    const pool = {
        requests: [] as ProgramMark[],
        returned: 0,
        request: async (program: ProgramMark): Promise<GrantedPermit> => {
            pool.requests.push(program);
            return { expiresAt: performance.now() + 250, granter: "a" };
        },
        giveBack: () => {
            pool.returned += 1;
        },
    };
    return pool;
};

describe("permit of a call", () => {
    it("should use a permit again for the next attempt if the upstream did not run the call", async () => {
        await withClock(async () => {
            const pool = createPool();
            const progress = new Progress(5_000);
            const permit = new CallPermit(pool, 7);
            const taken = await permit.take(progress);
            taken.refund();
            await permit.take(progress);
            permit.release();
            expect([pool.requests, pool.returned]).toEqual([[7], 0]);
            progress.dispose();
        });
    });

    it("should take a permit for each attempt that runs", async () => {
        await withClock(async () => {
            const pool = createPool();
            const progress = new Progress(5_000);
            const permit = new CallPermit(pool, 7);
            await permit.take(progress);
            await permit.take(progress);
            permit.release();
            expect([pool.requests.length, pool.returned]).toEqual([2, 0]);
            progress.dispose();
        });
    });

    it("should take two permits for two copies of a call that are sent at once, and return only that of the refused one", async () => {
        await withClock(async () => {
            const pool = createPool();
            const progress = new Progress(5_000);
            const permit = new CallPermit(pool, 7);
            const [first] = await Promise.all([permit.take(progress), permit.take(progress)]);
            permit.release();
            first.refund();
            expect([pool.requests.length, pool.returned]).toEqual([2, 1]);
            progress.dispose();
        });
    });

    it("should not send with a permit that has expired, but return it and take another one", async () => {
        await withClock(async clock => {
            const pool = createPool();
            const progress = new Progress(5_000);
            const permit = new CallPermit(pool, undefined);
            await permit.admitted(progress);
            await clock.tickAsync(300);
            await permit.take(progress);
            permit.release();
            expect([pool.requests.length, pool.returned]).toEqual([2, 1]);
            progress.dispose();
        });
    });

    it("should return a permit that arrives after the call has ended, and one that is refunded then", async () => {
        await withClock(async clock => {
            const pool = createPool();
            const progress = new Progress(5_000);
            new CallPermit(pool, undefined).release();
            const permit = new CallPermit(pool, undefined);
            const taken = await permit.take(progress);
            permit.release();
            taken.refund();
            await clock.tickAsync(10);
            expect(pool.returned).toEqual(2);
            progress.dispose();
        });
    });
});
