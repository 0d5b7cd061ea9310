/**
 * Finds out what a caller has of a stream that it takes up. Load pattern: a stream breaks off at a worker or at an instance, and goes on at
 * another instance, of which the caller says only which event was the last one that it has; the instance before may have passed on more.
 */

/** A whole event of a stream. */
export interface StreamEvent {
    /** Undefined if the event has none. */
    readonly id: string | undefined;
    readonly data: string;
}

/** What a call has passed on of a stream, after what its caller had from the calls before. */
export interface StreamPart {
    /** Ids of the calls that passed the stream on, one after the other. The last one passed on what follows the inherited events. */
    readonly calls: readonly string[];
    /** Number of events that the caller had when the last call began. */
    readonly inherited: number;
    /** All events from the first one on. */
    readonly events: readonly StreamEvent[];
}

/** What is known of the events that a caller has. */
export type BeginningResult =
    | { readonly kind: "known"; readonly beginning: StreamPart; }
    /** No part has the caller's last event, or only parts from which another call has gone on before it. */
    | { readonly kind: "unknown"; }
    /** Parts differ, as after two take-ups at once. */
    | { readonly kind: "ambiguous"; };

/** The call that passed on the last events of a part. */
export const callOf = ({ calls }: Pick<StreamPart, "calls">): string => calls.at(-1)!;

const indexOf = ({ events }: StreamPart, eventId: string): number => events.findLastIndex(({ id }) => id === eventId);

const textOf = ({ events }: StreamPart): string => JSON.stringify(events.map(({ data }) => data));

const firstEvents = (part: StreamPart, count: number): string =>
    textOf({ ...part, events: part.events.slice(0, count) });

/** Whether a part that goes on from another one shows that the caller had other events than that part has up to an index. */
const supersedes = (part: StreamPart, earlier: StreamPart, index: number): boolean =>
    part !== earlier && part.calls.includes(callOf(earlier)) &&
    (part.inherited <= index || firstEvents(part, index + 1) !== firstEvents(earlier, index + 1));

/** Keeps the longest of several copies of a part. */
const mergeCopies = (parts: readonly StreamPart[]): StreamPart[] => {
    const longest = new Map<string, StreamPart>();
    for (const part of parts) {
        const known = longest.get(callOf(part));
        if (known === undefined || part.events.length > known.events.length) {
            longest.set(callOf(part), part);
        }
    }
    return [...longest.values()];
};

/**
 * Returns what the caller has of a stream. A call that goes on with it shows that the caller had nothing of the earlier call beyond the
 * inherited events, whatever that call passed on.
 *
 * @param parts All known parts, also several copies of one.
 * @param callId Id of a call that passed on a part of the stream.
 * @param lastEventId Id of the last event that the caller has.
 * @example
 * const part = { calls: ["c1"], inherited: 0, events: [{ id: "0", data: "one" }, { id: "1", data: "two" }] };
 * findBeginning([part], "c1", "0"); // known, with the first event
 */
export const findBeginning = (
    parts: readonly StreamPart[],
    callId: string,
    lastEventId: string,
): BeginningResult => {
    const family = mergeCopies(parts.filter(({ calls }) => calls.includes(callId)));
    const beginnings = new Map<string, StreamPart>();
    for (const part of family) {
        const index = indexOf(part, lastEventId);
        if (index < 0 || family.some(other => supersedes(other, part, index))) {
            continue;
        }
        const beginning = { ...part, events: part.events.slice(0, index + 1) };
        const text = textOf(beginning);
        const known = beginnings.get(text);
        // The call that passed on the last event itself: another one that has gone on from it may do so at this moment.
        if (known === undefined || part.calls.length < known.calls.length) {
            beginnings.set(text, beginning);
        }
    }
    if (beginnings.size > 1) {
        return { kind: "ambiguous" };
    }
    const [beginning] = beginnings.values();
    return beginning === undefined ? { kind: "unknown" } : { kind: "known", beginning };
};

/** Most calls that are remembered of a stream: its first one, and the latest ones. */
const maxCalls = 8;

/**
 * Returns the part of a call that goes on after a beginning.
 *
 * @example
 * continuePart(undefined, "c1"); // the part of a call that begins a stream
 */
export const continuePart = (beginning: StreamPart | undefined, callId: string): StreamPart => {
    const events = beginning?.events ?? [];
    const [first, ...later] = beginning?.calls ?? [];
    const calls = first === undefined ? [callId] : [first, ...later.slice(2 - maxCalls), callId];
    return { calls, inherited: events.length, events };
};
