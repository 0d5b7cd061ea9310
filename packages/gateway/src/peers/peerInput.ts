/** Bounds the memory of the requests of peers that are being handled. */

/** A connection whose input can be stopped. */
export interface PausableInput {
    pause(): void;
    resume(): void;
}

/**
 * Load pattern: peers that send large requests faster than they are handled, such as many turns at once over a link that has
 * just come back. Peers are trusted, so that none of them is refused; their connections are not read for a while.
 */
export class PeerInput {
    private readonly paused = new Set<PausableInput>();
    private totalBytes = 0;

    /** @param maxBytes Size of all requests together from which connections are no longer read. */
    constructor(private readonly maxBytes: number) {}

    /** Size of all requests that are being handled. */
    get heldBytes(): number {
        return this.totalBytes;
    }

    /**
     * Counts a request that has arrived.
     *
     * @returns Function that is to be called once when the request has been handled.
     * @example
     * const release = input.add(socket, data.length);
     */
    add(source: PausableInput, bytes: number): () => void {
        this.totalBytes += bytes;
        if (this.totalBytes > this.maxBytes) {
            this.paused.add(source);
            source.pause();
        }
        return () => this.release(bytes);
    }

    /** Forgets a connection that has ended. */
    forget(source: PausableInput): void {
        this.paused.delete(source);
    }

    private release(bytes: number): void {
        this.totalBytes -= bytes;
        if (this.totalBytes <= this.maxBytes) {
            this.paused.forEach(source => source.resume());
            this.paused.clear();
        }
    }
}
