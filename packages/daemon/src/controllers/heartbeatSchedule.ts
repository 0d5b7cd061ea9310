/** Decides when heartbeats are sent to peers, so that their traffic stays within a limit however many peers there are. */
import type { Identity } from "../peers/identity.js";

/** Factors by which the heartbeat period to peers in other zones and regions is longer than within a zone. */
const crossZonePeriodFactor = 3;
export const crossRegionPeriodFactor = 5;

/** Limit on the heartbeat traffic that this instance sends; with more peers, the heartbeat period grows. */
const maxHeartbeatBytesPerSecond = 6_000;

/** Size of a typical heartbeat, including its frame and the loads of two workers. */
const typicalHeartbeatBytes = 115;

/** Where a peer is, by which the period of the heartbeats to it is chosen. */
interface PeerLocation {
    readonly zone: string;
    readonly region: string;
}

/** Counts the ticks of the shortest heartbeat period, and tells which peers a heartbeat is due to. */
export class HeartbeatSchedule {
    private tickCount = 0;
    /** Factor applied to all heartbeat periods to keep the traffic within {@link maxHeartbeatBytesPerSecond}. */
    private multiplier = 1;

    constructor(private readonly local: Pick<Identity, "region" | "zone">, private readonly heartbeatMs: number) {}

    /** To be called once in each period of `heartbeatMs`, with all peers. */
    tick(peers: readonly PeerLocation[]): void {
        this.tickCount += 1;
        this.multiplier = heartbeatPeriodMultiplier(peers.map(peer => this.factorOf(peer)), this.heartbeatMs);
    }

    /** Whether a heartbeat to a peer is due in this tick. */
    isDue(peer: PeerLocation): boolean {
        return this.tickCount % (this.factorOf(peer) * this.multiplier) === 0;
    }

    /** Time between two heartbeats to a peer. */
    periodMs(peer: PeerLocation): number {
        return this.heartbeatMs * this.factorOf(peer) * this.multiplier;
    }

    private factorOf({ region, zone }: PeerLocation): number {
        if (zone === this.local.zone) {
            return 1;
        }
        return region === this.local.region ? crossZonePeriodFactor : crossRegionPeriodFactor;
    }
}

/**
 * Factor by which heartbeat periods must grow to keep the traffic within {@link maxHeartbeatBytesPerSecond}.
 *
 * @param factors Heartbeat period of each peer, as a multiple of `heartbeatMs`.
 * @example
 * heartbeatPeriodMultiplier([1, 1, 5], 1_000) === 1;
 */
export const heartbeatPeriodMultiplier = (factors: readonly number[], heartbeatMs: number): number => {
    const perSecond = factors.reduce((sum, factor) => sum + 1000 / (heartbeatMs * factor), 0);
    return Math.max(1, Math.ceil(perSecond * typicalHeartbeatBytes / maxHeartbeatBytesPerSecond));
};
