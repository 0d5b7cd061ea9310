/** Order in which the instances of an availability zone leave when several stop at once. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { Standing } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";

/** Timeout of a request for the standing of another instance. */
const askTimeoutMs = 300;

/** Most instances that are asked: enough for an estimate, however large the fleet is. */
const maxAsked = 16;

/** Difference of two stop signals below which the names decide who leaves first, as the messages take some time. */
const sameTimeMs = 100;

/** Identity of this instance. */
export interface SuccessionMember {
    readonly instance: string;
    readonly zone: string;
}

/**
 * Load pattern: all instances of an availability zone get the stop signal within a second or two. If each left as soon as it
 * could, none would be there for the callers until the first ones are back.
 *
 * @example
 * if (await succession.mayLeave(stoppingForMs)) { stopAccepting(); }
 */
export class Succession {
    constructor(
        private readonly local: SuccessionMember,
        private readonly peers: Pick<Peers, "fronts">,
        private readonly log: Logger,
    ) {}

    /**
     * Whether at least half of the other instances take calls, not counting those that stop and precede this one. An instance
     * that is alone in its availability zone asks those of the others, to which its callers are sent.
     *
     * @param stoppingForMs Time since the stop signal of this instance.
     */
    async mayLeave(stoppingForMs: number): Promise<boolean> {
        const { fronts } = this.peers;
        const near = fronts.filter(({ address }) => address.zone === this.local.zone);
        const others = (near.length > 0 ? near : fronts).slice(0, maxAsked);
        const remaining = await Promise.all(others.map(peer => this.remains(peer, stoppingForMs)));
        const count = remaining.filter(Boolean).length;
        this.log.info("others that take calls", { count, of: others.length });
        return count >= others.length / 2;
    }

    private async remains(peer: PeerClient, stoppingForMs: number): Promise<boolean> {
        const standing = peer.isUsable ? await this.ask(peer) : { takesCalls: false, stoppingForMs: undefined };
        if (!standing.takesCalls || standing.stoppingForMs === undefined) {
            return standing.takesCalls;
        }
        const laterMs = stoppingForMs - standing.stoppingForMs;
        return Math.abs(laterMs) < sameTimeMs ? peer.address.instance > this.local.instance : laterMs > 0;
    }

    private async ask(peer: PeerClient): Promise<Standing> {
        const progress = new Progress(askTimeoutMs);
        try {
            // Earlier versions don't know the request.
            return await peer.ask({ kind: "standing" }, progress) ?? { takesCalls: true, stoppingForMs: undefined };
        }
        catch (err) {
            this.log.info("standing not known", { peer: peer.address.instance, error: asError(err).message });
            return { takesCalls: false, stoppingForMs: undefined };
        }
        finally {
            progress.dispose();
        }
    }
}
