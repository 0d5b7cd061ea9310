/** fast-check arbitraries shared by property tests. */
import * as fc from "fast-check";

/** Records with the ordinary object prototype, so that they compare equal to decoded values. */
export const plainRecord = <T>(model: { [K in keyof T]: fc.Arbitrary<T[K]>; }): fc.Arbitrary<T> =>
    fc.record(model, { noNullPrototype: true });
