/** What an instance knows of the builds that may have begun streams, from the entries of upstreams and the declarations. */
import type { RouteTable } from "../routes.js";
import { isResumable } from "../routes.js";
import type { UpstreamEntry } from "../upstreams/upstreamEntry.js";
import type { Upstream, Upstreams } from "../upstreams/upstreams.js";
import type { BuildDeclarations } from "./buildDeclarations.js";

/** Shortest time for which a stream may be taken up after its first event; longer if a route's calls may take longer. */
export const minLifetimeMs = 30_000;

/** Time from a stream's first event until its last take-up has ended, as a multiple of its route's timeout. */
export const lifetimeFactor = 2;

/** A build that has been away for this share of the lifetime of streams is declared anew. */
const awayShare = 0.5;

/** Where the view looks. */
export interface BuildViewSources {
    readonly declarations: BuildDeclarations;
    readonly upstreams: Pick<Upstreams, "ofService" | "usable" | "get">;
    routes(): RouteTable | undefined;
}

/** Builds of all services. */
export class BuildView {
    constructor(private readonly sources: BuildViewSources) {}

    /** Longest time from the beginning of a stream to its deadline. */
    get maxTimeoutMs(): number {
        return this.resumableRoutes().reduce((max, { timeoutMs }) => Math.max(max, timeoutMs), 0);
    }

    /** Time for which a stream can be taken up after its first event. */
    get lifetimeMs(): number {
        return Math.max(minLifetimeMs, lifetimeFactor * this.maxTimeoutMs);
    }

    /** Services that resumable routes send calls to. */
    resumableServices(): Set<string> {
        return new Set(this.resumableRoutes().flatMap(({ targets }) => targets.map(({ service }) => service)));
    }

    /** Whether an upstream may begin streams that can be taken up. */
    mayBegin({ service, build }: UpstreamEntry): boolean {
        return this.sources.declarations.of(service).isDeclared(build);
    }

    /** Whether more than one build may have begun streams of the service, as far as is known here. */
    isMixed(service: string): boolean {
        this.see(service);
        return this.sources.declarations.of(service).recent(this.lifetimeMs).size > 1;
    }

    /** Notes which builds the upstreams of a service have now. Returns them. */
    see(service: string): string[] {
        const builds = buildsOf(this.sources.upstreams.ofService(service));
        this.onSeen(service, builds);
        return builds;
    }

    /** Notes that builds could run calls until now. */
    onSeen(service: string, builds: readonly string[]): void {
        this.sources.declarations.of(service).see(builds, this.lifetimeMs * awayShare);
    }

    /** Notes that a peer has seen builds. */
    onAnnounced(service: string, builds: readonly string[]): void {
        this.sources.declarations.of(service).announce(builds);
    }

    private resumableRoutes() {
        return this.sources.routes()?.config.routes.filter(isResumable) ?? [];
    }
}

/** The builds of some upstreams. */
export const buildsOf = (upstreams: readonly Upstream[]): string[] => [
    ...new Set(upstreams.map(({ entry }) => entry.build)),
];
