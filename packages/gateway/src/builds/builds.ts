/** Keeps each stream at the build that began it. Puts together what the store, the machines with disks and this instance know. */
import { ProblemError, Progress } from "@marigolddrift/common";
import type { Logger, Metrics } from "@marigolddrift/common";
import { createHash } from "node:crypto";

import type { Duties } from "../fleet/duties.js";
import type { LocalInstance } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import type { Route, RouteTable, RouteTarget } from "../routes.js";
import { isResumable } from "../routes.js";
import type { UpstreamEntry } from "../upstreams/upstreamEntry.js";
import type { Upstream, Upstreams } from "../upstreams/upstreams.js";
import { BuildDeclarations } from "./buildDeclarations.js";
import type { DeclarationStore } from "./buildDeclarations.js";
import { BuildHolders } from "./buildHolders.js";
import { StreamBuilds } from "./streamBuilds.js";

/** Shortest time for which a stream may be taken up after its first event; longer if a route's calls may take longer. */
const minLifetimeMs = 30_000;

/** Time from a stream's first event until its last take-up has ended, as a multiple of its route's timeout. */
const lifetimeFactor = 2;

/** A build that has been away for this share of the lifetime of streams is declared anew. */
const awayShare = 0.5;

/** Interval at which builds are looked for that no upstream has any more, and records are sent again that a machine has lost. */
const checkIntervalMs = 2_000;

/** Longest delay of a declaration that no call waits for: all instances see a new build at the same time. */
const maxDeclareDelayMs = 300;

/** Timeout of a declaration that no call waits for, and pause after one that failed. */
const maxAdvanceMs = 2_000;
const advanceRetryMs = 250;

/** Share of the upstreams that must have a declared build for another build to wait. */
const minDeclaredShare = 0.5;

/** Duty of removing the builds whose streams have all ended. */
const removalDuty = "build removal";

/** Time after which a caller may try again if it could not be found out which build began its stream. */
const retryAfterSeconds = 0.3;

/** Length of the digest by which a stream is known: callers choose the ids of calls, and their length. */
const streamKeyLength = 22;

const streamKey = (streamId: string): string =>
    createHash("sha256").update(streamId).digest("base64url").slice(0, streamKeyLength);

/** How the build of a stream is known. */
export type KnownBy = "memory" | "record" | "only build";

/** The build that began a stream. */
export interface KnownBuild {
    readonly service: string;
    readonly build: string;
    readonly knownBy: KnownBy;
    readonly ageMs: number | undefined;
}

/** Dependencies of {@link Builds}. */
export interface BuildsOptions {
    readonly store: DeclarationStore;
    readonly upstreams: Pick<Upstreams, "ofService" | "usable" | "get">;
    readonly peers: Pick<Peers, "version" | "journals" | "isReachable">;
    readonly duties: Pick<Duties, "carriers">;
    readonly localInstance: LocalInstance;
    routes(): RouteTable | undefined;
    readonly random: () => number;
    readonly metrics: Pick<Metrics, "count">;
    readonly log: Logger;
}

/** Builds of the upstreams, and the streams that they began. */
export class Builds {
    private readonly declarations: BuildDeclarations;
    private readonly streams: StreamBuilds;
    private readonly declaring = new Set<string>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private readonly removalTimer: NodeJS.Timeout;
    private readonly startedAt = performance.now();
    private isClosed = false;

    constructor(private readonly options: BuildsOptions) {
        this.declarations = new BuildDeclarations(options.store, options.log);
        this.streams = new StreamBuilds({
            holders: new BuildHolders(options.peers),
            lifetimeMs: () => this.lifetimeMs,
            isMixed: service => this.isMixed(service),
            log: options.log,
        });
        this.removalTimer = setInterval(() => void this.check(), checkIntervalMs).unref();
    }

    /** Streams that this instance remembers. */
    get rememberedStreams(): number {
        return this.streams.size;
    }

    /** Whether an upstream may begin streams that can be taken up. */
    mayBegin({ service, build }: UpstreamEntry): boolean {
        return this.declarations.of(service).isDeclared(build);
    }

