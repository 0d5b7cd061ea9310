/** Graceful shutdown: requests in flight run to completion, up to the drain timeout. */
import { Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { CallerServer } from "../http/callerServer.js";
import type { Owner } from "../owner.js";
import type { Membership } from "./membership.js";
import type { Slots } from "./slots.js";

const pollMs = 50;

/** Wait before the handover, so that load balancers and peers learn that the instance is leaving. */
const leaveNoticeMs = 500;
const maxConcurrentHandovers = 16;

/** Dependencies of {@link Drain}. */
export interface DrainDependencies {
    readonly owner: Owner;
    readonly callers: CallerServer;
    readonly membership: Membership;
    readonly slots: Slots;
    readonly seconds: number;
    readonly log: Logger;
}

/** Drains the instance; runs at most once. */
export class Drain {
    private draining: Promise<void> | undefined;

    constructor(private readonly deps: DrainDependencies) {}

    /** Announces that the instance is leaving, hands its slots over, and waits for all requests to end. */
    run(): Promise<void> {
        this.draining ??= this.drain();
        return this.draining;
    }

    private async drain(): Promise<void> {
        const { callers, log, membership, owner, seconds } = this.deps;
        const progress = new Progress(seconds * 1000);
        membership.leaving = true;
        membership.sendHeartbeatsNow();
        log.info("draining", { active: owner.active, requests: callers.active });
        try {
            await progress.sleep(leaveNoticeMs);
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
            await this.waitForLateRequests(progress);
            progress.dispose();
        }
    }

    /** Waits for requests that arrived on open connections just before the port was closed. */
    private async waitForLateRequests(progress: Progress): Promise<void> {
        const { callers, owner } = this.deps;
        while (owner.active + callers.active > 0 && !progress.isAborted) {
            await progress.sleep(pollMs).catch(() => {});
        }
    }

    private async handOverAll(progress: Progress): Promise<void> {
        const queue = this.deps.slots.all().map(slot => slot.slot);
        const worker = async (): Promise<void> => {
            for (let slot = queue.shift(); slot !== undefined; slot = queue.shift()) {
                await this.deps.slots.handOver(slot, progress);
            }
        };
        await Promise.all(Array.from({ length: maxConcurrentHandovers }, worker));
    }
}
