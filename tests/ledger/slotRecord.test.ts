import { ProblemError } from "@marigolddrift/common";
import {
    addIntent,
    claimSlot,
    compact,
    endProgram,
    handoverStateOf,
    lookupIntent,
    maxOutcomeBytes,
    packRecord,
    raiseReservation,
    RecordError,
    recordOutcome,
    releaseSlot,
    removeIntent,
    unpackRecord,
} from "@marigolddrift/ledger";
import type { SlotRecord } from "@marigolddrift/ledger";
import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";

import { plainRecord } from "../arbitraries.js";

const base = claimSlot(undefined, 0, "a");
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

describe("slot record", () => {
    it("should increment its epoch with each change of owner", () => {
        expect(claimSlot(releaseSlot(base), 0, "b")).toEqual({ ...base, epoch: 2, owner: "b" });
    });

    it("should report a call as new, unresolved, then concluded", () => {
        expect(lookupIntent(base, "k", "r").kind).toEqual("new");
        const intended = addIntent(base, "k", "r", 10);
        expect(lookupIntent(intended, "k", "r").kind).toEqual("unresolved");
        const done = recordOutcome(intended, "k", { status: 200, contentType: "", body: "ok" });
        expect(lookupIntent(done, "k", "r").kind).toEqual("concluded");
        expect(lookupIntent(done, "k", "other").kind).toEqual("conflict");
    });

    it("should reject a second intent for the same key", () => {
        expect(() => addIntent(addIntent(base, "k", "r", 1), "k", "r", 2)).toThrow(ProblemError);
    });

    it("should remove an intent only if it has no outcome", () => {
        const done = recordOutcome(addIntent(base, "k", "r", 1), "k", { status: 200, contentType: "" });
        expect(lookupIntent(removeIntent(done, "k"), "k", "r").kind).toEqual("concluded");
        expect(lookupIntent(removeIntent(addIntent(base, "k", "r", 1), "k"), "k", "r").kind).toEqual("new");
    });

    it("should keep an outcome without its body if the body is too large", () => {
        const body = "x".repeat(maxOutcomeBytes + 1);
        const done = recordOutcome(addIntent(base, "k", "r", 1), "k", { status: 200, contentType: "", body });
        expect(done.intents["k"]?.outcome).toEqual({ status: 200, contentType: "" });
    });

    it("should never lower a reservation, and keep a program marked as ended", () => {
        const reserved = raiseReservation(raiseReservation(base, "p", 100, 50), "p", 40, 50);
        expect(reserved.programs["p"]?.reserved).toEqual(100);
        expect(endProgram(reserved, "p", 50).programs["p"]?.ended).toEqual(true);
    });

    it("should return handover state only to the owner with the next epoch", () => {
        const handedOver = { epoch: 1, nextCall: 5, turns: 4, historyDigest: "d", historyLength: 8, historyTokens: 90 };
        const given = { ...base, programs: { p: { reserved: 9, deadline: 99, ended: false, handedOver } } };
        expect(handoverStateOf(claimSlot(given, 0, "b"), "p")?.nextCall).toEqual(5);
        expect(handoverStateOf(claimSlot(claimSlot(given, 0, "b"), 0, "c"), "p")).toEqual(undefined);
    });

    it("should remove programs past their deadline and intents past the retention period by compaction", () => {
        const record = addIntent(raiseReservation(base, "p", 10, 1_000), "k", "r", 500);
        const compacted = compact(record, 2_000, 1_000);
        expect([compacted.programs, compacted.intents]).toEqual([{}, {}]);
        expect(Object.keys(compact(record, 900, 1_000).intents)).toEqual(["k"]);
    });

    it("should be unchanged by serialization and deserialization", () => {
        fc.assert(
            fc.property(records, record => {
                expect(unpackRecord(packRecord(record))).toEqual(record);
            }),
            { seed: 1, numRuns: 100 },
        );
    });

    it("should turn malformed bytes into an error of type RecordError", () => {
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

    it("should reject a record that exceeds the store's size limit", () => {
        const intents = Object.fromEntries(
            Array.from({ length: 12_000 }, (_, index) => [`k${index}`, { request: "r".repeat(64), at: 1 }]),
        );
        expect(() => packRecord({ ...base, intents })).toThrow(RecordError);
    });
});
