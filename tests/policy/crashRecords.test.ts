import {
    addCrash,
    clearCrashes,
    crashesUntilBlocked,
    findBlocked,
    isNews,
    mergeCrashRecords,
} from "@marigolddrift/policy";
import type { CrashRecord } from "@marigolddrift/policy";
import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";

import { plainRecord } from "../arbitraries.js";

const minuteMs = 60_000;

const records = plainRecord<CrashRecord>({
    crashes: fc.uniqueArray(
        plainRecord({ upstream: fc.constantFrom("u1", "u2", "u3", "u4"), at: fc.integer({ min: 0, max: 20 }) }),
        { selector: ({ upstream }) => upstream, maxLength: 4 },
    ),
    clearedAt: fc.constantFrom(-Infinity, 3, 9),
});

const crashed = (...upstreams: readonly string[]): CrashRecord | undefined =>
    upstreams.reduce<CrashRecord | undefined>((record, upstream) => addCrash(record, { upstream, at: 10 }), undefined);

const compare = (a: string, b: string): number => a.localeCompare(b);

const isBlocked = (record: CrashRecord | undefined, now: number): boolean =>
    record !== undefined && findBlocked([["call", record]], now, compare).has("call");

const sorted = ({ crashes, clearedAt }: CrashRecord): unknown => [
    [...crashes].sort((a, b) => a.upstream.localeCompare(b.upstream)),
    clearedAt,
];

describe("records of calls that end their upstreams", () => {
    it("should not block a call that three instances saw at the end of one upstream", () => {
        expect(isBlocked(crashed("u1", "u1", "u1"), 20)).toEqual(false);
        expect(isBlocked(crashed("u1", "u2", "u3"), 20)).toEqual(true);
    });

    it("should not block a call that was answered between the ends of its upstreams", () => {
        const answered = clearCrashes(crashed("u1", "u2"), 15);
        expect(isBlocked(addCrash(answered, { upstream: "u3", at: 16 }), 20)).toEqual(false);
    });

    it("should not block a call that upstreams ended with only beside a blocked one", () => {
        const deadly = crashed("u1", "u2", "u3", "u4")!;
        const beside = crashed("u1", "u2", "u3")!;
        expect([...findBlocked([["beside", beside], ["deadly", deadly]], 20, compare)]).toEqual(["deadly"]);
        const again = crashed("u1", "u2", "u3", "u5")!;
        expect([...findBlocked([["again", again], ["deadly", deadly]], 20, compare)].sort()).toEqual([
            "again",
            "deadly",
        ]);
        const another = crashed("u4", "u5", "u6", "u7")!;
        expect([...findBlocked([["another", another], ["deadly", deadly]], 20, compare)].sort()).toEqual([
            "another",
            "deadly",
        ]);
    });

    it("should let a blocked call try again after ten minutes, and block it after one more crash", () => {
        const record = crashed("u1", "u2", "u3")!;
        const later = 11 * minuteMs;
        expect(isBlocked(record, later)).toEqual(false);
        expect(isBlocked(addCrash(record, { upstream: "u4", at: later }), later)).toEqual(true);
    });

    it("should come to the same record in whichever order and however often instances tell each other", () => {
        fc.assert(fc.property(fc.array(records, { minLength: 1, maxLength: 4 }), received => {
            const merge = (values: readonly CrashRecord[]): unknown =>
                sorted(values.reduce<CrashRecord | undefined>(mergeCrashRecords, undefined)!);
            expect(merge([...received].reverse())).toEqual(merge(received));
            expect(merge([...received, ...received])).toEqual(merge(received));
        }));
    });

    it("should take what comes back from a peer for no news, although its times differ by the way", () => {
        fc.assert(fc.property(records, fc.integer({ min: 0, max: 1_000 }), (known, wayMs) => {
            const echoed = {
                crashes: known.crashes.map(({ upstream, at }) => ({ upstream, at: at + wayMs })),
                clearedAt: known.clearedAt + wayMs,
            };
            const merged = mergeCrashRecords(mergeCrashRecords(undefined, known), echoed);
            return !isNews(mergeCrashRecords(undefined, known), merged);
        }));
    });

    it("should need as many crashes as the limit of retries counts from", () => {
        expect(crashesUntilBlocked).toEqual(3);
    });
});
