/** Serializes slot records as MessagePack for the store. */
import { pack, unpack } from "msgpackr";
import VError from "verror";

import { maxRecordBytes, slotRecordSchema } from "./slotRecord.js";
import type { SlotRecord } from "./slotRecord.js";

/** A stored value that is not a valid slot record, or a record that exceeds the size limit. */
export class RecordError extends VError {
    constructor(detail: string, cause?: Error) {
        super({ name: "RecordError", ...(cause ? { cause } : {}) }, "%s", detail);
    }
}

/**
 * Serializes a record.
 *
 * @throws RecordError if the result exceeds `maxRecordBytes`.
 */
export const packRecord = (record: SlotRecord): Buffer => {
    const bytes = pack(record);
    if (bytes.length > maxRecordBytes) {
        throw new RecordError(
            `slot ${record.slot} needs ${bytes.length} bytes; at most ${maxRecordBytes} are stored`,
        );
    }
    return bytes;
};

/**
 * Deserializes and validates a record.
 *
 * @throws RecordError if the bytes are not a valid record.
 */
export const unpackRecord = (bytes: Uint8Array): SlotRecord => {
    let value: unknown;
    try {
        value = unpack(bytes);
    }
    catch (err) {
        throw new RecordError("stored value is not valid MessagePack", err instanceof Error ? err : undefined);
    }
    const parsed = slotRecordSchema.safeParse(value);
    if (!parsed.success) {
        throw new RecordError(`stored value is not a valid slot record: ${parsed.error.issues[0]?.message ?? ""}`);
    }
    return parsed.data;
};