    /**
     * Waits until an upstream of the service may begin streams.
     *
     * @throws ProblemError `no_upstream` if its builds can't be declared now.
     */
    async declareForCall(service: string, progress: Progress): Promise<void> {
        const usable = this.options.upstreams.usable(service);
        if (usable.length === 0 || usable.some(({ entry }) => this.mayBegin(entry))) {
            return;
        }
        try {
            await this.declarations.read(service, progress);
            if (!usable.some(({ entry }) => this.mayBegin(entry))) {
                await this.declarations.declare(service, buildsOf(usable), progress);
            }
        }
        catch (err) {
            progress.throwIfAborted();
            throw new ProblemError(
                "no_upstream",
                "notRun",
                "The build of the service's upstreams is not declared yet.",
                {
                    cause: err as Error,
                    retryAfterSeconds,
                },
            );
        }
    }

    /**
     * Finds out which build began a stream.
     *
     * @throws ProblemError `build_unknown` if that is not certain, or `build_gone` if no upstream of it can be used. Nothing has run.
     */
    async findBuild(route: Route, streamId: string | undefined, progress: Progress): Promise<KnownBuild> {
        const known = await this.lookUp(route, streamId, progress);
        if (!this.options.upstreams.usable(known.service).some(({ entry }) => entry.build === known.build)) {
            if (this.options.upstreams.ofService(known.service).some(upstream => mayReturn(upstream, known.build))) {
                const detail = `No upstream of build "${known.build}" can be used at the moment.`;
                throw new ProblemError("no_upstream", "notRun", detail, { retryAfterSeconds });
            }
            throw new ProblemError("build_gone", "notRun", `No upstream of build "${known.build}" can be used now.`);
        }
        return known;
    }

    /** Called when the first event of a stream is passed on. */
    onStreamBegun(streamId: string, { targets }: Route, upstream: Upstream): void {
        const { id, service, build } = upstream.entry;
        // A process that has started again under its id may run another build than the entry that the call was sent by.
        const present = this.options.upstreams.get(id);
        const isCertain = present === undefined || present === upstream;
        this.streams.onBegun(streamKey(streamId), service, isCertain ? build : undefined, targets.length > 1);
    }

    /** Called when upstreams have come. */
    onUpstreamsAdded(): void {
        const services = this.options.routes()?.config.routes.filter(isResumable).flatMap(({ targets }) => targets) ??
            [];
        new Set(services.map(({ service }) => service)).forEach(service => this.follow(service));
    }

    /** Called when an upstream has been removed, which until then could run calls. */
    onUpstreamRemoved({ entry: { service, build } }: Upstream): void {
        this.declarations.of(service).see([build], this.maxAwayMs);
    }

    close(): void {
        this.isClosed = true;
        clearInterval(this.removalTimer);
        this.timers.forEach(timer => clearTimeout(timer));
        this.streams.close();
    }

    private get lifetimeMs(): number {
        return Math.max(minLifetimeMs, lifetimeFactor * this.maxTimeoutMs);
    }

    private get maxAwayMs(): number {
        return this.lifetimeMs * awayShare;
    }

    /** Whether more than one build may have begun streams of the service, as far as is known here. */
    isMixed(service: string): boolean {
        this.see(service);
        return this.declarations.of(service).recent(this.lifetimeMs).size > 1;
    }

    private see(service: string): void {
        this.declarations.of(service).see(buildsOf(this.options.upstreams.ofService(service)), this.maxAwayMs);
    }

    private async lookUp(
        { targets }: Route,
        streamId: string | undefined,
        progress: Progress,
    ): Promise<KnownBuild> {
        const found = streamId === undefined ? undefined : await this.streams.find(streamKey(streamId), progress);
        if (found?.kind === "known") {
            const { record: { service, build, ageMs }, knownBy } = found;
            if (build === undefined || !targets.some(target => target.service === service)) {
                throw unknownBuild("It is not certain which build began the stream.", true);
            }
            return { service, build, knownBy, ageMs: Math.round(ageMs) };
        }
        const [{ service }] = targets as readonly [RouteTarget];
        const only = targets.length > 1 ? undefined : await this.readOnlyBuild(service, progress);
        if (only === undefined) {
            const detail = "Several builds or services serve, and no record says which one began the stream.";
            throw unknownBuild(detail, found?.isConclusive ?? true);
        }
        return { service, build: only, knownBy: "only build", ageMs: undefined };
    }

    /** Returns the build that alone can have begun streams of a service, as the store says now; undefined if there are several. */
    private async readOnlyBuild(service: string, progress: Progress): Promise<string | undefined> {
        try {
            const { declared } = await this.declarations.read(service, progress);
            return declared.size === 1 ? [...declared][0] : undefined;
        }
        catch (err) {
            progress.throwIfAborted();
            throw unknownBuild("The store does not say now whether one build alone has served.", false, err as Error);
        }
    }

