/** A key prefix of the store that an instance watches, also on behalf of its peers. */
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import type { Duties } from "../fleet/duties.js";
import type { LocalInstance } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import { ChangeFeed } from "./changeFeed.js";
import { PrefixWatcher } from "./prefixWatcher.js";
import type { PrefixWatcherEvents } from "./prefixWatcher.js";
import { RegionalStoreReader } from "./regionalStoreReader.js";

/** The watcher of a prefix and the reader that it shares with peers. */
export interface WatchedPrefix {
    readonly watcher: PrefixWatcher;
    readonly reader: RegionalStoreReader;
}

/** Dependencies of a {@link WatchedPrefix}. */
export interface WatchOptions {
    readonly localInstance: LocalInstance;
    readonly store: VersionedStore;
    readonly duties: Duties;
    readonly peers: Peers;
    /** Longest time within which an unresponsive connection to the store must be detected. */
    readonly storeSilenceMs: number;
    /** Time within which a change in the store must be in force on an instance that reaches the store. */
    readonly changeDelayLimitMs: number;
    readonly log: Logger;
}

/** Creates the watcher of a prefix; it must be started. */
export const watchPrefix = (options: WatchOptions, prefix: string, events: PrefixWatcherEvents): WatchedPrefix => {
    const { localInstance, store, duties, peers, storeSilenceMs, changeDelayLimitMs, log } = options;
    const feed = new ChangeFeed();
    const reader = new RegionalStoreReader(localInstance, store, duties, peers, feed, changeDelayLimitMs, log);
    const watcher = new PrefixWatcher(reader, prefix, events, storeSilenceMs, log, feed);
    return { watcher, reader };
};
