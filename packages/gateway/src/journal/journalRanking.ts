/** Ranks the machines with disks of each region by rendezvous hashing, for what several of them are to hold. */
import { RendezvousTable } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { Peers } from "../peers/peers.js";

/** The machines with disks of one region. */
export interface RankedRegion {
    readonly region: string;
    /** Number of machines. */
    readonly size: number;
    /** The machines in the order in which they are responsible for a key. */
    rank(key: string): PeerClient[];
}

/** The rankings of all regions, prepared once per version of the member list. */
export class JournalRanking {
    private rankedVersion = -1;
    private ranked: readonly RankedRegion[] = [];

    constructor(private readonly peers: Pick<Peers, "version" | "journals">) {}

    /** Changes when machines come, go or start again. */
    get version(): number {
        return this.peers.version;
    }

    /** All regions that have machines with disks. */
    regions(): readonly RankedRegion[] {
        const { version, journals } = this.peers;
        if (this.rankedVersion !== version) {
            this.rankedVersion = version;
            const regions = [...new Set(journals.map(({ address }) => address.region))];
            this.ranked = regions.map(region =>
                rankRegion(region, journals.filter(({ address }) => address.region === region))
            );
        }
        return this.ranked;
    }
}

const rankRegion = (region: string, journals: readonly PeerClient[]): RankedRegion => {
    const table = new RendezvousTable(journals.map(({ name }) => name));
    const machines = new Map(journals.map(machine => [machine.name, machine]));
    return { region, size: machines.size, rank: key => table.rank(key).map(name => machines.get(name)!) };
};
