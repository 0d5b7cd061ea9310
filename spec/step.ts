/** Steps of a model. */

/** A step with the world that it leads to. */
export interface Step<W> {
    readonly name: string;
    readonly next: W;
}
