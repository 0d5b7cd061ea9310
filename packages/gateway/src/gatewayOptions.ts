/** What an instance that serves calls is given from outside. */
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import type { CallProtocol } from "./protocol.js";
import type { RoutingConfig } from "./routes.js";
import type { UpstreamEntry } from "./upstreams/upstreamEntry.js";

/** Where the configuration and the upstreams stand in the store, and how they are written there. */
export interface StoreLayout {
    readonly configKey: string;
    readonly upstreamsPrefix: string;
    /** Returns undefined for what is not a valid configuration. */
    decodeConfig(value: Buffer): RoutingConfig | undefined;
    /** Returns undefined for what names no upstream to use. */
    decodeUpstream(key: string, value: Buffer): UpstreamEntry | undefined;
    upstreamId(key: string): string;
}

/** Settings of a gateway. */
export interface GatewayOptions {
    /** Unique to this process. */
    readonly instance: string;
    readonly zone: string;
    readonly regionOf: (zone: string) => string;
    readonly host: string;
    readonly port: number;
    /** Name of the machine, the same after a restart. */
    readonly machine: string;
    readonly peerPort: number;
    readonly store: VersionedStore;
    readonly layout: StoreLayout;
    readonly protocol: CallProtocol;
    /** Losses of machines with disks that must not lose a turn. */
    readonly toleratedLosses: number;
    /** Longest time for which a silent connection to the store may go unnoticed, in milliseconds. */
    readonly storeSilenceMs: number;
    /** Time between the stop signal and the end, in milliseconds. */
    readonly graceMs: number;
    readonly random?: () => number;
    readonly log: Logger;
}
