/** Stored record of a completed turn, which later turns continue. */
import { Packr } from "msgpackr";

import { ChunkedBytes } from "../memory/chunkedBytes.js";

/**
 * Immutable once written. The conversation up to and including this turn is that of `base`, if set, followed by `tail`:
 * a short conversation is read with one call, and a long one is not rewritten with each turn.
 */
export interface TurnRecord {
    /** Id of the attempt that generated the turn. */
    readonly id: string;
    /** Id of the turn whose conversation precedes `tail`. */
    readonly base: string | undefined;
    /** Inputs and outputs of the turns after the base, including this one; each event's data ends with a line feed. */
    readonly tail: ChunkedBytes;
    /**
     * Unix time in milliseconds until which this record and all that it refers to are kept. Undefined in records of
     * earlier versions.
     */
    readonly keptUntil: number | undefined;
    /** Size of the conversation up to and including this turn. Undefined in records of earlier versions. */
    readonly conversationBytes: number | undefined;
}

/** What is needed of the last turn of a conversation to continue it. */
export interface LastTurn extends Omit<TurnRecord, "tail"> {
    /** The tail, if it is so short that the next turn copies it. */
    readonly copiedTail: ChunkedBytes | undefined;
}

/** The conversation that a turn continues. */
export interface Conversation {
    /** Last turn of the conversation. */
    readonly last: LastTurn;
    /** Inputs and outputs of all turns in order. */
    readonly history: ChunkedBytes;
    /** Size of the history. */
    readonly bytes: number;
}

/** What a new turn adds to a conversation. */
export interface TurnContent {
    readonly id: string;
    readonly input: Buffer | ChunkedBytes;
    readonly output: Buffer | ChunkedBytes;
    /** Time for which the turn can be continued, in milliseconds. */
    readonly keepMs: number;
}

/**
 * Tail size from which the next turn starts a new tail. Each turn sends its whole tail to other machines, one of which may
 * be in another region, so that a long first prompt must not be sent again with each turn after it.
 */
const tailRolloverBytes = 8 * 1024;

/** Size up to which a tail is copied into one buffer: many small ones would need more memory than the copy. */
const joinedBytes = 64 * 1024;

const packr = new Packr({ useRecords: false });

/** A record as it is encoded. */
type StoredTurn = Omit<TurnRecord, "tail"> & { readonly tail: Buffer; };

/** Encodes a turn. */
export const packTurn = (turn: TurnRecord): Buffer =>
    packr.pack({ ...turn, tail: turn.tail.toBuffer() } satisfies StoredTurn);

/** Decodes a turn. */
export const unpackTurn = (bytes: Buffer): TurnRecord => {
    const stored = packr.unpack(bytes) as StoredTurn;
    return { ...stored, tail: ChunkedBytes.of(stored.tail) };
};

/** Returns what is needed to continue the conversation that ends with a turn. */
export const lastTurnOf = ({ tail, ...last }: TurnRecord): LastTurn => ({
    ...last,
    copiedTail: tail.length < tailRolloverBytes ? tail : undefined,
});

/** Difference between the clocks of two machines that is allowed for. */
export const clockToleranceMs = 10_000;

/** Time in which later turns may refer to a record; after it they hold the whole conversation. */
const referenceWindowMs = 20_000;

/**
 * Time for which a record is kept, in milliseconds: as long as any turn that refers to it can be continued.
 *
 * @example
 * recordLifetimeMs(60_000) === 80_000;
 */
export const recordLifetimeMs = (keepMs: number): number => keepMs + referenceWindowMs;

/**
 * Creates the record of a turn that continues another or starts a conversation. It refers to an earlier record only if that is
 * kept for as long as the new turn can be continued; otherwise it holds the whole conversation.
 *
 * @param now Unix time in milliseconds.
 */
export const createTurn = (
    { id, input, output, keepMs }: TurnContent,
    previous: Conversation | undefined,
    now: number,
): TurnRecord => {
    const ownKeptUntil = now + recordLifetimeMs(keepMs);
    const conversationBytes = (previous?.bytes ?? 0) + input.length + output.length;
    const create = (base: string | undefined, earlier: ChunkedBytes, keptUntil = ownKeptUntil): TurnRecord => ({
        id,
        base,
        tail: compact(ChunkedBytes.of(earlier, input, output)),
        keptUntil: Math.min(keptUntil, ownKeptUntil),
        conversationBytes,
    });
    if (previous === undefined) {
        return create(undefined, ChunkedBytes.empty);
    }
    if (needsHistory(previous.last, keepMs, now)) {
        return create(undefined, previous.history);
    }
    const { last } = previous;
    return create(
        last.copiedTail === undefined ? last.id : last.base,
        last.copiedTail ?? ChunkedBytes.empty,
        last.keptUntil,
    );
};

/**
 * Whether the record of a turn that continues another one holds the whole conversation.
 *
 * @param now Unix time in milliseconds.
 */
export const needsHistory = (last: LastTurn, keepMs: number, now: number): boolean =>
    (last.base === undefined && last.copiedTail !== undefined) || !isKeptLongEnough(last.keptUntil, keepMs, now);

const compact = (tail: ChunkedBytes): ChunkedBytes =>
    tail.length <= joinedBytes ? ChunkedBytes.of(tail.toBuffer()) : tail;

/** A time that lies too far ahead comes from a clock that was wrong, and promises nothing. */
const isKeptLongEnough = (keptUntil: number | undefined, keepMs: number, now: number): boolean =>
    keptUntil !== undefined && keptUntil >= now + keepMs &&
    keptUntil <= now + recordLifetimeMs(keepMs) + clockToleranceMs;

/** Separates the id of a turn from the number of a part; no header, and so no id of a turn, can contain it. */
const partSeparator = "\n";

/**
 * Splits a record so that each part has at most `maxTailBytes` of the conversation. Each part refers to the one before it, and
 * the last one is the turn's own record.
 *
 * @example
 * splitTurn(turn, 256 * 1024).at(-1)!.id === turn.id;
 */
export const splitTurn = (turn: TurnRecord, maxTailBytes: number): TurnRecord[] => {
    const parts: TurnRecord[] = [];
    let { base } = turn;
    let start = 0;
    for (; turn.tail.length - start > maxTailBytes; start += maxTailBytes) {
        const id = `${turn.id}${partSeparator}${parts.length}`;
        parts.push({ ...turn, id, base, tail: turn.tail.subarray(start, start + maxTailBytes) });
        base = id;
    }
    return [...parts, { ...turn, base, tail: turn.tail.subarray(start) }];
};

/** Approximate memory usage of a record. */
export const turnMemoryBytes = (turn: TurnRecord): number => turn.tail.length + 200;
