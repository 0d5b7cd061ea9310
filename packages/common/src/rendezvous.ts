/** Rendezvous hashing: assigns keys to names without coordination. */
import murmurhash from "murmurhash";

interface Candidate {
    readonly name: string;
    readonly bytes: Uint8Array;
}

const encoder = new TextEncoder();

/**
 * Assigns keys to a fixed set of names. The assignment depends only on the key and the names, and removing a name reassigns
 * only its own keys. Names are encoded once, so that a table is to be kept for as long as its names are the same.
 *
 * @example
 * const table = new RendezvousTable(["a", "b", "c"]);
 * const owner = table.first("slot-17");
 */
export class RendezvousTable {
    readonly names: readonly string[];
    private readonly candidates: readonly Candidate[];

    constructor(names: readonly string[]) {
        this.names = [...new Set(names)].sort();
        this.candidates = this.names.map(name => ({ name, bytes: encoder.encode(name) }));
    }

    /** Returns the first name for a key among those that are eligible; undefined if there is none. */
    first(key: string, isEligible: (name: string) => boolean = () => true): string | undefined {
        const seed = murmurhash.v3(key);
        let best: string | undefined;
        let bestRank = -1;
        for (const { name, bytes } of this.candidates) {
            const rank = murmurhash.v3(bytes, seed);
            if (rank > bestRank && isEligible(name)) {
                best = name;
                bestRank = rank;
            }
        }
        return best;
    }

    /** Returns all names, in the order in which they are responsible for a key. */
    rank(key: string): string[] {
        const seed = murmurhash.v3(key);
        return this.candidates
            .map(({ name, bytes }) => ({ name, rank: murmurhash.v3(bytes, seed) }))
            .sort((a, b) => b.rank - a.rank)
            .map(({ name }) => name);
    }
}

/**
 * Orders candidates by rendezvous hashing, for names that are not used again.
 *
 * @example
 * const [owner] = rendezvous("slot-17", ["a", "b", "c"]);
 */
export const rendezvous = (key: string, candidates: readonly string[]): string[] =>
    new RendezvousTable(candidates).rank(key);
