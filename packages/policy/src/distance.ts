/** Estimates network round-trip times from availability zones and regions. */

/** Availability zone and region of an instance or upstream. */
export interface Location {
    readonly zone: string;
    readonly region: string;
}

const sameZoneRoundTripMs = 1;
const otherZoneRoundTripMs = 4;
const otherRegionRoundTripMs = 45;

/**
 * Expected network round-trip time between two locations.
 *
 * @example
 * expectedRoundTripMs({ zone: "a", region: "north" }, { zone: "b", region: "north" }); // 4
 */
export const expectedRoundTripMs = (from: Location, to: Location): number => {
    if (from.zone === to.zone) {
        return sameZoneRoundTripMs;
    }
    return from.region === to.region ? otherZoneRoundTripMs : otherRegionRoundTripMs;
};
