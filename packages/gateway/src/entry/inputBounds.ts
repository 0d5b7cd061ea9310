/** The bounds of a process on what callers send. */
import type { Logger } from "@marigolddrift/common";

import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { GatewayOptions } from "../gatewayOptions.js";
import { BufferCollector } from "./bufferCollector.js";
import { ChunkPacer } from "./chunkPacer.js";
import { InputMemory } from "./inputMemory.js";
import { RefusalLog } from "./refusalLog.js";

/** Bounds if the options have none: those of a process with 200 MB and 2,048 descriptors. */
const defaultMaxBytes = 25 * 1024 * 1024;
const defaultMaxConnections = 1_228;

/** What all connections from callers share. */
export interface InputBounds {
    readonly memory: InputMemory;
    readonly pacer: ChunkPacer;
    /** Maximum number of open connections from callers. */
    readonly maxConnections: number;
    readonly refusals: RefusalLog;
    readonly collector: BufferCollector;
}

/** Creates the bounds that the options name. */
export const createInputBounds = (
    { maxInputMemoryBytes, maxCallerConnections }: GatewayOptions,
    metrics: GatewayMetrics,
    log: Logger,
): InputBounds => {
    const refusals = new RefusalLog(metrics, log);
    const collector = new BufferCollector();
    return {
        memory: new InputMemory(maxInputMemoryBytes ?? defaultMaxBytes, input => {
            refusals.add("memory", { ...input });
            collector.onRefused(input.bytes);
        }),
        pacer: new ChunkPacer(body => refusals.add("small chunks", { ...body })),
        maxConnections: maxCallerConnections ?? defaultMaxConnections,
        refusals,
        collector,
    };
};
