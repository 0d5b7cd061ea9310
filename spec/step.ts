/** Transitions of a state-space model. */

/** A named transition and the state that it leads to. */
export interface Step<W> {
    readonly name: string;
    readonly next: W;
}
