/** Acquires slots that this instance should own: claims them, or requests a handover from their owners. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { Membership, Peer } from "./membership.js";
import type { SlotClaims } from "./slotClaims.js";
import type { SlotDirectory } from "./slotDirectory.js";
import { handoverGraceMs } from "./slotHandovers.js";

const maxConcurrentClaims = 8;
const replyTimeoutMs = 2_000;

/** Minimum time between two handover requests for the same slot. */
const requestIntervalMs = 500;

/** Acquires slots with a limited number of claims at a time. */
export class SlotAcquirer {
    private readonly requestedAt = new Map<number, number>();

    constructor(
        private readonly instance: string,
        private readonly directory: SlotDirectory,
        private readonly membership: Membership,
        private readonly claims: SlotClaims,
        private readonly log: Logger,
    ) {}

    async acquireAll(slots: readonly number[]): Promise<void> {
        const queue = [...slots];
        const worker = async (): Promise<void> => {
            for (let slot = queue.shift(); slot !== undefined; slot = queue.shift()) {
                await this.acquire(slot);
            }
        };
        await Promise.all(Array.from({ length: maxConcurrentClaims }, worker));
    }

    private async acquire(slot: number): Promise<void> {
        const owner = this.directory.ownerOf(slot);
        const peer = owner === undefined || owner === this.instance ? undefined : this.membership.connectedPeer(owner);
        if (peer === undefined) {
            // The record may name a live instance that does not know it owns the slot, for example after a lost reply.
            const recordedOwner = await this.claims.claim(slot);
            const recordedPeer = recordedOwner === undefined ? undefined : this.membership.connectedPeer(recordedOwner);
            return recordedPeer === undefined ? undefined : this.requestHandover(slot, recordedPeer);
        }
        if ((this.requestedAt.get(slot) ?? 0) + requestIntervalMs <= Date.now()) {
            this.requestedAt.set(slot, Date.now());
            await this.requestHandover(slot, peer);
        }
    }

    /** Requests a handover from the slot's owner, and claims the slot once the owner has released it. */
    private async requestHandover(slot: number, peer: Peer): Promise<void> {
        const progress = new Progress(replyTimeoutMs + handoverGraceMs);
        try {
            if (await peer.link.ask({ kind: "handOver", slot }, progress) === true) {
                await this.claims.claim(slot);
            }
        }
        catch (err) {
            this.log.debug("handover request failed", { slot, error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }
}
