/** Detects programs that repeat the same turn. */

/** The latest turn of a program and how often in a row it has occurred. */
export interface LoopState {
    readonly turn: string;
    readonly repeats: number;
}

export const initialLoopState: LoopState = { turn: "", repeats: 0 };

/** Adds a turn, identified by a digest of its request and response. */
export const addTurn = (state: LoopState, turn: string): LoopState =>
    state.turn === turn ? { turn, repeats: state.repeats + 1 } : { turn, repeats: 1 };

/** Whether the last `limit` or more turns are identical. */
export const isLooping = (state: LoopState, limit: number): boolean => state.repeats >= limit;
