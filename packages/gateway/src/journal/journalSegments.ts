/** Deletes the segments of a journal's log from the disk once all of their turns are in the store. */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { DiskLog, SegmentId } from "./diskLog.js";

/** Counts the unflushed turns of each segment. */
export class JournalSegments {
    private readonly unflushedTurns = new Map<SegmentId, number>();

    constructor(private readonly disk: Pick<DiskLog, "removeSegment">, private readonly log: Logger) {}

    /** Registers a segment that was found on the disk. */
    register(segment: SegmentId): void {
        this.unflushedTurns.set(segment, 0);
    }

    addTurn(segment: SegmentId): void {
        this.unflushedTurns.set(segment, (this.unflushedTurns.get(segment) ?? 0) + 1);
    }

    /** Counts a turn of the segment that has been flushed. */
    removeTurn(segment: SegmentId): void {
        this.unflushedTurns.set(segment, this.unflushedTurns.get(segment)! - 1);
    }

    /** Deletes segments whose turns are all in the store. Their `flushed` entries may be lost without harm. */
    removeFlushed(): void {
        for (const [segment, count] of this.unflushedTurns) {
            if (count === 0) {
                void this.remove(segment);
            }
        }
    }

    private async remove(segment: SegmentId): Promise<void> {
        this.unflushedTurns.delete(segment);
        try {
            if (!await this.disk.removeSegment(segment)) {
                // The active segment stays registered until it is closed.
                this.unflushedTurns.set(segment, this.unflushedTurns.get(segment) ?? 0);
            }
        }
        catch (err) {
            this.log.warn("journal segment not removed", { segment, error: asError(err).message });
        }
    }
}
