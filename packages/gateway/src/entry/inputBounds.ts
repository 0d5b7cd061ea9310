/** The bounds of a process on what callers send. */
import type { Logger } from "@marigolddrift/common";

import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { GatewayOptions } from "../gatewayOptions.js";
import type { ProcessMemory } from "../memory/processMemory.js";
import { ChunkPacer } from "./chunkPacer.js";
import { InputMemory } from "./inputMemory.js";
import { RefusalLog } from "./refusalLog.js";

/** Number of connections if the options name none: that of a process with 2,048 descriptors. */
const defaultMaxConnections = 1_228;

/** What all connections from callers share. */
export interface InputBounds {
    readonly memory: InputMemory;
    readonly pacer: ChunkPacer;
    /** Maximum number of open connections from callers. */
    readonly maxConnections: number;
    readonly refusals: RefusalLog;
}

/** Creates the bounds that the options name. */
export const createInputBounds = (
    { maxCallerConnections }: Pick<GatewayOptions, "maxCallerConnections">,
    { shares, collector }: Pick<ProcessMemory, "shares" | "collector">,
    metrics: GatewayMetrics,
    log: Logger,
): InputBounds => {
    const refusals = new RefusalLog(metrics, log);
    return {
        memory: new InputMemory(shares.inputBytes, {
            onAllocated: bytes => collector.onAllocated(bytes),
            onRefused: input => {
                refusals.add("memory", { ...input });
                collector.onRefused(input.bytes);
            },
        }),
        pacer: new ChunkPacer(body => refusals.add("small chunks", { ...body })),
        maxConnections: maxCallerConnections ?? defaultMaxConnections,
        refusals,
    };
};
