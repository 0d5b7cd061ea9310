/** Remembers for some time which build began each stream. */

/** What is known of the beginning of a stream. */
export interface BuildRecord {
    readonly service: string;
    /** Undefined if it was recorded with two builds, so that it is not known. */
    readonly build: string | undefined;
    readonly ageMs: number;
}

interface HeldRecord {
    readonly service: string;
    readonly build: string | undefined;
    readonly addedAt: number;
}

/** Records in the order in which they were added, which is that in which they expire. */
export class BuildRecords {
    private readonly records = new Map<string, HeldRecord>();

    /** @param maxRecords Number beyond which the oldest are dropped; a stream without a record is not taken up. */
    constructor(private readonly lifetimeMs: () => number, private readonly maxRecords: number) {}

    get size(): number {
        return this.records.size;
    }

    /**
     * Adds a record. A stream that is recorded again with another build is not known from then on.
     *
     * @example
     * records.add("9c41d07be2a35f68", "planner", "v2");
     */
    add(streamId: string, service: string, build: string | undefined): void {
        const known = this.records.get(streamId);
        if (known === undefined) {
            this.records.set(streamId, { service, build, addedAt: performance.now() });
            this.removeOldest();
        }
        else if (known.service !== service || known.build !== build) {
            this.records.set(streamId, { ...known, build: undefined });
        }
    }

    get(streamId: string): BuildRecord | undefined {
        const record = this.records.get(streamId);
        if (record === undefined) {
            return undefined;
        }
        const { service, build, addedAt } = record;
        const ageMs = performance.now() - addedAt;
        return ageMs > this.lifetimeMs() ? undefined : { service, build, ageMs };
    }

    /** Ids of the streams of a service, by build. */
    idsByBuild(service: string): Map<string | undefined, string[]> {
        this.removeOldest();
        const ids = new Map<string | undefined, string[]>();
        for (const [id, record] of this.records) {
            if (record.service === service) {
                const known = ids.get(record.build) ?? [];
                ids.set(record.build, known);
                known.push(id);
            }
        }
        return ids;
    }

    private removeOldest(): void {
        const oldestAt = performance.now() - this.lifetimeMs();
        for (const [id, { addedAt }] of this.records) {
            if (addedAt >= oldestAt && this.records.size <= this.maxRecords) {
                return;
            }
            this.records.delete(id);
        }
    }
}
