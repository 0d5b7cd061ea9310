import { beginWrite, claimSlot, onApplied, onConflict, onNoReply, onReadBack, openWriter } from "@marigolddrift/ledger";
import type { SlotRecord, StoredRecord } from "@marigolddrift/ledger";
import { expect } from "earl";
import { describe, it } from "node:test";

const record: SlotRecord = { ...claimSlot(undefined, 3, "a"), nonce: "first" };
const stored: StoredRecord = { record, revision: 7 };
const nextRecord = { ...record, epoch: 1 };

describe("fenced write", () => {
    it("should store the new revision after a reply", () => {
        const state = onApplied(beginWrite(openWriter(stored), nextRecord, "second"), 9);
        expect(state).toEqual({ kind: "idle", stored: { record: { ...nextRecord, nonce: "second" }, revision: 9 } });
    });

    it("should count as applied when the record read back has its nonce", () => {
        const unknown = onNoReply(beginWrite(openWriter(stored), nextRecord, "second"));
        const state = onReadBack(unknown, { record: { ...nextRecord, nonce: "second" }, revision: 12 });
        expect(state.kind).toEqual("idle");
    });

    it("should be retried when the record read back has the previous revision", () => {
        const unknown = onNoReply(beginWrite(openWriter(stored), nextRecord, "second"));
        expect(onReadBack(unknown, stored).kind).toEqual("writing");
    });

    it("should lose the slot when another owner has written the record", () => {
        const other = { record: { ...claimSlot(record, 3, "b"), nonce: "theirs" }, revision: 8 };
        expect(onReadBack(onNoReply(beginWrite(openWriter(stored), nextRecord, "second")), other).kind).toEqual("lost");
        expect(onConflict(beginWrite(openWriter(stored), nextRecord, "second"), other).kind).toEqual("lost");
    });

    it("should not lose the slot when a retry is refused because its own earlier attempt was applied", () => {
        const applied = { record: { ...nextRecord, nonce: "second" }, revision: 9 };
        expect(onConflict(beginWrite(openWriter(stored), nextRecord, "second"), applied).kind).toEqual("idle");
    });
});
