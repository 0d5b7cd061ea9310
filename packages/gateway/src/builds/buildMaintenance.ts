/** Declares the builds of upstreams before calls need them, and removes those whose streams have all ended. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { Duties } from "../fleet/duties.js";
import type { LocalInstance } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import type { Upstreams } from "../upstreams/upstreams.js";
import type { BuildDeclarations } from "./buildDeclarations.js";
import type { BuildPreparation } from "./buildPreparation.js";
import type { BuildView } from "./buildView.js";
import { maxDeclarationAgeMs } from "./serviceBuilds.js";
import type { StreamBuilds } from "./streamBuilds.js";

/** Interval at which builds are looked for that no upstream has any more, and records are sent again that a machine has lost. */
const checkIntervalMs = 2_000;

/** Longest delay of a declaration that no call waits for: all instances see a new build at the same time. */
const maxDeclareDelayMs = 300;

/** Duty of declaring a further build, and instances of a region that carry it one after the other. */
const declarationDuty = "build declaration";
const maxDeclarers = 8;

/** Time after which the next instance carries on if a build is still not declared: the one before may have frozen. */
const takeoverMs = 1_000;

/** Bounds of the pause, which is about the time that a build has waited, before an instance looks again if another has declared it. */
const minLookDelayMs = 500;
const maxLookDelayMs = 2_000;

/** Timeout of a declaration that no call waits for, and pause after one that failed. */
const maxAdvanceMs = 2_000;
const advanceRetryMs = 250;

/**
 * Interval at which an instance reads the declarations again, so that many reads must fail before it may begin no more streams.
 * Between half and one and a half of it, drawn each time: all instances start together.
 */
const refreshIntervalMs = 60_000;

/** Share of the upstreams that must have a declared build for another build to wait. */
const minDeclaredShare = 0.25;

/** Duty of removing the builds whose streams have all ended. */
const removalDuty = "build removal";

/** Dependencies of {@link BuildMaintenance}. */
export interface BuildMaintenanceOptions {
    readonly declarations: BuildDeclarations;
    readonly view: BuildView;
    readonly streams: Pick<StreamBuilds, "onBuildsChanged">;
    readonly preparation: BuildPreparation;
    readonly upstreams: Pick<Upstreams, "usable">;
    readonly peers: Pick<Peers, "isReachable">;
    readonly duties: Pick<Duties, "carriers">;
    readonly localInstance: LocalInstance;
    readonly random: () => number;
    readonly log: Logger;
}

/** Keeps the declarations as the upstreams come and go. */
export class BuildMaintenance {
    private readonly declaring = new Set<string>();
    /** Monotonic times at which declarations are read again, by service. */
    private readonly refreshAt = new Map<string, number>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private readonly checkTimer = setInterval(() => void this.check(), checkIntervalMs).unref();
    private isClosed = false;

    constructor(private readonly options: BuildMaintenanceOptions) {}

    /** Called when upstreams have come, or routes have changed. */
    onChanged(): void {
        this.options.view.resumableServices().forEach(service => this.follow(service));
    }

    close(): void {
        this.isClosed = true;
        clearInterval(this.checkTimer);
        this.timers.forEach(timer => clearTimeout(timer));
    }

    /** Declares the builds of a service in advance, so that no call waits for that. */
    private follow(service: string): void {
        const isDeclared = this.isDeclared(service, this.options.view.see(service));
        this.options.streams.onBuildsChanged(service);
        if (isDeclared) {
            this.options.preparation.onDeclared(service);
            return;
        }
        if (this.declaring.has(service)) {
            return;
        }
        this.declaring.add(service);
        const delayMs = this.declarerRank() === 0 ? 0 : this.options.random() * maxDeclareDelayMs;
        this.after(delayMs, () => void this.declareInAdvance(service));
    }

    private isDeclared(service: string, builds: readonly string[]): boolean {
        const known = this.options.declarations.of(service);
        return builds.every(build => known.isCurrent(build));
    }

    private async declareInAdvance(service: string): Promise<void> {
        const { declarations, preparation, streams, view } = this.options;
        try {
            await withProgress(progress => declarations.read(service, progress));
            const builds = view.see(service);
            const delayMs = this.isDeclared(service, builds) ? 0 : await this.declarationDelayMs(service, builds);
            if (delayMs > 0) {
                this.after(delayMs, () => void this.declareInAdvance(service));
                return;
            }
            await withProgress(progress => declarations.declare(service, builds, progress));
            this.declaring.delete(service);
            preparation.onDeclared(service);
            streams.onBuildsChanged(service);
        }
        catch (err) {
            this.options.log.warn("builds not declared", { service, error: asError(err).message });
            this.after(advanceRetryMs, () => {
                this.declaring.delete(service);
                this.follow(service);
            });
        }
    }

