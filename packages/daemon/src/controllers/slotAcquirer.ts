/** Acquires slots that this instance should own: claims them, or asks their owners for them. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { Membership, Peer } from "./membership.js";
import type { SlotClaims } from "./slotClaims.js";
import type { SlotDirectory } from "./slotDirectory.js";
import { handOverPatienceMs } from "./slotHandOvers.js";

const parallelClaims = 8;
const replyTimeoutMs = 2_000;

/** Time between two requests to hand the same slot over, in milliseconds. */
const askAgainMs = 500;

/** Acquires slots, some at a time. */
export class SlotAcquirer {
    private readonly askedAt = new Map<number, number>();

    constructor(
        private readonly self: string,
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
        await Promise.all(Array.from({ length: parallelClaims }, worker));
    }

    private async acquire(slot: number): Promise<void> {
        const owner = this.directory.ownerOf(slot);
        const peer = owner === undefined || owner === this.self ? undefined : this.membership.peerOf(owner);
        if (peer === undefined) {
            // The record may name a live instance that does not know of it, for example after a lost reply.
            const blocker = await this.claims.claim(slot);
            const named = blocker === undefined ? undefined : this.membership.peerOf(blocker);
            return named === undefined ? undefined : this.ask(slot, named);
        }
        if ((this.askedAt.get(slot) ?? 0) + askAgainMs <= Date.now()) {
            this.askedAt.set(slot, Date.now());
            await this.ask(slot, peer);
        }
    }

    /** Asks the owner for a slot, and claims it once it is given up. */
    private async ask(slot: number, peer: Peer): Promise<void> {
        const progress = new Progress(replyTimeoutMs + handOverPatienceMs);
        try {
            if (await peer.link.ask({ kind: "handOver", slot }, progress) === true) {
                await this.claims.claim(slot);
            }
        }
        catch (err) {
            this.log.debug("hand-over not answered", { slot, error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }
}
