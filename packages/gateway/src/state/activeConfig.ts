/** The configuration that is in force on this instance. */
import type { Logger } from "@marigolddrift/common";
import type { StoreChange, StoredValue } from "@marigolddrift/store";

import type { StoreLayout } from "../gatewayOptions.js";
import { RouteTable } from "../routes.js";
import type { RoutingConfig } from "../routes.js";
import { RouteHistory } from "./routeHistory.js";

/** Limit on the body size until a configuration has been loaded. */
const defaultMaxBodyBytes = 1024 * 1024;

/** Takes each newer version of the configuration; an older one, an unchanged one or an invalid one changes nothing. */
export class ActiveConfig {
    /** What routes were before. */
    readonly history = new RouteHistory();
    private routeTable: RouteTable | undefined;

    constructor(
        private readonly layout: Pick<StoreLayout, "configKey" | "decodeConfig">,
        private readonly onApplied: (config: RoutingConfig) => void,
        private readonly log: Logger,
    ) {}

    /** The routes in force; undefined until a version has been read. */
    get table(): RouteTable | undefined {
        return this.routeTable;
    }

    /** Limit on the size of a body. */
    get maxBodyBytes(): number {
        return this.routeTable?.config.limits.maxBodyBytes ?? defaultMaxBodyBytes;
    }

    /** Applies the versions among changes of the store; see {@link apply}. */
    applyChanges(changes: readonly StoreChange[], source: string): void {
        const puts = changes.filter(change => change.kind === "put");
        puts.forEach(({ stored }) => this.apply(stored, source));
    }

    /**
     * Applies a stored value if it is a newer version of the configuration.
     *
     * @param source The store, or the name of the peer, from which the value was read.
     */
    apply(stored: StoredValue, source: string): void {
        if (stored.key !== this.layout.configKey) {
            return;
        }
        const { revision } = stored;
        const config = this.layout.decodeConfig(stored.value);
        if (config === undefined) {
            this.log.warn("configuration refused", { revision, source, reason: "it does not match the schema" });
            return;
        }
        const { version, routes } = config;
        const activeVersion = this.routeTable?.config.version;
        if (activeVersion !== undefined && version <= activeVersion) {
            this.log.info("configuration ignored", { version, revision, source, activeVersion });
            return;
        }
        const table = new RouteTable(config);
        if (this.routeTable !== undefined) {
            this.history.onReplaced(this.routeTable, table);
        }
        this.routeTable = table;
        this.onApplied(config);
        this.log.info("configuration applied", { version, routes: routes.length, revision, source });
    }
}
