/** Stored record of a completed turn, which later turns continue. */
import { Packr } from "msgpackr";

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
    readonly tail: Buffer;
    /**
     * Unix time in milliseconds until which this record and all that it refers to are kept. Undefined in records of
     * earlier versions.
     */
    readonly keptUntil: number | undefined;
}

/** The conversation that a turn continues. */
export interface Conversation {
    /** Last turn of the conversation. */
    readonly last: TurnRecord;
    /** Inputs and outputs of all turns in order. */
    readonly history: Buffer;
}

/** What a new turn adds to a conversation. */
export interface TurnContent {
    readonly id: string;
    readonly input: Buffer;
    readonly output: Buffer;
    /** Time for which the turn can be continued, in milliseconds. */
    readonly keepMs: number;
}

/**
 * Tail size from which the next turn starts a new tail. Each turn sends its whole tail to other machines, one of which may
 * be in another region, so that a long first prompt must not be sent again with each turn after it.
 */
const tailRolloverBytes = 8 * 1024;

const packr = new Packr({ useRecords: false });

/** Encodes a turn. */
export const packTurn = (turn: TurnRecord): Buffer => packr.pack(turn);

/** Decodes a turn. */
export const unpackTurn = (bytes: Buffer): TurnRecord => packr.unpack(bytes) as TurnRecord;

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
    const added = [input, output];
    const ownKeptUntil = now + recordLifetimeMs(keepMs);
    const withHistory = (history: readonly Buffer[]): TurnRecord => ({
        id,
        base: undefined,
        tail: Buffer.concat([...history, ...added]),
        keptUntil: ownKeptUntil,
    });
    if (previous === undefined) {
        return withHistory([]);
    }
    const { last, history } = previous;
    const copiesTail = last.tail.length < tailRolloverBytes;
    const isLastWhole = last.base === undefined && copiesTail;
    if (isLastWhole || !isKeptLongEnough(last.keptUntil, keepMs, now)) {
        return withHistory([history]);
    }
    return {
        id,
        base: copiesTail ? last.base : last.id,
        tail: Buffer.concat([...(copiesTail ? [last.tail] : []), ...added]),
        keptUntil: Math.min(last.keptUntil!, ownKeptUntil),
    };
};

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
