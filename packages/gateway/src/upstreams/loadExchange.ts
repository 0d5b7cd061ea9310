/** Exchanges the number of calls in flight on each upstream, and of the busiest workspaces, with the other instances of the region. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import {
    largestLoads,
    LoadAggregator,
    maxKnownWorkspaces,
    maxReportedWorkspaces,
    smoothLoad,
} from "@marigolddrift/policy";
import type { WorkerLoad, WorkspaceLoad } from "@marigolddrift/policy";

import { duties } from "../fleet/duties.js";
import type { Duties } from "../fleet/duties.js";
import type { PeerClient } from "../peers/peerClient.js";
import type { LocalInstance } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";

/** Interval between reports: about the time in which a busy region places one call on each upstream. */
const reportIntervalMs = 200;

/** Time for which an instance without calls continues to report. */
const idleReportingMs = 2_000;

/** Age from which on the load by workspace is not used. */
const maxWorkspacesAgeMs = 1_000;

/** Timeout for a report to the aggregator. */
const reportTimeoutMs = 400;

/** Begins the names of workspaces in a report. Ids of upstreams contain no space. */
const workspacePrefix = "workspace ";

/** Calls of the other instances on an upstream. */
export interface PeerLoad {
    readonly calls: number;
    /** Calls in the reports of the last seconds. */
    readonly usualCalls: number;
    /** Tokens of these calls; 0 if the upstream is no engine, or if the other instances do not report them. */
    readonly tokens: number;
    readonly ageMs: number;
}

/**
 * Key under which the tokens of an upstream's calls are reported. Ids have no spaces, and instances of earlier versions add up whatever keys
 * they are sent.
 */
export const tokensKey = (upstream: string): string => `tokens ${upstream}`;

/**
 * Reports the load of this instance to the region's aggregator, which replies with the load of all other instances.
 * Best effort: the load of the others may be missing or out of date.
 */
export class LoadExchange {
    private readonly loadAggregator = new LoadAggregator();
    private peerLoads: WorkerLoad = {};
    private usualLoads: WorkerLoad = {};
    private updatedAt = -Infinity;
    private lastBusyAt = -Infinity;
    private isReporting = false;
    private aggregatorName: string | undefined;
    private peerWorkspaces: WorkspaceLoad = {};
    private readonly timer: NodeJS.Timeout;

    constructor(
        private readonly localInstance: LocalInstance,
        private readonly duties: Pick<Duties, "carriers">,
        private readonly peers: Pick<Peers, "isReachable" | "getByName">,
        private readonly localLoad: () => WorkerLoad,
        private readonly log: Logger,
        /** Running and waiting calls by workspace; empty if the configuration has none. */
        private readonly localWorkspaces: () => WorkspaceLoad = () => ({}),
    ) {
        this.timer = setInterval(() => void this.reportLoad(), reportIntervalMs);
    }

    /** Returns the last known load of the other instances on an upstream. */
    peerLoadOf(upstream: string): PeerLoad {
        return {
            calls: this.peerLoads[upstream] ?? 0,
            usualCalls: this.usualLoads[upstream] ?? 0,
            tokens: this.peerLoads[tokensKey(upstream)] ?? 0,
            ageMs: performance.now() - this.updatedAt,
        };
    }

    /** Returns the last known load of the other instances by workspace, for the busiest ones; empty once it is too old. */
    get workspacesOfPeers(): WorkspaceLoad {
        return performance.now() - this.updatedAt < maxWorkspacesAgeMs ? this.peerWorkspaces : {};
    }

    /** Records the report of an instance and returns the load of all others, as far as it says of workspaces of the busiest. */
    onReport(instance: string, load: WorkerLoad): WorkerLoad {
        const now = performance.now();
        this.loadAggregator.report(instance, load, now);
        const { upstreams, workspaces } = splitLoad(this.loadAggregator.loadOfOthers(instance, now));
        return joinLoad(upstreams, largestLoads(workspaces, maxKnownWorkspaces));
    }

    close(): void {
        clearInterval(this.timer);
    }

    private async reportLoad(): Promise<void> {
        const load = joinLoad(this.localLoad(), largestLoads(this.localWorkspaces(), maxReportedWorkspaces));
        const now = performance.now();
        if (Object.keys(load).length > 0) {
            this.lastBusyAt = now;
        }
        if (this.isReporting || now - this.lastBusyAt > idleReportingMs) {
            return;
        }
        const aggregator = this.findAggregator();
        if (aggregator === undefined) {
            this.setPeerLoads(this.onReport(this.localInstance.instance, load));
            return;
        }
        await this.reportTo(aggregator, load);
    }

    private async reportTo(aggregator: PeerClient, load: WorkerLoad): Promise<void> {
        this.isReporting = true;
        const progress = new Progress(reportTimeoutMs);
        try {
            this.setPeerLoads(
                await aggregator.ask({ kind: "shareLoad", instance: this.localInstance.instance, load }, progress),
            );
        }
        catch (err) {
            this.log.info("load report failed", { peer: aggregator.address.instance, error: asError(err).message });
        }
        finally {
            progress.dispose();
            this.isReporting = false;
        }
    }

    private setPeerLoads(loads: WorkerLoad): void {
        const { upstreams, workspaces } = splitLoad(loads);
        const isFirst = performance.now() - this.updatedAt > idleReportingMs;
        this.usualLoads = isFirst ? upstreams : smoothLoad(this.usualLoads, upstreams);
        this.peerLoads = upstreams;
        this.peerWorkspaces = workspaces;
        this.updatedAt = performance.now();
    }

    /** Returns the peer that aggregates the region's load; undefined if this instance does. */
    private findAggregator(): PeerClient | undefined {
        const localName = this.localInstance.address();
        const isReachable = (name: string): boolean => name === localName || this.peers.isReachable(name);
        const [name] = this.duties.carriers(duties.loadAggregator, 1, isReachable);
        if (name !== this.aggregatorName) {
            this.aggregatorName = name;
            this.log.info("load board", { at: name });
        }
        return name === undefined || name === localName ? undefined : this.peers.getByName(name);
    }
}

const joinLoad = (upstreams: WorkerLoad, workspaces: WorkspaceLoad): WorkerLoad => ({
    ...upstreams,
    ...Object.fromEntries(Object.entries(workspaces).map(([name, calls]) => [workspacePrefix + name, calls])),
});

const splitLoad = (load: WorkerLoad): { upstreams: WorkerLoad; workspaces: WorkspaceLoad; } => {
    const upstreams: Record<string, number> = {};
    const workspaces: Record<string, number> = {};
    for (const [name, calls] of Object.entries(load)) {
        if (name.startsWith(workspacePrefix)) {
            workspaces[name.slice(workspacePrefix.length)] = calls;
        }
        else {
            upstreams[name] = calls;
        }
    }
    return { upstreams, workspaces };
};
