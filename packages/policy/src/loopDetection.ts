/** Detects programs that repeat themselves. */

/** The tail of identical turns of one program. */
export interface LoopState {
    readonly turn: string;
    readonly repeats: number;
}

export const noLoop: LoopState = { turn: "", repeats: 0 };

/** Adds a turn, given as a digest of what was asked and answered. */
export const addTurn = (state: LoopState, turn: string): LoopState =>
    state.turn === turn ? { turn, repeats: state.repeats + 1 } : { turn, repeats: 1 };

/** Whether the program made `limit` identical turns in a row. */
export const isLooping = (state: LoopState, limit: number): boolean => state.repeats >= limit;
