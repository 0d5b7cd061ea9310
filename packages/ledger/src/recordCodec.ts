/** Packs slot records for the store. */
import { pack, unpack } from "msgpackr";
import VError from "verror";

import { maxRecordBytes, slotRecordSchema } from "./slotRecord.js";
import type { SlotRecord } from "./slotRecord.js";

/** A stored value that is not a slot record, or a record that has grown beyond the store's limit. */
export class RecordError extends VError {
    constructor(detail: string, cause?: Error) {
        super({ name: "RecordError", ...(cause ? { cause } : {}) }, "%s", detail);
    }
}

/**
 * Packs a record.
 *
 * @throws RecordError if it exceeds `maxRecordBytes`.
 */
export const packRecord = (record: SlotRecord): Buffer => {
    const bytes = pack(record);
    if (bytes.length > maxRecordBytes) {
        throw new RecordError(`slot ${record.slot} needs ${bytes.length} bytes; at most ${maxRecordBytes} are stored`);
    }
    return bytes;
};

/**
 * Unpacks a record and checks it.
 *
 * @throws RecordError if the bytes are not a record.
 */
export const unpackRecord = (bytes: Uint8Array): SlotRecord => {
    let value: unknown;
    try {
        value = unpack(bytes);
    }
    catch (err) {
        throw new RecordError("the stored value cannot be unpacked", err instanceof Error ? err : undefined);
    }
    const parsed = slotRecordSchema.safeParse(value);
    if (!parsed.success) {
        throw new RecordError(`the stored value is not a slot record: ${parsed.error.issues[0]?.message ?? ""}`);
    }
    return parsed.data;
};
