/** Applies the upstreams' entries in the store to the registry of upstreams. */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { StoreChange, StoredValue } from "@marigolddrift/store";

import type { StoreLayout } from "../gatewayOptions.js";
import type { UpstreamEntry } from "./upstreamEntry.js";
import type { Upstreams } from "./upstreams.js";

/** Time after a store outage during which the removal of an entry may be an expiry caused only by the outage. */
const postOutageWindowMs = 5_000;

/**
 * Follows the entries of upstreams. While the store is unavailable, and shortly afterwards, the removal of an entry does
 * not prove that its upstream is gone.
 */
export class UpstreamFollower {
    /** Whether the entries have been read since the start. */
    hasSnapshot = false;
    private storeOutageUntil = -Infinity;

    constructor(
        private readonly upstreams: Upstreams,
        private readonly layout: Pick<StoreLayout, "decodeUpstream" | "upstreamId">,
        private readonly onAdded: () => void,
        private readonly log: Logger,
    ) {}

    onStoreLost(): void {
        this.storeOutageUntil = Infinity;
    }

    onStoreRegained(): void {
        this.storeOutageUntil = performance.now() + postOutageWindowMs;
    }

    onSnapshot(values: readonly StoredValue[]): void {
        const entries = values.map(stored => this.decode(stored)).filter(entry => entry !== undefined);
        this.upstreams.onSnapshot(entries, this.storeWasUnavailable);
        this.hasSnapshot = true;
        this.onAdded();
    }

    onChange(change: StoreChange): void {
        if (change.kind === "removed") {
            this.upstreams.onEntryRemoved(this.layout.upstreamId(change.key), this.storeWasUnavailable);
            return;
        }
        const entry = this.decode(change.stored);
        if (entry === undefined) {
            // What the key named before must get no further calls, just as if a snapshot had been read.
            this.upstreams.onEntryRemoved(this.layout.upstreamId(change.stored.key), false);
            return;
        }
        this.upstreams.onEntryPut(entry);
        this.onAdded();
    }

    private get storeWasUnavailable(): boolean {
        return performance.now() < this.storeOutageUntil;
    }

    private decode(stored: StoredValue): UpstreamEntry | undefined {
        const entry = this.tryDecode(stored);
        if (entry === undefined) {
            this.log.info("upstream entry ignored", { key: stored.key, reason: "it names no valid upstream" });
        }
        return entry;
    }

    /** Other writers may leave any bytes, none of which may keep the other entries from being read. */
    private tryDecode({ key, value }: StoredValue): UpstreamEntry | undefined {
        try {
            return this.layout.decodeUpstream(key, value);
        }
        catch (err) {
            this.log.warn("upstream entry not decoded", { key, error: asError(err).message });
            return undefined;
        }
    }
}
