/** Remembers for some time what calls have passed on of streams, within a bound of memory. */
import type { StreamEvent, StreamPart } from "@marigolddrift/policy";
import { callOf } from "@marigolddrift/policy";

/** Events that a call has passed on since the last update of its part. */
export interface PartUpdate extends Omit<StreamPart, "events"> {
    /** Number of events of the part before those of the update. */
    readonly from: number;
    readonly events: readonly StreamEvent[];
    /** Time for which the stream can be taken up. */
    readonly keepMs: number;
}

interface HeldPart extends StreamPart {
    readonly events: StreamEvent[];
    readonly expiresAt: number;
    bytes: number;
}

/** Memory that an event needs beside its data. */
const eventOverheadBytes = 100;

/** Memory that a part needs beside its events. */
const partOverheadBytes = 400;

/**
 * Approximate memory that events need.
 *
 * @example
 * eventBytes([{ id: "0", data: "one" }]) === 103;
 */
export const eventBytes = (events: readonly StreamEvent[]): number =>
    events.reduce((sum, { data }) => sum + data.length + eventOverheadBytes, 0);

/** Parts in the order in which they were begun, which is about that in which they expire. */
export class BeginningRecords {
    private readonly parts = new Map<string, HeldPart>();
    private readonly byCall = new Map<string, Set<HeldPart>>();
    private totalBytes = 0;

    /** @param maxBytes Size beyond which the oldest parts are dropped; a stream without its part is not taken up. */
    constructor(private readonly maxBytes: number) {}

    /** Approximate size of all parts. */
    get bytes(): number {
        return this.totalBytes;
    }

    /**
     * Adds the events of an update that are not known yet.
     *
     * @returns False if events before those of the update are missing, so that the whole part is to be sent.
     * @example
     * records.add({ calls: ["c1"], inherited: 0, from: 0, events: [{ id: "0", data: "one" }], keepMs: 30_000 });
     */
    add({ calls, inherited, from, events, keepMs }: PartUpdate): boolean {
        const part = this.parts.get(callOf({ calls })) ??
            (from === 0 ? this.begin(calls, inherited, keepMs) : undefined);
        if (part === undefined || from > part.events.length) {
            return false;
        }
        const added = events.slice(part.events.length - from);
        part.events.push(...added);
        this.grow(part, eventBytes(added));
        return true;
    }

    /** The parts that a call, or one that went on from it, has passed on. */
    partsOf(callId: string): StreamPart[] {
        const now = performance.now();
        return [...this.byCall.get(callId) ?? []].filter(({ expiresAt }) => expiresAt > now).map((
            { calls, inherited, events },
        ) => ({ calls, inherited, events }));
    }

    private begin(calls: readonly string[], inherited: number, keepMs: number): HeldPart {
        const part: HeldPart = { calls, inherited, events: [], expiresAt: performance.now() + keepMs, bytes: 0 };
        this.parts.set(callOf(part), part);
        for (const call of calls) {
            const parts = this.byCall.get(call) ?? new Set();
            this.byCall.set(call, parts);
            parts.add(part);
        }
        this.grow(part, partOverheadBytes);
        return part;
    }

    private grow(part: HeldPart, bytes: number): void {
        part.bytes += bytes;
        this.totalBytes += bytes;
        const now = performance.now();
        for (const oldest of this.parts.values()) {
            if (this.totalBytes <= this.maxBytes && oldest.expiresAt > now) {
                return;
            }
            this.drop(oldest);
        }
    }

    private drop(part: HeldPart): void {
        this.parts.delete(callOf(part));
        this.totalBytes -= part.bytes;
        for (const call of part.calls) {
            const parts = this.byCall.get(call);
            parts?.delete(part);
            if (parts?.size === 0) {
                this.byCall.delete(call);
            }
        }
    }
}
