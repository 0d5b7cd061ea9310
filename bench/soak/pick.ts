/** Draws from what a soak may choose among. */

/**
 * Returns one of the items, of which there must be one at least.
 *
 * @param random Returns numbers in [0, 1).
 * @example
 * pick(["a", "b"], () => 0.5) === "b";
 */
export const pick = <T>(items: readonly T[], random: () => number): T => items[Math.floor(random() * items.length)]!;
