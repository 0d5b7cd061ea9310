/** Hash functions for digests and slot assignment. */
import { createHash } from "node:crypto";

const digestBytes = 16;

/** Hashes the parts into a 128-bit hexadecimal digest; lengths are included, so that the parts are unambiguous. */
export const digest = (...parts: readonly string[]): string => {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(`${part.length}:`);
        hash.update(part);
    }
    return hash.digest().subarray(0, digestBytes).toString("hex");
};

/** Hashes the parts into an unsigned 32-bit number. */
export const hash32 = (...parts: readonly string[]): number =>
    createHash("sha256").update(parts.join("\u0000")).digest().readUInt32BE(0);

/** Maps a key to a slot; `slotCount` must be a power of two. */
export const slotOf = (key: string, slotCount: number): number => hash32("slot", key) % slotCount;
