/** A turn that has ended, as it is kept for the turns that continue it. */
import { Packr } from "msgpackr";

/** Immutable once written. */
export interface TurnRecord {
    /** Id of the attempt that made the turn. */
    readonly id: string;
    /** Ids of the turns before it, oldest first. */
    readonly ancestors: readonly string[];
    /** Body of the turn's request. */
    readonly input: Buffer;
    /** Data of the turn's events, each with a line feed. */
    readonly output: Buffer;
}

const packr = new Packr({ useRecords: false });

/** */
/** Encodes a turn. */
export const packTurn = (turn: TurnRecord): Buffer => packr.pack(turn);

/** */
/** Decodes a turn. */
export const unpackTurn = (bytes: Buffer): TurnRecord => packr.unpack(bytes) as TurnRecord;

/** Bytes that a record takes in memory, roughly. */
export const turnBytes = (turn: TurnRecord): number =>
    turn.input.length + turn.output.length + turn.ancestors.length * 20 + 200;
