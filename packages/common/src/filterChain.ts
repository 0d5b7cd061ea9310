/** Filter chain: each filter handles a request itself or passes it to the next one. */

/** One filter of a chain. */
export interface Filter<C> {
    /**
     * Handles the request, before or after the rest of the chain or in place of it.
     *
     * @param next Runs the rest of the chain.
     */
    handle(ctx: C, next: () => Promise<void>): Promise<void>;
}

/** Runs a request through the filters in order. */
export const runChain = async <C>(filters: readonly Filter<C>[], ctx: C): Promise<void> => {
    const run = async (index: number): Promise<void> => filters[index]?.handle(ctx, () => run(index + 1));
    await run(0);
};
