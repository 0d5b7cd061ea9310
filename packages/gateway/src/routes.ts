/** The routes, services and limits that are in force. */

/** A service with its share of a route's calls. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** What callers may ask for below a host and path prefix. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    /** Whether the answer is a stream of events. */
    readonly streams: boolean;
    /** Whether a call may run more than once. */
    readonly idempotent: boolean;
    readonly targets: readonly RouteTarget[];
    /** Longest time that a caller is kept waiting, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer is of full use to the caller, in milliseconds. */
    readonly targetMs: number;
    /** Rank of the route, 0 first. */
    readonly priority: number;
    /** Number of upstreams on which one call may run. */
    readonly maxUpstreams: number;
    /** Time for which a turn can be continued, in milliseconds; 0 if turns are not kept. */
    readonly keepTurnsMs: number;
}

/** What is known of a service's model engines. */
export interface EngineTraits {
    readonly maxBatch: number;
    readonly memoryTokens: number;
    readonly tokensPerEvent: number;
}

/** A set of upstreams that answer the same calls. */
export interface Service {
    readonly name: string;
    /** Connections that one upstream accepts from all instances together. */
    readonly maxConnections: number;
    /** Missing for plain services. */
    readonly engine: EngineTraits | undefined;
}

/** What a caller may send, and how long it may take. */
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
    readonly limits: CallerLimits;
}

/** Finds routes in one version of the configuration. */
export class RouteTable {
    private readonly hosts = new Map<string, Map<string, Route>>();
    private readonly services: ReadonlyMap<string, Service>;

    constructor(readonly config: RoutingConfig) {
        this.services = new Map(config.services.map(service => [service.name, service]));
        for (const route of config.routes) {
            const host = route.host.toLowerCase();
            const prefixes = this.hosts.get(host) ?? new Map<string, Route>();
            prefixes.set(route.prefix, route);
            this.hosts.set(host, prefixes);
        }
    }

    /**
     * The route with the longest prefix of a path, without its query.
     *
     * @example
     * table.match("quotes.example:80", "/fills/7?size=2")?.name;
     */
    match(host: string, path: string): Route | undefined {
        const prefixes = this.hosts.get(host.toLowerCase().split(":")[0]!);
        const bare = path.split(/[?#]/, 1)[0]!;
        for (
            let end = bare.lastIndexOf("/");
            prefixes !== undefined && end >= 0;
            end = bare.lastIndexOf("/", end - 1)
        ) {
            const route = prefixes.get(bare.slice(0, end + 1));
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

/** Chooses the service for a call by the weights of its route; `random` is in [0, 1). */
export const chooseTarget = (route: Route, random: number): string => {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let left = random * total;
    for (const target of route.targets) {
        left -= target.weight;
        if (left < 0) {
            return target.service;
        }
    }
    return route.targets.at(-1)!.service;
};
