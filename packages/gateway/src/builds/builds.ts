/** Keeps each stream at the build that began it. Puts together what the store, the machines with disks and this instance know. */
import { asError, ProblemError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import type { Duties } from "../fleet/duties.js";
import type { BuildReadiness, LocalInstance, PeerRequest } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import type { Route, RouteTable, RouteTarget } from "../routes.js";
import { streamKey } from "../streamKey.js";
import type { UpstreamEntry } from "../upstreams/upstreamEntry.js";
import type { Upstream, Upstreams } from "../upstreams/upstreams.js";
import { BuildDeclarations } from "./buildDeclarations.js";
import type { DeclarationStore } from "./buildDeclarations.js";
import { BuildHolders } from "./buildHolders.js";
import { BuildMaintenance } from "./buildMaintenance.js";
import { BuildPreparation } from "./buildPreparation.js";
import { buildsOf, BuildView } from "./buildView.js";
import { StreamBuilds } from "./streamBuilds.js";

/** Time after which a caller may try again if it could not be found out which build began its stream. */
const retryAfterSeconds = 0.3;

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
    readonly peers: Pick<Peers, "version" | "fronts" | "journals" | "isReachable">;
    readonly duties: Pick<Duties, "carriers">;
    readonly localInstance: LocalInstance;
    routes(): RouteTable | undefined;
    readonly random: () => number;
    readonly log: Logger;
}

/** Builds of the upstreams, and the streams that they began. */
export class Builds {
    private readonly declarations: BuildDeclarations;
    private readonly view: BuildView;
    private readonly streams: StreamBuilds;
    private readonly preparation: BuildPreparation;
    private readonly maintenance: BuildMaintenance;

    constructor(private readonly options: BuildsOptions) {
        this.declarations = new BuildDeclarations(options.store, options.log);
        this.view = new BuildView({ ...options, declarations: this.declarations });
        const { declarations, view } = this;
        this.streams = new StreamBuilds({
            holders: new BuildHolders(options.peers),
            lifetimeMs: () => view.lifetimeMs,
            isMixed: service => view.isMixed(service),
            log: options.log,
        });
        const { streams } = this;
        this.preparation = new BuildPreparation({ ...options, view, streams });
        const { preparation } = this;
        this.maintenance = new BuildMaintenance({ ...options, declarations, view, streams, preparation });
    }

    /** Time for which a stream can be taken up after its first event. */
    get lifetimeMs(): number {
        return this.view.lifetimeMs;
    }

    /** Streams that this instance remembers. */
    get rememberedStreams(): number {
        return this.streams.size;
    }

    /** Whether an upstream may begin streams that can be taken up. */
    mayBegin(entry: UpstreamEntry): boolean {
        return this.view.mayBegin(entry);
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
            const detail = "The build of the service's upstreams is not declared yet.";
            throw new ProblemError("no_upstream", "notRun", detail, { cause: asError(err), retryAfterSeconds });
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
            if (this.mayComeBack(known)) {
                const detail = `No upstream of build "${known.build}" can be used at the moment.`;
                throw new ProblemError("no_upstream", "notRun", detail, { retryAfterSeconds });
            }
            throw new ProblemError("build_gone", "notRun", `No upstream of build "${known.build}" can be used now.`);
        }
        return known;
    }

    /**
     * Whether an upstream of the build may be in use in a moment. The entries that are known here are late if they have never named a build
     * that began a stream elsewhere, as after a freeze of this instance.
     */
    private mayComeBack({ service, build }: KnownBuild): boolean {
        const isLate = !this.declarations.of(service).hasBeenListed(build);
        return isLate || this.options.upstreams.ofService(service).some(upstream => mayReturn(upstream, build));
    }

    /** Called when the first event of a stream is passed on. */
    onStreamBegun(streamId: string, { targets }: Route, upstream: Upstream): void {
        const { id, service, build } = upstream.entry;
        // A process that has started again under its id may run another build than the entry that the call was sent by.
        const present = this.options.upstreams.get(id);
        const isCertain = present === undefined || present === upstream;
        this.streams.onBegun(streamKey(streamId), service, isCertain ? build : undefined, targets.length > 1);
    }

    /** Records the streams of this instance for a peer that is about to declare builds. */
    async prepareForPeer(request: Extract<PeerRequest, { kind: "prepareBuilds"; }>): Promise<BuildReadiness> {
        return await this.preparation.prepareForPeer(request.service, request.builds);
    }

    /** Called when upstreams have come. */
    onUpstreamsAdded(): void {
        this.maintenance.onChanged();
    }

    /** Called when an upstream has been removed, which until then could run calls. */
    onUpstreamRemoved({ entry: { service, build } }: Upstream): void {
        this.view.onSeen(service, [build]);
    }

    close(): void {
        this.maintenance.close();
        this.streams.close();
    }

    /** Whether more than one build may have begun streams of the service, as far as is known here. */
    isMixed(service: string): boolean {
        return this.view.isMixed(service);
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
        // The stream may be taken up once more, after another build has been declared.
        if (streamId !== undefined) {
            this.streams.onBegun(streamKey(streamId), service, only);
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
}

/** Whether an upstream of the build is only out of use for a moment, as after a failed connection. */
const mayReturn = ({ entry, isLeaving }: Upstream, build: string): boolean =>
    entry.build === build && !entry.draining && !isLeaving;

/** @param isFinal Whether asking again would not help. */
const unknownBuild = (detail: string, isFinal: boolean, cause?: Error): ProblemError =>
    new ProblemError("build_unknown", "notRun", detail, {
        ...(cause === undefined ? {} : { cause }),
        ...(isFinal ? {} : { retryAfterSeconds }),
    });
