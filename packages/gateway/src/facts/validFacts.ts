/** Validation of facts that a peer has sent. */
import type { z } from "zod";

/**
 * Returns the facts that conform to a schema.
 *
 * @param onInvalid Called for each of the others.
 * @example
 * validFacts(z.object({ upstream: z.string() }), [{ upstream: "i-1" }, 7], () => log.warn("fact ignored"));
 */
export const validFacts = <T>(
    schema: z.ZodType<T>,
    facts: readonly unknown[],
    onInvalid: () => void,
): T[] =>
    facts.flatMap(fact => {
        const { success, data } = schema.safeParse(fact);
        if (!success) {
            onInvalid();
            return [];
        }
        return [data];
    });
