/** Time that a message takes between places. */

/** Where something is, seen from an instance. */
export interface Place {
    readonly zone: string;
    readonly region: string;
}

const sameZoneRoundTripMs = 1;
const otherZoneRoundTripMs = 4;
const otherRegionRoundTripMs = 45;

/**
 * Expected latency to a place and back, in milliseconds.
 *
 * @example
 * expectedRoundTripMs({ zone: "a", region: "north" }, { zone: "b", region: "north" }); // 4
 */
export const expectedRoundTripMs = (from: Place, to: Place): number => {
    if (from.zone === to.zone) {
        return sameZoneRoundTripMs;
    }
    return from.region === to.region ? otherZoneRoundTripMs : otherRegionRoundTripMs;
};
