/** Settings and dependencies of a gateway. */
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import type { MemoryShares } from "./memory/memoryShares.js";
import type { CallProtocol } from "./protocol.js";
import type { QuotaSettings } from "./quotas/quotaSettings.js";
import type { RoutingConfig } from "./routes.js";
import type { TrafficRecorder } from "./trafficMeter.js";
import type { UpstreamEntry } from "./upstreams/upstreamEntry.js";

/** Keys and encodings of the configuration and the upstreams in the store. */
export interface StoreLayout {
    readonly configKey: string;
    readonly upstreamsPrefix: string;
    /** Returns undefined if the value is not a valid configuration. */
    decodeConfig(value: Buffer): RoutingConfig | undefined;
    /** Returns undefined if the entry does not describe a valid upstream. */
    decodeUpstream(key: string, value: Buffer): UpstreamEntry | undefined;
    upstreamId(key: string): string;
}

/** Settings and dependencies of a {@link Gateway}. */
export interface GatewayOptions {
    /** Unique to this process. */
    readonly instance: string;
    readonly zone: string;
    readonly regionOf: (zone: string) => string;
    readonly host: string;
    readonly port: number;
    /** Name of the machine, which stays the same after a restart. */
    readonly machine: string;
    /** Ports for peers, of which the first free one is used. */
    readonly peerPorts: readonly number[];
    /** Aborted when the process is told to stop, which ends the wait for ports. */
    readonly stopSignal?: AbortSignal;
    readonly store: VersionedStore;
    readonly layout: StoreLayout;
    readonly protocol: CallProtocol;
    /** Number of journal servers that may be lost at once without losing a turn. */
    readonly toleratedLosses: number;
    /** Longest time within which an unresponsive connection to the store must be detected. */
    readonly storeSilenceMs: number;
    /** Time within which a change in the store must be in force on an instance that reaches the store. */
    readonly changeDelayLimitMs: number;
    /** Time between the stop signal and the end of the process. */
    readonly graceMs: number;
    /** Bounds of the workspaces' quotas; without them, no quotas are enforced. */
    readonly quotas?: QuotaSettings | undefined;
    /**
     * Whether calls are placed by what is observed of each upstream, since upstreams may differ in speed or fail while their health check
     * passes; the default.
     */
    readonly observesUpstreams?: boolean;
    /** Second copies of late repeatable calls, as a share of these calls; 0, the default, for none. */
    readonly hedgeShare?: number;
    /** Bounds of memory; those of a process with 200 MB where they are missing. */
    readonly memory?: Partial<MemoryShares>;
    /** Maximum number of open connections from callers. */
    readonly maxCallerConnections?: number;
    readonly random?: () => number;
    /** Receives the bytes exchanged with peers and upstreams. */
    readonly recordTraffic?: TrafficRecorder;
    readonly log: Logger;
}
