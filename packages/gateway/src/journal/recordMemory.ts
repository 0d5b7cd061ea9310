/** Keeps the records of turns in memory that were added last, within a bound. */

/** Records by id, the oldest first; the oldest ones are dropped. */
export class RecordMemory {
    private readonly records = new Map<string, Buffer>();
    private bytes = 0;

    /** @param maxBytes Size of the records above which the oldest ones are dropped. */
    constructor(private readonly maxBytes: number) {}

    /** Size of all records. */
    get heldBytes(): number {
        return this.bytes;
    }

    has(id: string): boolean {
        return this.records.has(id);
    }

    get(id: string): Buffer | undefined {
        return this.records.get(id);
    }

    /**
     * Adds a record, or keeps the one that is there.
     *
     * @example
     * memory.add("turn-1", packTurn(turn));
     */
    add(id: string, record: Buffer): void {
        if (this.records.has(id)) {
            return;
        }
        this.records.set(id, record);
        this.bytes += record.length;
        for (const oldest of this.records.keys()) {
            if (this.bytes <= this.maxBytes) {
                return;
            }
            this.delete(oldest);
        }
    }

    delete(id: string): void {
        this.bytes -= this.records.get(id)?.length ?? 0;
        this.records.delete(id);
    }
}
