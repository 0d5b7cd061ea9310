import { effectiveRate, limitFromAnswer, newerLimit, takePermits } from "@marigolddrift/policy";
import type { NamedLimit, PermitBucket } from "@marigolddrift/policy";
import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";

import { plainRecord } from "../arbitraries.js";

const windowMs = 4_000;

const limits = plainRecord<NamedLimit>({
    perSecond: fc.option(fc.integer({ min: 0, max: 9 }), { nil: undefined }),
    previous: fc.constant(5),
    at: fc.integer({ min: 0, max: 9 }),
});

describe("named limits", () => {
    it("should grant no more than the limit and a quarter of a second of it in any window", () => {
        const requests = fc.array(
            plainRecord({ pauseMs: fc.integer({ min: 0, max: 900 }), count: fc.integer({ min: 1, max: 40 }) }),
            {
                minLength: 20,
                maxLength: 80,
            },
        );
        fc.assert(fc.property(fc.constantFrom(0.3, 1, 7, 240), requests, (perSecond, asked) => {
            const granted: { at: number; count: number; }[] = [];
            let bucket: PermitBucket | undefined;
            let now = 0;
            for (const { pauseMs, count } of asked) {
                now += pauseMs;
                const grant = takePermits(bucket, perSecond, count, now);
                bucket = grant.bucket;
                granted.push({ at: now, count: grant.granted });
            }
            const most = perSecond * windowMs / 1_000 + Math.max(1, perSecond / 4);
            return granted.every(({ at }) =>
                granted.filter(other => other.at >= at && other.at < at + windowMs).reduce(
                    (sum, { count }) => sum + count,
                    0,
                ) <= most + 1e-9
            );
        }));
    });

    it("should not take an answer for the end of a limit if its call was sent before the limit was named", () => {
        const known = limitFromAnswer(undefined, 7, 1_000, 1_200)!;
        expect(limitFromAnswer(known, undefined, 1_100, 1_300)).toEqual(undefined);
        expect(limitFromAnswer(known, undefined, 1_250, 1_400)).toEqual({
            perSecond: undefined,
            previous: 7,
            at: 1_400,
        });
    });

    it("should let the load come back over some seconds after a limit has ended", () => {
        const ended: NamedLimit = { perSecond: undefined, previous: 4, at: 10_000 };
        expect([10_000, 11_000, 13_000, 15_000].map(now => effectiveRate(ended, now))).toEqual([4, 8, 32, undefined]);
    });

    it("should keep asking an upstream that takes no requests, so that the end of its limit is noticed", () => {
        expect(effectiveRate({ perSecond: 0, previous: undefined, at: 0 }, 1_000)).toEqual(0.25);
    });

    it("should agree on a limit in whichever order instances learn of it", () => {
        fc.assert(fc.property(fc.array(limits, { minLength: 1, maxLength: 5 }), received => {
            const merge = (values: readonly NamedLimit[]): number | undefined =>
                values.reduce<NamedLimit | undefined>(newerLimit, undefined)?.perSecond;
            return merge(received) === merge([...received].reverse()) &&
                merge(received) === merge([...received, ...received]);
        }));
    });
});
