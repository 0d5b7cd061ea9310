import { ProblemError } from "@marigolddrift/common";
import {
    compact,
    conclude,
    endProgram,
    handedOverOf,
    handOver,
    intend,
    lookupIntent,
    maxOutcomeBytes,
    packRecord,
    RecordError,
    reserve,
    takeOver,
    unpackRecord,
    withdraw,
} from "@marigolddrift/ledger";
import type { SlotRecord } from "@marigolddrift/ledger";
import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";

import { plainRecord } from "../arbitraries.js";

const base = takeOver(undefined, 0, "a");
const name = fc.string({ minLength: 1, maxLength: 12 }).filter(text => text !== "__proto__");
const records: fc.Arbitrary<SlotRecord> = plainRecord({
    slot: fc.nat(4096),
    epoch: fc.integer({ min: 1, max: 1e6 }),
    owner: fc.string(),
    nonce: fc.string(),
    programs: fc.dictionary(name, plainRecord({ reserved: fc.nat(), deadline: fc.nat(), ended: fc.boolean() }), {
        noNullPrototype: true,
    }),
    intents: fc.dictionary(
        name,
        plainRecord({
            request: fc.string(),
            at: fc.nat(),
            outcome: plainRecord({ status: fc.nat(599), contentType: fc.string() }),
        }),
        { noNullPrototype: true },
    ),
});

describe("a slot record", () => {
    it("should raise its epoch with each owner", () => {
        expect(takeOver(handOver(base), 0, "b")).toEqual({ ...base, epoch: 2, owner: "b" });
    });

    it("should show a call as new, unresolved, then concluded", () => {
        expect(lookupIntent(base, "k", "r").kind).toEqual("new");
        const intended = intend(base, "k", "r", 10);
        expect(lookupIntent(intended, "k", "r").kind).toEqual("unresolved");
        const done = conclude(intended, "k", { status: 200, contentType: "", body: "ok" });
        expect(lookupIntent(done, "k", "r").kind).toEqual("concluded");
        expect(lookupIntent(done, "k", "other").kind).toEqual("conflict");
    });

    it("should refuse a second intent for the same key", () => {
        expect(() => intend(intend(base, "k", "r", 1), "k", "r", 2)).toThrow(ProblemError);
    });

    it("should not withdraw an intent that has an outcome", () => {
        const done = conclude(intend(base, "k", "r", 1), "k", { status: 200, contentType: "" });
        expect(lookupIntent(withdraw(done, "k"), "k", "r").kind).toEqual("concluded");
        expect(lookupIntent(withdraw(intend(base, "k", "r", 1), "k"), "k", "r").kind).toEqual("new");
    });

    it("should keep the outcome but not a body that is too large", () => {
        const body = "x".repeat(maxOutcomeBytes + 1);
        const done = conclude(intend(base, "k", "r", 1), "k", { status: 200, contentType: "", body });
        expect(done.intents["k"]?.outcome).toEqual({ status: 200, contentType: "" });
    });

    it("should never lower a reservation, and remember that a program ended", () => {
        const reserved = reserve(reserve(base, "p", 100, 50), "p", 40, 50);
        expect(reserved.programs["p"]?.reserved).toEqual(100);
        expect(endProgram(reserved, "p", 50).programs["p"]?.ended).toEqual(true);
    });

    it("should give what was handed over to the direct successor only", () => {
        const handedOver = { epoch: 1, nextCall: 5, turns: 4, historyDigest: "d", historyLength: 8, historyTokens: 90 };
        const given = { ...base, programs: { p: { reserved: 9, deadline: 99, ended: false, handedOver } } };
        expect(handedOverOf(takeOver(given, 0, "b"), "p")?.nextCall).toEqual(5);
        expect(handedOverOf(takeOver(takeOver(given, 0, "b"), 0, "c"), "p")).toEqual(undefined);
    });

    it("should forget programs past their deadline and intents past the retention", () => {
        const record = intend(reserve(base, "p", 10, 1_000), "k", "r", 500);
        const compacted = compact(record, 2_000, 1_000);
        expect([compacted.programs, compacted.intents]).toEqual([{}, {}]);
        expect(Object.keys(compact(record, 900, 1_000).intents)).toEqual(["k"]);
    });

    it("should survive packing", () => {
        fc.assert(
            fc.property(records, record => {
                expect(unpackRecord(packRecord(record))).toEqual(record);
            }),
            { seed: 1, numRuns: 100 },
        );
    });

    it("should turn malformed bytes into a typed error", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
                try {
                    unpackRecord(bytes);
                }
                catch (err) {
                    expect(err).toBeA(RecordError);
                }
            }),
            { seed: 2, numRuns: 500 },
        );
    });

    it("should refuse to grow beyond what the store takes", () => {
        const intents = Object.fromEntries(
            Array.from({ length: 12_000 }, (_, index) => [`k${index}`, { request: "r".repeat(64), at: 1 }]),
        );
        expect(() => packRecord({ ...base, intents })).toThrow(RecordError);
    });
});
