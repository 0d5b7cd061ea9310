import { beginWrite, onApplied, onNoReply, onReadBack, onRefused, openWriter, takeOver } from "@marigolddrift/ledger";
import type { SlotRecord, StoredRecord } from "@marigolddrift/ledger";
import { expect } from "earl";
import { describe, it } from "node:test";

const record: SlotRecord = { ...takeOver(undefined, 3, "a"), nonce: "first" };
const stored: StoredRecord = { record, revision: 7 };
const next = { ...record, epoch: 1 };

describe("a fenced write", () => {
    it("should know its revision after a reply", () => {
        const state = onApplied(beginWrite(openWriter(stored), next, "second"), 9);
        expect(state).toEqual({ kind: "idle", stored: { record: { ...next, nonce: "second" }, revision: 9 } });
    });

    it("should count as applied when the read-back shows its nonce", () => {
        const unknown = onNoReply(beginWrite(openWriter(stored), next, "second"));
        const state = onReadBack(unknown, { record: { ...next, nonce: "second" }, revision: 12 });
        expect(state.kind).toEqual("idle");
    });

    it("should be tried again when the read-back shows the former revision", () => {
        const unknown = onNoReply(beginWrite(openWriter(stored), next, "second"));
        expect(onReadBack(unknown, stored).kind).toEqual("writing");
    });

    it("should lose the slot when another owner wrote", () => {
        const other = { record: { ...takeOver(record, 3, "b"), nonce: "theirs" }, revision: 8 };
        expect(onReadBack(onNoReply(beginWrite(openWriter(stored), next, "second")), other).kind).toEqual("lost");
        expect(onRefused(beginWrite(openWriter(stored), next, "second"), other).kind).toEqual("lost");
    });

    it("should not lose the slot when a refused retry finds its own earlier attempt", () => {
        const applied = { record: { ...next, nonce: "second" }, revision: 9 };
        expect(onRefused(beginWrite(openWriter(stored), next, "second"), applied).kind).toEqual("idle");
    });
});