    /**
     * Streams of a single declared build have no records, unless all instances have been asked for them. Until then no other build is
     * declared, unless few upstreams of the declared one are left.
     */
    private async declarationDelayMs(service: string, builds: readonly string[]): Promise<number> {
        const { declarations, preparation, upstreams, view, random } = this.options;
        const pendingMs = preparation.pendingMs(service);
        const usable = upstreams.usable(service);
        const declared = usable.filter(({ entry }) => view.mayBegin(entry));
        if (declarations.of(service).declared.size !== 1 || declared.length < usable.length * minDeclaredShare) {
            return 0;
        }
        if (pendingMs < this.declarerRank() * takeoverMs) {
            const delayMs = Math.min(Math.max(pendingMs, minLookDelayMs), maxLookDelayMs);
            return delayMs * (0.5 + random());
        }
        return await preparation.delayMs(service, builds);
    }

    /** Place of this instance among those of its region that declare further builds, one after the other. */
    private declarerRank(): number {
        const { duties, localInstance } = this.options;
        const rank = duties.carriers(declarationDuty, maxDeclarers, () => true).indexOf(localInstance.address());
        return rank < 0 ? maxDeclarers : rank;
    }

    /** Sends records again that a machine has lost, reads the declarations again, and removes old builds. */
    private async check(): Promise<void> {
        const { declarations, streams, view, log } = this.options;
        const services = [...view.resumableServices()];
        for (const service of services) {
            streams.onBuildsChanged(service);
            this.follow(service);
        }
        for (const service of services) {
            await Promise.all([this.refresh(service), this.removeOld(service)]).catch((err: unknown) => {
                const old = declarations.of(service).unseen(view.lifetimeMs);
                log.info("builds not removed", { service, builds: old, error: asError(err).message });
            });
            streams.onBuildsChanged(service);
        }
    }

    /** Reads a declaration again in time. One that can't be read is read again after the same interval, or as soon as a call needs it. */
    private async refresh(service: string): Promise<void> {
        const now = performance.now();
        const dueAt = this.refreshAt.get(service);
        if (dueAt === undefined || now >= dueAt) {
            this.refreshAt.set(service, now + refreshIntervalMs * (0.5 + this.options.random()));
        }
        if (dueAt === undefined || now < dueAt) {
            return;
        }
        try {
            await withProgress(progress => this.options.declarations.read(service, progress));
        }
        catch (err) {
            this.options.log.info("builds not read", { service, error: asError(err).message });
        }
    }

    /**
     * Retires builds that have been away for the lifetime of a stream, and removes them once no instance can have begun streams there for
     * as long. Done by one instance; the others learn of it when they next read the declaration.
     */
    private async removeOld(service: string): Promise<void> {
        const { declarations, view } = this.options;
        view.see(service);
        const known = declarations.of(service);
        const old = known.declared.size > 1 ? known.unseen(view.lifetimeMs) : [];
        const present = old.filter(build => !known.retired.has(build));
        const minUnchangedMs = maxDeclarationAgeMs + view.lifetimeMs;
        const mayRemove = old.length > 0 && known.unchangedMs >= minUnchangedMs;
        if ((present.length === 0 && !mayRemove) || !this.isRemover()) {
            return;
        }
        await (present.length > 0 ?
            declarations.retire(service, present) :
            declarations.remove(service, old, minUnchangedMs));
    }

    private isRemover(): boolean {
        const { duties, localInstance, peers } = this.options;
        const local = localInstance.address();
        const [first] = duties.carriers(removalDuty, 1, name => name === local || peers.isReachable(name));
        return first === local;
    }

    private after(ms: number, run: () => void): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            if (!this.isClosed) {
                run();
            }
        }, ms).unref();
        this.timers.add(timer);
    }
}

/** Makes store calls that no call waits for. */
const withProgress = async (run: (progress: Progress) => Promise<unknown>): Promise<void> => {
    const progress = new Progress(maxAdvanceMs);
    try {
        await run(progress);
    }
    finally {
        progress.dispose();
    }
};
