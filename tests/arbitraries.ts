/** Arbitrary values for property tests. */
import * as fc from "fast-check";

/** A record that is an ordinary object, as codecs return them. */
export const plainRecord = <T>(model: { [K in keyof T]: fc.Arbitrary<T[K]>; }): fc.Arbitrary<T> =>
    fc.record(model, { noNullPrototype: true });
