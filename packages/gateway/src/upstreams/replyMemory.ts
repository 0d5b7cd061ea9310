/** Bounds the memory that the replies of all calls in progress need together. */

/** Share of the bound from which large replies are no longer read, but for the oldest of them. */
const pausedShare = 3 / 4;

/** Size up to which a reply is read on, so that ordinary calls are served. */
const unpausedBytes = 64 * 1024;

/** A reply that is kept, or that its caller has not read yet. */
export interface HeldReply {
    /** Counts bytes that have arrived. */
    add(bytes: number): void;
    /** Sets the size of what is kept. */
    resize(bytes: number): void;
    /** The reply needs no memory any more. */
    release(): void;
}

/** Observes what is counted. */
export interface ReplyObserver {
    /** Called with the size of what has arrived. */
    onAllocated?(bytes: number): void;
    /** Called with the size of a reply that is broken off. */
    onBrokenOff?(bytes: number): void;
}

interface Holder {
    bytes: number;
    readonly breakOff: () => void;
    readonly setPaused: ((isPaused: boolean) => void) | undefined;
}

/**
 * Load pattern: large answers to many calls at once, or faulty upstreams that send bytes without end. Each reply is within its own limit,
 * but together they would fill the memory of a small machine, and the calls of all other callers would end with the process. Large ones
 * are read one after the other; one is broken off only if there is no room although no others are read.
 */
export class ReplyMemory {
    /** The oldest first. */
    private readonly holders = new Set<Holder>();
    private readonly paused = new Set<Holder>();
    private totalBytes = 0;
    private resuming: NodeJS.Immediate | undefined;

    /** @param maxBytes Size of all replies together beyond which the largest one is broken off. */
    constructor(private readonly maxBytes: number, private readonly observer: ReplyObserver = {}) {}

    /** Size of all replies in progress. */
    get heldBytes(): number {
        return this.totalBytes;
    }

    /** Number of replies that are not read at present. */
    get pausedReplies(): number {
        return this.paused.size;
    }

    /**
     * Registers a reply.
     *
     * @param breakOff Called at most once, when this reply is the largest one and there is too little memory for all.
     * @param setPaused Stops or resumes reading; missing if the reply has arrived.
     * @example
     * const reply = memory.hold(() => call.abort(new Error("too little memory")));
     */
    hold(breakOff: () => void, setPaused?: (isPaused: boolean) => void): HeldReply {
        const holder: Holder = { bytes: 0, breakOff, setPaused };
        this.holders.add(holder);
        return {
            add: bytes => this.resize(holder, holder.bytes + bytes),
            resize: bytes => this.resize(holder, bytes),
            release: () => this.release(holder),
        };
    }

    private resize(holder: Holder, bytes: number): void {
        if (!this.holders.has(holder)) {
            return;
        }
        const added = bytes - holder.bytes;
        if (added > 0) {
            this.observer.onAllocated?.(added);
        }
        this.totalBytes += added;
        holder.bytes = bytes;
        while (this.totalBytes > this.maxBytes) {
            const largest = this.findLargest();
            this.release(largest);
            this.observer.onBrokenOff?.(largest.bytes);
            largest.breakOff();
        }
        this.pauseLarge();
    }

    private release(holder: Holder): void {
        if (this.holders.delete(holder)) {
            this.totalBytes -= holder.bytes;
            if (this.paused.delete(holder)) {
                holder.setPaused?.(false);
            }
            this.pauseLarge();
        }
    }

    private pauseLarge(): void {
        if (this.isTooMuch) {
            this.largeReplies().slice(1).filter(holder => !this.paused.has(holder)).forEach(holder => {
                this.paused.add(holder);
                holder.setPaused?.(true);
            });
        }
        if (this.paused.size > 0) {
            this.resuming ??= setImmediate(() => this.resumeNext());
        }
    }

    /** Resumes one reply at a time: what it has in its buffers arrives at once, and may leave no room for another one. */
    private resumeNext(): void {
        this.resuming = undefined;
        const [oldest] = this.isTooMuch ? this.largeReplies() : this.paused;
        if (oldest === undefined || !this.paused.delete(oldest)) {
            return;
        }
        oldest.setPaused?.(false);
        this.pauseLarge();
    }

    private get isTooMuch(): boolean {
        return this.totalBytes > this.maxBytes * pausedShare;
    }

    /** The replies that may be paused, the oldest first. */
    private largeReplies(): Holder[] {
        return [...this.holders].filter(({ bytes, setPaused }) => setPaused !== undefined && bytes > unpausedBytes);
    }

    private findLargest(): Holder {
        return [...this.holders].reduce((largest, holder) => holder.bytes > largest.bytes ? holder : largest);
    }
}
