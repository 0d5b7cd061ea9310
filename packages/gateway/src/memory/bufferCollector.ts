/** Frees the memory of buffers that are no longer used before the runtime would. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Size of refused input from which its buffers are collected. */
const refusedBytes = 16 * 1024 * 1024;

/** Time until refused input is collected. */
const refusedDelayMs = 150;

/** Size of new buffers after which the size of all is looked at. */
const measuredBytes = 4 * 1024 * 1024;

/** Share of the bound from which buffers are collected. */
const collectShare = 0.6;

/** The same if what is in use leaves less room than that. */
const maxCollectShare = 0.9;

/** Share of the bound that is allocated at least between two collections, each of which takes 10 to 20 ms. */
const minGrowthShare = 0.15;

/** What a {@link BufferCollector} needs of the runtime. */
export interface BufferRuntime {
    /** Size of all buffers, also of those that are no longer used and have not been collected yet. */
    bufferBytes(): number;
    collect(): void;
}

/**
 * The runtime collects buffers outside of its heap only when some 64 MB of them have been allocated since the last collection,
 * which is more than a small machine has left. Nothing is collected as long as buffers are few.
 */
export class BufferCollector {
    private refused = 0;
    private allocated = 0;
    private collectAt: number;
    private timer: NodeJS.Timeout | undefined;

    /** @param maxBytes Memory for all buffers, those that are no longer used included. */
    constructor(private readonly maxBytes: number, private readonly runtime: BufferRuntime = nodeRuntime) {
        this.collectAt = maxBytes * collectShare;
    }

    /**
     * To be called with the size of each large buffer, or of each group of small ones, before it is allocated.
     *
     * @example
     * collector.onAllocated(4_194_304);
     */
    onAllocated(bytes: number): void {
        this.allocated += bytes;
        if (this.allocated < measuredBytes) {
            return;
        }
        this.allocated = 0;
        if (this.runtime.bufferBytes() > this.collectAt) {
            this.collect();
        }
    }

    /** To be called with the size of each input or reply that is refused. */
    onRefused(bytes: number): void {
        this.refused += bytes;
        if (this.refused >= refusedBytes) {
            this.timer ??= setTimeout(() => this.collect(), refusedDelayMs).unref();
        }
    }

    private collect(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        this.refused = 0;
        this.runtime.collect();
        const next = this.runtime.bufferBytes() + this.maxBytes * minGrowthShare;
        this.collectAt = Math.max(this.maxBytes * collectShare, Math.min(next, this.maxBytes * maxCollectShare));
    }
}

let exposedCollection: (() => void) | undefined;

const nodeRuntime: BufferRuntime = {
    bufferBytes: () => process.memoryUsage().arrayBuffers,
    collect: () => {
        exposedCollection ??= exposeCollection();
        exposedCollection();
    },
};

const exposeCollection = (): () => void => {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as () => void;
};
