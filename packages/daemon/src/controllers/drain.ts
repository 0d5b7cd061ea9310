/** A graceful stop: no request in flight is interrupted. */
import { Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { CallerServer } from "../http/callerServer.js";
import type { Owner } from "../owner.js";
import type { Membership } from "./membership.js";
import type { Slots } from "./slots.js";

const pollMs = 50;

/** Time in which balancers and peers learn that the instance is leaving, in milliseconds. */
const noticeMs = 500;
const parallelHandOvers = 16;

/** What the drain works with. */
export interface DrainParts {
    readonly owner: Owner;
    readonly callers: CallerServer;
    readonly membership: Membership;
    readonly slots: Slots;
    readonly seconds: number;
    readonly log: Logger;
}

/** Drains the instance once. */
export class Drain {
    private draining: Promise<void> | undefined;

    constructor(private readonly parts: DrainParts) {}

    /** Announces the leave, hands the slots over, and waits for all requests to end. */
    run(): Promise<void> {
        this.draining ??= this.drain();
        return this.draining;
    }

    private async drain(): Promise<void> {
        const { callers, log, membership, owner, seconds } = this.parts;
        const progress = new Progress(seconds * 1000);
        membership.leaving = true;
        membership.beatNow();
        log.info("draining", { active: owner.active, requests: callers.active });
        try {
            await progress.sleep(noticeMs);
            await this.handOverAll(progress);
            while (owner.active > 0 || callers.active > 0) {
                await progress.sleep(pollMs);
            }
            log.info("drained");
        }
        catch {
            log.warn("not drained in time", { active: owner.active, requests: callers.active });
        }
        finally {
            callers.stopAccepting();
            await this.finishLate(progress);
            progress.dispose();
        }
    }

    /** Answers requests that came on open connections just before the port was closed. */
    private async finishLate(progress: Progress): Promise<void> {
        const { callers, owner } = this.parts;
        while (owner.active + callers.active > 0 && !progress.signal.aborted) {
            await progress.sleep(pollMs).catch(() => {});
        }
    }

    private async handOverAll(progress: Progress): Promise<void> {
        const queue = this.parts.slots.all().map(slot => slot.slot);
        const worker = async (): Promise<void> => {
            for (let slot = queue.shift(); slot !== undefined; slot = queue.shift()) {
                await this.parts.slots.handOver(slot, progress);
            }
        };
        await Promise.all(Array.from({ length: parallelHandOvers }, worker));
    }
}
