/** A chain of filters, each of which handles a request or passes it on. */

/** One step of a chain. */
export interface Filter<C> {
    /**
     * Handles the request.
     *
     * @param next Runs the rest of the chain.
     */
    handle(ctx: C, next: () => Promise<void>): Promise<void>;
}

/** Runs the filters in order. */
export const runChain = async <C>(filters: readonly Filter<C>[], ctx: C): Promise<void> => {
    const run = async (index: number): Promise<void> => filters[index]?.handle(ctx, () => run(index + 1));
    await run(0);
};
