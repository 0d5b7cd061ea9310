/** Follows the configuration and the entries of the upstreams in the platform's store. */
import type { Logger } from "@marigolddrift/common";

import type { StoreLayout } from "../gatewayOptions.js";
import type { RouteTable, RoutingConfig } from "../routes.js";
import { UpstreamFollower } from "../upstreams/upstreamFollower.js";
import type { Upstreams } from "../upstreams/upstreams.js";
import { ActiveConfig } from "./activeConfig.js";
import { directSource } from "./regionalStoreReader.js";
import { watchPrefix } from "./watchedPrefix.js";
import type { WatchedPrefix, WatchOptions } from "./watchedPrefix.js";

/** Dependencies of a {@link FollowedStore}. */
export interface FollowedStoreOptions extends WatchOptions {
    readonly layout: StoreLayout;
    readonly upstreams: Upstreams;
    /** Called with each configuration that is in force from now on. */
    onConfig(config: RoutingConfig): void;
    onUpstreamsAdded(): void;
    readonly log: Logger;
}

/** What an instance knows of the store. */
export class FollowedStore {
    readonly activeConfig: ActiveConfig;
    readonly config: WatchedPrefix;
    readonly upstreamEntries: WatchedPrefix;
    private readonly upstreamFollower: UpstreamFollower;
    private readonly layout: StoreLayout;

    constructor(options: FollowedStoreOptions) {
        const { layout, log } = options;
        this.layout = layout;
        this.activeConfig = new ActiveConfig(layout, config => options.onConfig(config), log);
        this.upstreamFollower = new UpstreamFollower(
            options.upstreams,
            layout,
            () => options.onUpstreamsAdded(),
            log,
        );
        const outages = {
            onDisconnected: () => this.upstreamFollower.onStoreLost(),
            onReconnected: () => this.upstreamFollower.onStoreRegained(),
        };
        this.config = watchPrefix(options, layout.configKey, {
            ...outages,
            onSnapshot: values => values.forEach(stored => this.activeConfig.apply(stored, directSource)),
            onChanges: changes => this.activeConfig.applyChanges(changes, this.config.reader.source),
        });
        this.upstreamEntries = watchPrefix(options, layout.upstreamsPrefix, {
            ...outages,
            onSnapshot: values => this.upstreamFollower.onSnapshot(values),
            onChanges: changes => changes.forEach(change => this.upstreamFollower.onChange(change)),
        });
    }

    /** The routes in force; undefined until a configuration has been read. */
    get table(): RouteTable | undefined {
        return this.activeConfig.table;
    }

    /** Whether both the configuration and the upstreams have been read. */
    get isKnown(): boolean {
        return this.table !== undefined && this.upstreamFollower.hasSnapshot;
    }

    /** The followed part that has a prefix. */
    followed(prefix: string): WatchedPrefix {
        return prefix === this.layout.configKey ? this.config : this.upstreamEntries;
    }

    start(): void {
        this.config.watcher.start();
        this.upstreamEntries.watcher.start();
    }

    stop(): void {
        this.config.watcher.stop();
        this.upstreamEntries.watcher.stop();
    }
}
