/** Finds engine memory that is held for programs that have ended, also when their owner died in between. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger, Metrics } from "@marigolddrift/common";
import { z } from "zod";

import type { Identity } from "../peers/identity.js";
import type { EngineClient } from "../upstreams/engineClient.js";
import type { EngineMemory } from "./engineMemory.js";
import type { Membership } from "./membership.js";
import type { Programs } from "./programs.js";
import type { Slots } from "./slots.js";
import type { Upstreams } from "./upstreams.js";

const sweepMs = 5_000;
const sweepTimeoutMs = 4_000;

/** After a change of owner, a program that makes no call within this time loses its engine memory; in milliseconds. */
const unknownGraceMs = 15_000;

const endedSchema = z.array(z.string());

/** What the sweeper works with. */
export interface SweeperParts {
    readonly self: Identity;
    readonly slots: Slots;
    readonly programs: Programs;
    readonly upstreams: Upstreams;
    readonly membership: Membership;
    readonly memory: EngineMemory;
    readonly engines: EngineClient;
    readonly log: Logger;
    readonly metrics: Metrics;
}

/** Sweeps the workers that this instance polls. */
export class Sweeper {
    private timer: NodeJS.Timeout | undefined;
    /** When this instance first saw a program that it has no state of. */
    private readonly unknownSince = new Map<string, number>();

    constructor(private readonly parts: SweeperParts) {}

    start(): void {
        this.timer = setInterval(() => void this.sweep(), sweepMs);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Of some programs of this instance's slots, those whose engine memory may go. */
    endedOf(programs: readonly string[]): string[] {
        const now = Date.now();
        return programs.filter(id => this.isEnded(id, now));
    }

    private isEnded(id: string, now: number): boolean {
        const claims = this.parts.programs.decode(id);
        if (claims === undefined || claims.deadline <= now) {
            return true;
        }
        if (this.parts.slots.get(claims.slot) === undefined) {
            return false;
        }
        const program = this.parts.programs.get(id);
        if (program !== undefined) {
            this.unknownSince.delete(id);
            return program.isEnded;
        }
        const since = this.unknownSince.get(id) ?? now;
        this.unknownSince.set(id, since);
        return now - since > unknownGraceMs;
    }

    private async sweep(): Promise<void> {
        const progress = new Progress(sweepTimeoutMs);
        try {
            for (const worker of this.parts.upstreams.ownWorkers()) {
                await this.sweepWorker(worker, progress);
            }
        }
        catch (err) {
            this.parts.log.debug("sweep incomplete", { error: asError(err).message });
        }
        finally {
            progress.dispose();
            this.forgetOld();
        }
    }

    private async sweepWorker(worker: string, progress: Progress): Promise<void> {
        let held: string[];
        try {
            held = (await this.parts.engines.heldPrograms(worker, progress)).filter(id => id !== "");
        }
        catch {
            return;
        }
        for (const [owner, programs] of this.byOwner(held)) {
            for (const id of await this.askOwner(owner, programs, progress)) {
                this.parts.metrics.count("memory.swept");
                this.parts.log.info("sweeping a prefix", { worker, program: this.parts.programs.decode(id)?.nonce });
                void this.parts.memory.release(worker, id);
            }
        }
    }

    private byOwner(held: readonly string[]): Map<string, string[]> {
        const byOwner = new Map<string, string[]>();
        for (const id of held) {
            const claims = this.parts.programs.decode(id);
            const owner = claims === undefined || claims.deadline <= Date.now() ?
                this.parts.self.instance :
                this.parts.slots.routeTo(claims.slot);
            if (owner !== undefined) {
                byOwner.set(owner, [...byOwner.get(owner) ?? [], id]);
            }
        }
        return byOwner;
    }

    private async askOwner(owner: string, programs: string[], progress: Progress): Promise<string[]> {
        if (owner === this.parts.self.instance) {
            return this.endedOf(programs);
        }
        const peer = this.parts.membership.peerOf(owner);
        if (peer === undefined) {
            return [];
        }
        const ended = endedSchema.safeParse(await peer.link.ask({ kind: "live", programs }, progress));
        return ended.success ? ended.data : [];
    }

    private forgetOld(): void {
        const horizon = Date.now() - 4 * unknownGraceMs;
        for (const [id, since] of this.unknownSince) {
            if (since < horizon) {
                this.unknownSince.delete(id);
            }
        }
    }
}
