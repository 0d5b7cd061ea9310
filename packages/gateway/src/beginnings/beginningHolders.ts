/** Which machines hold the beginnings of streams: as many of the region as hold a turn. */
import { JournalRanking } from "../journal/journalRanking.js";
import type { PeerClient } from "../peers/peerClient.js";
import type { Peers } from "../peers/peers.js";

/** Machines that are asked in each region beyond the copies: some that were to hold one may not have taken it. */
const askedBeyondCopies = 2;

/** Chooses holders among the machines with a disk, which outlive a loss of all other instances. */
export class BeginningHolders {
    private readonly ranking: JournalRanking;

    /**
     * @param region Region whose machines get the beginnings; others do if it has too few.
     * @param copies Machines that hold each of them.
     */
    constructor(
        peers: Pick<Peers, "version" | "journals">,
        private readonly region: string,
        readonly copies: number,
    ) {
        this.ranking = new JournalRanking(peers);
    }

    /** Whether there is any machine that could hold a beginning. */
    get exist(): boolean {
        return this.ranking.regions().length > 0;
    }

    /** The machines that may hold what a call passes on, most responsible first. */
    ranked(callId: string): PeerClient[] {
        const regions = this.ranking.regions();
        const own = regions.filter(({ region }) => region === this.region);
        const others = regions.filter(({ region }) => region !== this.region);
        return [...own, ...others].flatMap(region => region.rank(callId));
    }

    /** The machines of all regions that are asked for it: the call may have passed it on in any of them. */
    asked(callId: string): PeerClient[] {
        return this.ranking.regions().flatMap(region => region.rank(callId).slice(0, this.copies + askedBeyondCopies));
    }
}
