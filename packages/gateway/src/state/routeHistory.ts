/** Remembers which services routes sent resumable streams to before the configuration changed. */
import { lifetimeFactor, minLifetimeMs } from "../builds/buildView.js";
import { isResumable, RouteTable } from "../routes.js";
import type { Route } from "../routes.js";

/** Versions that are remembered; the operator writes one in some seconds at most. */
const maxVersions = 32;

interface FormerRoutes {
    readonly table: RouteTable;
    /** Monotonic time until which streams that began under the routes can be taken up. */
    readonly until: number;
}

/** The routes of former versions of the configuration, for as long as streams that began under them can be taken up. */
export class RouteHistory {
    private former: FormerRoutes[] = [];

    /** Called when a version of the configuration is replaced by a later one. */
    onReplaced(before: RouteTable, after: RouteTable): void {
        if (signatureOf(before) === signatureOf(after)) {
            return;
        }
        const { config } = before;
        const timeoutMs = Math.max(0, ...config.routes.filter(isResumable).map(route => route.timeoutMs));
        const until = performance.now() + Math.max(minLifetimeMs, lifetimeFactor * timeoutMs);
        // Only the routes are needed.
        const table = new RouteTable({ ...config, services: [], workspaces: undefined });
        this.former = [...this.current(), { table, until }].slice(-maxVersions);
    }

    /** Services at which a stream of the call's path may have begun before the configuration changed. */
    formerServices(host: string, path: string): string[] {
        const routes = this.current().map(({ table }) => table.match(host, path));
        const resumable = routes.filter((route): route is Route => route !== undefined && isResumable(route));
        return [...new Set(resumable.flatMap(({ targets }) => targets.map(({ service }) => service)))];
    }

    private current(): FormerRoutes[] {
        const now = performance.now();
        return this.former.filter(({ until }) => until > now);
    }
}

/** Differs if a resumable stream may go to another service. */
const signatureOf = ({ config }: RouteTable): string =>
    JSON.stringify(config.routes.map(route => [
        route.host,
        route.prefix,
        isResumable(route) && route.targets.map(({ service }) => service),
    ]));
