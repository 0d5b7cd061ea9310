/** Routing configuration: routes, services, workspaces and limits. */
import { WorkspaceTable } from "./workspaces.js";
import type { Workspace } from "./workspaces.js";

/** A service and its weight among the targets of a route. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** Routing rules for the calls below a host and path prefix. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    /** Whether the response is a stream of events. */
    readonly isStreaming: boolean;
    /** Whether a call may run more than once. */
    readonly idempotent: boolean;
    readonly targets: readonly RouteTarget[];
    /** Maximum duration of a call. */
    readonly timeoutMs: number;
    /** Latency up to which a response is of full use to the caller. */
    readonly targetLatencyMs: number;
    /** Priority of the route; 0 is the highest. */
    readonly priority: number;
    /** Maximum number of upstreams on which one call may run. */
    readonly maxUpstreams: number;
    /** Time for which a turn can be continued; 0 if turns are not stored. */
    readonly turnRetentionMs: number;
    /** Whether callers need no API key. */
    readonly isPublic: boolean;
    /** Whether calls about the same object are served faster by the upstream that served the last one. */
    readonly isSticky: boolean;
}

/** Properties of a service's model engines. */
export interface EngineTraits {
    readonly maxBatch: number;
    readonly memoryTokens: number;
    readonly tokensPerEvent: number;
}

/** A set of upstreams that serve the same calls. */
export interface Service {
    readonly name: string;
    /** Number of connections that one upstream accepts from all instances together. */
    readonly maxConnections: number;
    /** Missing for plain services. */
    readonly engine: EngineTraits | undefined;
}

/** Size limits and timeouts for the requests of callers. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headersTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface RoutingConfig {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    /** Undefined if callers need no API keys on any route. */
    readonly workspaces: readonly Workspace[] | undefined;
    readonly limits: CallerLimits;
}

/** Finds routes in one version of the configuration. */
export class RouteTable {
    private readonly hosts = new Map<string, Map<string, Route>>();
    private readonly services: ReadonlyMap<string, Service>;
    /** Undefined if callers need no API keys on any route. */
    readonly workspaces: WorkspaceTable | undefined;

    constructor(readonly config: RoutingConfig) {
        this.services = new Map(config.services.map(service => [service.name, service]));
        this.workspaces = config.workspaces && new WorkspaceTable(config.workspaces);
        for (const route of config.routes) {
            const host = route.host.toLowerCase();
            const prefixes = this.hosts.get(host) ?? new Map<string, Route>();
            prefixes.set(route.prefix, route);
            this.hosts.set(host, prefixes);
        }
    }

    /**
     * Returns the route with the longest matching prefix; the query of the path is ignored.
     *
     * @example
     * table.match("quotes.example:80", "/fills/7?size=2")?.name;
     */
    match(host: string, path: string): Route | undefined {
        const prefixes = this.hosts.get(host.toLowerCase().split(":")[0]!);
        const pathname = path.split(/[?#]/, 1)[0]!;
        for (
            let end = pathname.lastIndexOf("/");
            prefixes !== undefined && end >= 0;
            end = pathname.lastIndexOf("/", end - 1)
        ) {
            const route = prefixes.get(pathname.slice(0, end + 1));
            if (route !== undefined) {
                return route;
            }
            if (end === 0) {
                break;
            }
        }
        return undefined;
    }

    service(name: string): Service | undefined {
        return this.services.get(name);
    }
}

/** Whether a stream of the route that has broken off may go on at another upstream. */
export const isResumable = ({ isStreaming, idempotent }: Route): boolean => isStreaming && idempotent;

/** Chooses a service at random by the weights of the route's targets; `random` is in [0, 1). */
export const chooseTarget = (route: Route, random: number): string => {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = random * total;
    for (const target of route.targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return route.targets.at(-1)!.service;
};
