/** A turn that has ended, as it is kept for the turns that continue it. */
import { Packr } from "msgpackr";

/**
 * Immutable once written. The conversation up to and with the turn is that of `base`, if there is one, and then `tail`:
 * short conversations are read with one call, and long ones are not written again with each turn.
 */
export interface TurnRecord {
    /** Id of the attempt that made the turn. */
    readonly id: string;
    /** The turn whose conversation comes first. */
    readonly base: string | undefined;
    /** Inputs and outputs of the turns after the base, with this one; each event's data ends with a line feed. */
    readonly tail: Buffer;
}

/** Size of a tail from which on the next turn begins a new one, in bytes. */
const maxTailBytes = 32 * 1024;

const packr = new Packr({ useRecords: false });

/** Encodes a turn. */
export const packTurn = (turn: TurnRecord): Buffer => packr.pack(turn);

/** Decodes a turn. */
export const unpackTurn = (bytes: Buffer): TurnRecord => packr.unpack(bytes) as TurnRecord;

/** The record of a turn that continues another, or begins a conversation. */
export const createTurn = (id: string, previous: TurnRecord | undefined, input: Buffer, output: Buffer): TurnRecord => {
    const added = [input, output];
    if (previous === undefined) {
        return { id, base: undefined, tail: Buffer.concat(added) };
    }
    return previous.tail.length < maxTailBytes ?
        { id, base: previous.base, tail: Buffer.concat([previous.tail, ...added]) } :
        { id, base: previous.id, tail: Buffer.concat(added) };
};

/** Bytes that a record takes in memory, roughly. */
export const turnBytes = (turn: TurnRecord): number => turn.tail.length + 200;
