/** The peers of an instance that serves callers. */
import type { VersionedStore } from "@marigolddrift/store";

import type { Duties } from "../fleet/duties.js";
import type { GatewayOptions } from "../gatewayOptions.js";
import { peerName } from "./peerMessages.js";
import { Peers } from "./peers.js";

/** Duty of removing members that are gone for good. */
const removalDuty = "member removal";

/** What is known only once the gateway is put together or has started. */
export interface GatewayPeersSources {
    readonly store: VersionedStore;
    readonly peerPort: () => number;
    readonly duties: () => Duties;
}

/** Creates the peers; they must be started. */
export const createGatewayPeers = (
    options: GatewayOptions,
    { store, peerPort, duties }: GatewayPeersSources,
): Peers => {
    const { instance, zone, regionOf, host, machine, layout, log, recordTraffic } = options;
    const region = regionOf(zone);
    const localAddress = () => ({ instance, host, zone, region, port: peerPort(), keepsTurns: false });
    // Until an instance reaches those that follow the store for its region, it has to read the store itself.
    const neededFronts = () =>
        [
            duties().likelyCarriers([layout.configKey, layout.upstreamsPrefix]),
            duties().partners(),
        ] as const;
    const isRemover = (): boolean => {
        const localName = peerName(localAddress());
        const isEligible = (name: string): boolean => name === localName || peers.isReachable(name);
        const [first] = duties().carriers(removalDuty, 1, isEligible);
        return first === localName;
    };
    const recognition = options.quotas && { isRemover };
    const peers = new Peers(machine, localAddress, store, log, { recordTraffic, neededFronts, recognition });
    return peers;
};
