/** Decides which holder of a turn writes it to the store first. */

/** Round trip to the store below which this machine counts as near: above one between zones, below one between regions. */
const nearStoreMs = 20;

/** Position of a holder that is far from the store, behind a holder in another region. */
const farPosition = 1;

/**
 * Orders the holders of a turn by their distance to the store, so that a turn crosses the link between regions only once:
 * the holder on the store's side writes it. Each machine decides by its own calls to the store; if two machines decide
 * alike, a turn is only written twice, or a little later.
 *
 * @example
 * const order = new FlushOrder("north", holder => regionOfHolder(holder), () => store.fastestMs);
 * order.positionOf({ copy: 1, holders: ["10.2.0.4:7380", "10.1.0.4:7380"] });
 */
export class FlushOrder {
    /**
     * @param regionOf Returns the region of a holder; undefined for a new machine that is not known yet.
     * @param storeMs Returns the round trip to the store; undefined if it is not known.
     */
    constructor(
        private readonly region: string,
        private readonly regionOf: (holder: string) => string | undefined,
        private readonly storeMs: () => number | undefined,
    ) {}

    /** Position of this machine among the holders of a turn; the first one writes the turn to the store. */
    positionOf({ copy, holders }: { readonly copy: number; readonly holders: readonly string[]; }): number {
        const regions = holders.map(holder => this.regionOf(holder));
        const storeMs = this.storeMs();
        if (storeMs === undefined || regions.every(region => region === this.region)) {
            return copy;
        }
        if (storeMs >= nearStoreMs) {
            return Math.max(copy, farPosition);
        }
        const nearHoldersBefore = regions.slice(0, copy).filter(region => region === this.region);
        return nearHoldersBefore.length;
    }
}
