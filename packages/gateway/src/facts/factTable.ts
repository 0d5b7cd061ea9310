/** Facts that instances learn and tell each other, kept so that only what is new need be sent. */

/** Counts the changes of all fact tables of an instance. */
export class FactClock {
    sequence = 0;
    private readonly listeners = new Set<() => void>();

    /** Registers a change and returns its sequence number. */
    advance(): number {
        this.sequence += 1;
        this.listeners.forEach(listener => listener());
        return this.sequence;
    }

    /** Calls the listener after each change; returns a function that removes it. */
    subscribe(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }
}

/** A kind of fact as the exchange sees it. Times are sent as ages, because instances have no common clock. */
export interface FactSource {
    /** Returns the facts that changed after a sequence number, encoded for the wire. */
    changedSince(sequence: number): readonly unknown[];
    /** Takes facts from a peer. Must be commutative and idempotent, as they arrive in any order and more than once. */
    merge(facts: readonly unknown[]): void;
}

interface Entry<V> {
    readonly value: V;
    readonly sequence: number;
}

/** Facts of one kind by key. Beyond a maximum, the oldest expendable one is dropped, or else the oldest. */
export class FactTable<V> {
    private readonly entries = new Map<string, Entry<V>>();

    constructor(
        private readonly clock: FactClock,
        private readonly maxEntries: number,
        private readonly isExpendable: (value: V) => boolean = () => true,
    ) {}

    get(key: string): V | undefined {
        return this.entries.get(key)?.value;
    }

    get size(): number {
        return this.entries.size;
    }

    all(): [string, V][] {
        return [...this.entries].map(([key, { value }]) => [key, value]);
    }

    /** Stores a fact that peers have to learn. */
    put(key: string, value: V): void {
        this.entries.delete(key);
        this.entries.set(key, { value, sequence: this.clock.sequence + 1 });
        if (this.entries.size > this.maxEntries) {
            this.entries.delete(this.findExpendable());
        }
        this.clock.advance();
    }

    /** Replaces a fact by one that tells peers nothing new. */
    refresh(key: string, value: V): void {
        const entry = this.entries.get(key);
        if (entry !== undefined) {
            this.entries.set(key, { ...entry, value });
        }
    }

    delete(key: string): void {
        this.entries.delete(key);
    }

    private findExpendable(): string {
        for (const [key, { value }] of this.entries) {
            if (this.isExpendable(value)) {
                return key;
            }
        }
        return this.entries.keys().next().value!;
    }

    changedSince(sequence: number): [string, V][] {
        return [...this.entries].filter(([, entry]) => entry.sequence > sequence).map((
            [key, { value }],
        ) => [key, value]);
    }
}
