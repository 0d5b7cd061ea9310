/** Keeps the turns in memory that were flushed last, so that peers find them here without a call to the store. */
import type { JournaledTurn } from "../peers/peerMessages.js";

/** Size of the records above which the oldest ones are dropped. */
const maxBytes = 24 * 1024 * 1024;

/** Records of flushed turns by id, in the order in which they were flushed. */
export class FlushedTurnCache {
    private readonly records = new Map<string, Buffer>();
    private bytes = 0;

    has(id: string): boolean {
        return this.records.has(id);
    }

    get(id: string): Buffer | undefined {
        return this.records.get(id);
    }

    add({ id, record }: JournaledTurn): void {
        this.records.set(id, record);
        this.bytes += record.length;
        for (const [oldest, { length }] of this.records) {
            if (this.bytes <= maxBytes) {
                return;
            }
            this.records.delete(oldest);
            this.bytes -= length;
        }
    }
}
