/**
 * Remembers when something last or first happened, by key and with bounded state. Load pattern: refused callers return while new
 * ones keep coming, and programs call again while new ones begin; both lose their place unless they are recognized.
 */

/**
 * Times by key; the keys that were set first are dropped first.
 *
 * @example
 * const refused = new RecentKeys(5_000, 60_000);
 * refused.set("north 51c0 /talk", call.firstArrivedAt);
 */
export class RecentKeys {
    private readonly times = new Map<string, number>();

    /** @param ttlMs Age of the time at which a key is forgotten. */
    constructor(private readonly maxKeys: number, private readonly ttlMs: number) {}

    get size(): number {
        return this.times.size;
    }

    /** Returns the time of a key; undefined if it is unknown or too old. */
    get(key: string, now: number): number | undefined {
        const at = this.times.get(key);
        return at === undefined || now - at > this.ttlMs ? undefined : at;
    }

    set(key: string, at: number): void {
        this.times.delete(key);
        this.times.set(key, at);
        if (this.times.size > this.maxKeys) {
            this.times.delete(this.times.keys().next().value!);
        }
    }

    delete(key: string): void {
        this.times.delete(key);
    }
}
