/** Which machines hold the records of streams: one of each region, so that a split leaves one on each side. */
import { RendezvousTable } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { Peers } from "../peers/peers.js";

/** Machines that hold each record, in all regions together; more if there are more regions. */
const minHolders = 2;

/** Machines of a region that are asked: the lists of two instances may differ by one for some seconds. */
const askedPerRegion = 2;

interface RegionTable {
    readonly table: RendezvousTable;
    readonly machines: ReadonlyMap<string, PeerClient>;
}

/** Chooses holders by rendezvous hashing over the machines with a disk, which outlive a loss of all other instances. */
export class BuildHolders {
    private tablesVersion = -1;
    private regions: readonly RegionTable[] = [];

    constructor(private readonly peers: Pick<Peers, "version" | "journals">) {}

    /** Changes when machines come, go or start again. */
    get version(): number {
        return this.peers.version;
    }

    /** Number of machines that get each record. */
    get copies(): number {
        return this.tables().reduce((sum, { machines }) => sum + Math.min(machines.size, this.perRegion), 0);
    }

    /** The machines that get the record of a stream. */
    of(streamId: string): PeerClient[] {
        return this.select(streamId, this.perRegion);
    }

    /** The machines that are asked for it. */
    asked(streamId: string): PeerClient[] {
        return this.select(streamId, askedPerRegion);
    }

    private get perRegion(): number {
        return Math.ceil(minHolders / Math.max(1, this.tables().length));
    }

    private select(streamId: string, perRegion: number): PeerClient[] {
        return this.tables().flatMap(({ table, machines }) =>
            table.rank(streamId).slice(0, perRegion).map(name => machines.get(name)!)
        );
    }

    /** Prepared once per version of the member list. */
    private tables(): readonly RegionTable[] {
        const { version, journals } = this.peers;
        if (this.tablesVersion !== version) {
            this.tablesVersion = version;
            const regions = [...new Set(journals.map(({ address }) => address.region))];
            this.regions = regions.map(region => {
                const machines = journals.filter(({ address }) => address.region === region);
                return {
                    table: new RendezvousTable(machines.map(({ name }) => name)),
                    machines: new Map(machines.map(machine => [machine.name, machine])),
                };
            });
        }
        return this.regions;
    }
}
