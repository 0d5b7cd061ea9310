/** Remembers which upstream served the last call about an object. */
import { RendezvousTable } from "@marigolddrift/common";

/** Number of objects that are remembered; of others, the same upstream follows from the hash on each instance. */
const maxKeys = 10_000;

/**
 * Upstreams by affinity key. Calls about an object that this instance has not seen go to an upstream that all instances of the region
 * choose alike, by rendezvous hashing.
 *
 * @example
 * const upstream = table.preferred("tools north cart-17", usableIds, nearIds);
 * table.onServed("tools north cart-17", upstream);
 */
export class AffinityTable {
    /** In the order of the last use. */
    private readonly servedBy = new Map<string, string>();
    private hashTable = new RendezvousTable([]);

    /**
     * Returns the upstream for a call about an object.
     *
     * @param usable Ids of the upstreams that can be used.
     * @param near Those of the own region.
     */
    preferred(key: string, usable: readonly string[], near: readonly string[]): string | undefined {
        const last = this.servedBy.get(key);
        if (last !== undefined && usable.includes(last)) {
            return last;
        }
        return this.hashTableOf(near.length > 0 ? near : usable).first(key);
    }

    /** Records the upstream that has served a call. */
    onServed(key: string, upstream: string): void {
        this.servedBy.delete(key);
        this.servedBy.set(key, upstream);
        if (this.servedBy.size > maxKeys) {
            this.servedBy.delete(this.servedBy.keys().next().value!);
        }
    }

    private hashTableOf(names: readonly string[]): RendezvousTable {
        const sorted = [...names].sort();
        const known = this.hashTable.names;
        if (known.length !== sorted.length || known.some((name, index) => name !== sorted[index])) {
            this.hashTable = new RendezvousTable(sorted);
        }
        return this.hashTable;
    }
}
