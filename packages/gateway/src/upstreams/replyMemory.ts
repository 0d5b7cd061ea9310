/** Bounds the memory that the replies of all calls in progress need together. */

/** A reply that is kept, or that its caller has not read yet. */
export interface HeldReply {
    /** Counts bytes that have arrived. */
    add(bytes: number): void;
    /** The reply needs no memory any more. */
    release(): void;
}

interface Holder {
    bytes: number;
    readonly breakOff: () => void;
}

/**
 * Load pattern: faulty upstreams that send bytes without end to many calls at once. Each reply is within its own limit, but
 * together they would fill the memory of a small machine, and the calls of all other callers would end with the process.
 */
export class ReplyMemory {
    private readonly holders = new Set<Holder>();
    private totalBytes = 0;

    /** @param maxBytes Size of all replies together beyond which the largest one is broken off. */
    constructor(private readonly maxBytes: number, private readonly onBrokenOff: (bytes: number) => void = () => {}) {}

    /** Size of all replies in progress. */
    get heldBytes(): number {
        return this.totalBytes;
    }

    /**
     * Registers a reply.
     *
     * @param breakOff Called at most once, when this reply is the largest one and there is too little memory for all.
     * @example
     * const reply = memory.hold(() => call.abort(new Error("too little memory")));
     */
    hold(breakOff: () => void): HeldReply {
        const holder: Holder = { bytes: 0, breakOff };
        this.holders.add(holder);
        return {
            add: bytes => this.add(holder, bytes),
            release: () => this.release(holder),
        };
    }

    private add(holder: Holder, bytes: number): void {
        if (!this.holders.has(holder)) {
            return;
        }
        holder.bytes += bytes;
        this.totalBytes += bytes;
        while (this.totalBytes > this.maxBytes) {
            const largest = this.findLargest();
            this.release(largest);
            this.onBrokenOff(largest.bytes);
            largest.breakOff();
        }
    }

    private release(holder: Holder): void {
        if (this.holders.delete(holder)) {
            this.totalBytes -= holder.bytes;
        }
    }

    private findLargest(): Holder {
        return [...this.holders].reduce((largest, holder) => holder.bytes > largest.bytes ? holder : largest);
    }
}
