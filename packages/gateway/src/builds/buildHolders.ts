/** Which machines hold the records of streams: one of each region, so that a split leaves one on each side. */
import { JournalRanking } from "../journal/journalRanking.js";
import type { PeerClient } from "../peers/peerClient.js";
import type { Peers } from "../peers/peers.js";

/** Machines that hold each record, in all regions together; more if there are more regions. */
const minHolders = 2;

/** Machines of a region that are asked: the lists of two instances may differ by one for some seconds. */
const askedPerRegion = 2;

/** Chooses holders among the machines with a disk, which outlive a loss of all other instances. */
export class BuildHolders {
    private readonly ranking: JournalRanking;

    constructor(peers: Pick<Peers, "version" | "journals">) {
        this.ranking = new JournalRanking(peers);
    }

    /** Changes when machines come, go or start again. */
    get version(): number {
        return this.ranking.version;
    }

    /** Number of machines that get each record. */
    get copies(): number {
        return this.ranking.regions().reduce((sum, { size }) => sum + Math.min(size, this.perRegion), 0);
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
        return Math.ceil(minHolders / Math.max(1, this.ranking.regions().length));
    }

    private select(streamId: string, perRegion: number): PeerClient[] {
        return this.ranking.regions().flatMap(region => region.rank(streamId).slice(0, perRegion));
    }
}