    /** Declares the builds of a service in advance, so that no call waits for that. */
    private follow(service: string): void {
        this.see(service);
        const builds = buildsOf(this.options.upstreams.ofService(service));
        const known = this.declarations.of(service);
        if (builds.every(build => known.isDeclared(build))) {
            this.streams.onBuildsChanged(service);
            return;
        }
        if (this.declaring.has(service)) {
            return;
        }
        this.declaring.add(service);
        this.after(this.options.random() * maxDeclareDelayMs, () => void this.declareInAdvance(service));
    }

    private async declareInAdvance(service: string): Promise<void> {
        const progress = new Progress(maxAdvanceMs);
        try {
            await this.declarations.read(service, progress);
            const delayMs = this.declarationDelayMs(service);
            if (delayMs > 0) {
                this.after(delayMs, () => void this.declareInAdvance(service));
                return;
            }
            await this.declarations.declare(service, buildsOf(this.options.upstreams.ofService(service)), progress);
            this.declaring.delete(service);
            this.streams.onBuildsChanged(service);
        }
        catch (err) {
            this.options.log.warn("builds not declared", { service, error: (err as Error).message });
            this.after(advanceRetryMs, () => {
                this.declaring.delete(service);
                this.follow(service);
            });
        }
        finally {
            progress.dispose();
        }
    }

    /**
     * Streams from before the start of this instance have no records if one build was declared then. While they may be taken up, no other
     * build is declared, unless few upstreams of the declared ones are left.
     */
    private declarationDelayMs(service: string): number {
        const usable = this.options.upstreams.usable(service);
        const declared = usable.filter(({ entry }) => this.mayBegin(entry));
        const delayMs = this.startedAt + this.maxTimeoutMs - performance.now();
        return declared.length >= usable.length * minDeclaredShare ? Math.max(0, delayMs) : 0;
    }

    /** Longest time from the beginning of a stream to its deadline. */
    private get maxTimeoutMs(): number {
        const routes = this.options.routes()?.config.routes.filter(isResumable) ?? [];
        return routes.reduce((max, { timeoutMs }) => Math.max(max, timeoutMs), 0);
    }

    /** Sends records again that a machine has lost, and removes old builds. */
    private async check(): Promise<void> {
        const services = this.options.routes()?.config.services.map(({ name }) => name) ?? [];
        services.forEach(service => this.streams.onBuildsChanged(service));
        await this.removeOld();
    }

    /** Removes builds that have been away until all of their streams have ended, or learns that another instance has done so. */
    private async removeOld(): Promise<void> {
        const services = new Set(this.options.routes()?.config.services.map(({ name }) => name) ?? []);
        for (const service of services) {
            this.see(service);
            const known = this.declarations.of(service);
            const old = known.declared.size > 1 ? known.unseen(this.lifetimeMs) : [];
            if (old.length > 0) {
                await this.remove(service, old).catch((err: unknown) => {
                    this.options.log.info("builds not removed", {
                        service,
                        builds: old,
                        error: (err as Error).message,
                    });
                });
                this.streams.onBuildsChanged(service);
            }
        }
    }

    private async remove(service: string, old: readonly string[]): Promise<void> {
        const { duties, localInstance, peers } = this.options;
        const local = localInstance.address();
        const [first] = duties.carriers(removalDuty, 1, name => name === local || peers.isReachable(name));
        if (first === local) {
            await this.declarations.remove(service, old);
            return;
        }
        const progress = new Progress(maxAdvanceMs);
        await this.declarations.read(service, progress).finally(() => progress.dispose());
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

/** Whether an upstream of the build is only out of use for a moment, as after a failed connection. */
const mayReturn = ({ entry, isLeaving }: Upstream, build: string): boolean =>
    entry.build === build && !entry.draining && !isLeaving;

const buildsOf = (upstreams: readonly Upstream[]): string[] => [...new Set(upstreams.map(({ entry }) => entry.build))];

/** @param isFinal Whether asking again would not help. */
const unknownBuild = (detail: string, isFinal: boolean, cause?: Error): ProblemError =>
    new ProblemError("build_unknown", "notRun", detail, {
        ...(cause === undefined ? {} : { cause }),
        ...(isFinal ? {} : { retryAfterSeconds }),
    });
