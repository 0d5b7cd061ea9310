/** Gauges of an instance that serves callers. */
import type { Beginnings } from "./beginnings/beginnings.js";
import type { Builds } from "./builds/builds.js";
import type { CallBlocker } from "./crashes/callBlocker.js";
import type { EntryServer } from "./entry/entryServer.js";
import type { InputMemory } from "./entry/inputMemory.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { StallMonitor } from "./stallMonitor.js";
import type { ActiveConfig } from "./state/activeConfig.js";
import type { PrefixWatcher } from "./state/prefixWatcher.js";
import type { TurnStore } from "./turns/turnStore.js";
import type { ReplyMemory } from "./upstreams/replyMemory.js";
import type { Upstreams } from "./upstreams/upstreams.js";

/** The components whose state the gauges show. */
export interface GaugedComponents {
    readonly entry: Pick<EntryServer, "active" | "connections">;
    readonly inputMemory: Pick<InputMemory, "heldBytes" | "pausedInputs">;
    readonly replyMemory: Pick<ReplyMemory, "heldBytes" | "pausedReplies">;
    readonly turns: Pick<TurnStore, "conversations" | "saves">;
    readonly dispatcher: { readonly waitingCalls: number; };
    readonly upstreams: Pick<Upstreams, "size" | "reopenedConnections">;
    readonly blocker: Pick<CallBlocker, "blocked">;
    readonly builds: Pick<Builds, "rememberedStreams">;
    readonly beginnings: Pick<Beginnings, "rememberedBytes">;
    /** Undefined if no quotas are enforced. */
    readonly quotas: { readonly lenders: number; } | undefined;
    readonly activeConfig: Pick<ActiveConfig, "table">;
    readonly stallMonitor: Pick<StallMonitor, "lastStallMs">;
    readonly config: Pick<PrefixWatcher, "ageMs">;
    readonly upstreamEntries: Pick<PrefixWatcher, "ageMs">;
}

/** Registers a gauge for each value that is read from a component when metrics are collected. */
export const addGauges = (metrics: GatewayMetrics, of: GaugedComponents): void => {
    metrics.addGauge("calls_active", "Calls whose answers have not ended", () => of.entry.active);
    metrics.addGauge("reply_bytes", "Bytes of replies in progress", () => of.replyMemory.heldBytes);
    metrics.addGauge(
        "replies_paused",
        "Replies that are not read for lack of memory",
        () => of.replyMemory.pausedReplies,
    );
    const { conversations, saves } = of.turns;
    metrics.addGauge("conversation_bytes", "Bytes of conversations and kept turns", () => conversations.heldBytes);
    metrics.addGauge(
        "conversations_waiting",
        "Turns that wait for memory for their conversation",
        () => conversations.waitingRequests,
    );
    metrics.addGauge("save_bytes", "Bytes of turns that are being saved", () => saves.heldBytes);
    metrics.addGauge("input_bytes", "Bytes that callers have sent or not read", () => of.inputMemory.heldBytes);
    metrics.addGauge("inputs_paused", "Inputs that are not read for lack of memory", () => of.inputMemory.pausedInputs);
    metrics.addGauge("caller_connections", "Open connections from callers", () => of.entry.connections);
    metrics.addGauge("calls_waiting", "Calls that wait for an upstream", () => of.dispatcher.waitingCalls);
    metrics.addGauge("upstreams", "Known upstreams", () => of.upstreams.size);
    metrics.addGauge(
        "connections_reopened",
        "Connections to upstreams that were opened anew because a call was refused on them",
        () => of.upstreams.reopenedConnections,
    );
    metrics.addGauge("calls_blocked", "Calls that ended three upstreams or more", () => of.blocker.blocked);
    metrics.addGauge("streams_remembered", "Streams whose build is known", () => of.builds.rememberedStreams);
    metrics.addGauge(
        "beginnings_remembered_bytes",
        "Size of what is remembered of streams that may be taken up and are kept as turns",
        () => of.beginnings.rememberedBytes,
    );
    if (of.quotas !== undefined) {
        const { quotas } = of;
        metrics.addGauge("quota_lenders", "Instances that lend their share of quotas", () => quotas.lenders);
    }
    metrics.addGauge("config_version", "Version in force", () => of.activeConfig.table?.config.version ?? 0);
    metrics.addGauge(
        "stall_milliseconds",
        "Lateness of the last checked timer",
        () => of.stallMonitor.lastStallMs,
    );
    metrics.addGauge(
        "config_age_milliseconds",
        "Age of the view of the configuration",
        () => of.config.ageMs,
    );
    metrics.addGauge(
        "store_age_milliseconds",
        "Age of the view of the upstreams",
        () => of.upstreamEntries.ageMs,
    );
};
