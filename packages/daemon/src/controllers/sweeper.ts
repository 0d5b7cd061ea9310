/** Releases engine memory of programs that have ended, including those whose owner died before it could do so. */
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

const sweepIntervalMs = 5_000;
const sweepTimeoutMs = 4_000;

/** After an ownership change, a program that makes no call within this time loses its engine memory. */
const unknownProgramGraceMs = 15_000;

const releasableSchema = z.array(z.string());

/** Dependencies of {@link Sweeper}. */
export interface SweeperDependencies {
    readonly identity: Identity;
    readonly slots: Slots;
    readonly programs: Programs;
    readonly upstreams: Upstreams;
    readonly membership: Membership;
    readonly memory: EngineMemory;
    readonly engines: EngineClient;
    readonly log: Logger;
    readonly metrics: Metrics;
}

/** Periodically sweeps the workers that this instance polls. */
export class Sweeper {
    private timer: NodeJS.Timeout | undefined;
    /** Time at which each program without local state was first seen, by program id. */
    private readonly unknownSince = new Map<string, number>();

    constructor(private readonly deps: SweeperDependencies) {}

    start(): void {
        this.timer = setInterval(() => void this.sweep(), sweepIntervalMs);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /**
     * Selects the programs whose engine memory can be released: their id is invalid or expired, they have ended, or
     * they made no call within the grace period after an ownership change. Unexpired programs on slots that this
     * instance does not own are never selected.
     */
    selectReleasable(programs: readonly string[]): string[] {
        const now = Date.now();
        return programs.filter(id => this.isReleasable(id, now));
    }

    private isReleasable(id: string, now: number): boolean {
        const claims = this.deps.programs.decode(id);
        if (claims === undefined || claims.deadline <= now) {
            return true;
        }
        if (this.deps.slots.get(claims.slot) === undefined) {
            return false;
        }
        const program = this.deps.programs.get(id);
        if (program !== undefined) {
            this.unknownSince.delete(id);
            return program.isEnded;
        }
        const since = this.unknownSince.get(id) ?? now;
        this.unknownSince.set(id, since);
        return now - since > unknownProgramGraceMs;
    }

    private async sweep(): Promise<void> {
        const progress = new Progress(sweepTimeoutMs);
        try {
            for (const worker of this.deps.upstreams.assignedWorkerAddresses()) {
                await this.sweepWorker(worker, progress);
            }
        }
        catch (err) {
            this.deps.log.debug("sweep incomplete", { error: asError(err).message });
        }
        finally {
            progress.dispose();
            this.pruneUnknown();
        }
    }

    private async sweepWorker(worker: string, progress: Progress): Promise<void> {
        let heldIds: string[];
        try {
            heldIds = (await this.deps.engines.heldPrograms(worker, progress)).filter(id => id !== "");
        }
        catch {
            return;
        }
        for (const [owner, programs] of this.groupByOwner(heldIds)) {
            for (const id of await this.queryOwner(owner, programs, progress)) {
                this.deps.metrics.count("memory.swept");
                this.deps.log.info("releasing prefix of ended or unknown program", {
                    worker,
                    program: this.deps.programs.decode(id)?.nonce,
                });
                void this.deps.memory.release(worker, id);
            }
        }
    }

    private groupByOwner(held: readonly string[]): Map<string, string[]> {
        const groups = new Map<string, string[]>();
        for (const id of held) {
            const claims = this.deps.programs.decode(id);
            const owner = claims === undefined || claims.deadline <= Date.now() ?
                this.deps.identity.instance :
                this.deps.slots.routeTo(claims.slot);
            if (owner !== undefined) {
                groups.set(owner, [...groups.get(owner) ?? [], id]);
            }
        }
        return groups;
    }

    /** Asks a slot's owner which of the programs are releasable; returns none if the owner is not connected. */
    private async queryOwner(owner: string, programs: string[], progress: Progress): Promise<string[]> {
        if (owner === this.deps.identity.instance) {
            return this.selectReleasable(programs);
        }
        const peer = this.deps.membership.connectedPeer(owner);
        if (peer === undefined) {
            return [];
        }
        const releasable = releasableSchema.safeParse(await peer.link.ask({ kind: "live", programs }, progress));
        return releasable.success ? releasable.data : [];
    }

    private pruneUnknown(): void {
        const cutoff = Date.now() - 4 * unknownProgramGraceMs;
        for (const [id, since] of this.unknownSince) {
            if (since < cutoff) {
                this.unknownSince.delete(id);
            }
        }
    }
}
