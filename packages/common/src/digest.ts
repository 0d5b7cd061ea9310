/** Hashes: history digests, slots of keys, and rendezvous ranks. */
import { createHash } from "node:crypto";

const digestBytes = 16;

/** Hashes the parts, separated unambiguously, into a short hexadecimal digest. */
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

/** Slot of a key; `slotCount` is a power of two. */
export const slotOf = (key: string, slotCount: number): number => hash32("slot", key) % slotCount;

/**
 * Orders candidates by rendezvous hashing: each key has its own order, and removing one candidate moves only its keys.
 *
 * @example
 * const [owner] = rendezvous("slot-17", ["a", "b", "c"]);
 */
export const rendezvous = (key: string, candidates: readonly string[]): string[] =>
    candidates
        .map(name => ({ name, rank: hash32(key, name) }))
        .sort((a, b) => b.rank - a.rank || a.name.localeCompare(b.name))
        .map(entry => entry.name);
