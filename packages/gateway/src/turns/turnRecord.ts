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

/** Creates the record of a turn that continues another or starts a conversation. */
export const createTurn = (id: string, previous: TurnRecord | undefined, input: Buffer, output: Buffer): TurnRecord => {
    const added = [input, output];
    if (previous === undefined) {
        return { id, base: undefined, tail: Buffer.concat(added) };
    }
    return previous.tail.length < tailRolloverBytes ?
        { id, base: previous.base, tail: Buffer.concat([previous.tail, ...added]) } :
        { id, base: previous.id, tail: Buffer.concat(added) };
};

/** Approximate memory usage of a record. */
export const turnMemoryBytes = (turn: TurnRecord): number => turn.tail.length + 200;
