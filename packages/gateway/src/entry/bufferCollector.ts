/** Frees the memory of refused input before the runtime would. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Size of refused input from which its buffers are collected. */
const collectBytes = 16 * 1024 * 1024;

/** Time between two collections, each of which takes 10 to 20 ms with the heap of an instance. */
const minIntervalMs = 150;

/**
 * The runtime collects buffers outside of its heap only when some 64 MB of them have been allocated since the last collection,
 * which is more than a small machine has left. Nothing is collected as long as nothing is refused.
 */
export class BufferCollector {
    private bytes = 0;
    private timer: NodeJS.Timeout | undefined;
    private collect: (() => void) | undefined;

    /**
     * To be called with the size of each input or reply that is refused.
     *
     * @example
     * collector.onRefused(4_194_304);
     */
    onRefused(bytes: number): void {
        this.bytes += bytes;
        if (this.bytes >= collectBytes) {
            this.timer ??= setTimeout(() => this.run(), minIntervalMs).unref();
        }
    }

    private run(): void {
        this.timer = undefined;
        this.bytes = 0;
        this.collect ??= exposeCollection();
        this.collect();
    }
}

const exposeCollection = (): () => void => {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as () => void;
};
