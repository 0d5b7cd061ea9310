/** Divides the memory of a process among all that grows with what callers, upstreams and peers send. */

const bytesPerMb = 1024 * 1024;

/** What a process needs besides: the runtime with its code, its heap under a full load of small calls, connections and logs. */
const basicMb = 110;

/** Share of a small machine's memory that is for buffers all the same; its heap has fewer calls to hold. */
const minBufferShare = 0.35;

/** Bounds in bytes. Their sum leaves room for buffers that are no longer used and have not been collected yet. */
export interface MemoryShares {
    /** All buffers, those that are no longer used included. */
    readonly bufferBytes: number;
    /** What callers have sent, or have not read of their answers. Two bodies of the largest size fit into that of 88 MB. */
    readonly inputBytes: number;
    /** Replies of upstreams that have not been passed on. */
    readonly replyBytes: number;
    /** Conversations that calls continue, and turns that are kept for the next ones. */
    readonly conversationBytes: number;
    /** Copies of turns on their way to machines with disks. */
    readonly saveBytes: number;
    /** Turns on a disk that are not known to be in the platform's store yet, for readers; the others are read from the disk. */
    readonly unflushedBytes: number;
    /** Turns that a machine with a disk keeps for readers once they are in the store. */
    readonly flushedBytes: number;
    /** What machines with disks hold of streams that may be taken up. */
    readonly beginningBytes: number;
    /** Requests of peers that are being handled, and responses that they have not read. */
    readonly peerBytes: number;
}

/**
 * Returns the bounds for a process that may use a number of megabytes.
 *
 * @example
 * memoryShares(200).inputBytes === 26_214_400;
 */
export const memoryShares = (memoryMb: number): MemoryShares => {
    const bytes = memoryMb * bytesPerMb;
    return {
        bufferBytes: Math.max(bytes - basicMb * bytesPerMb, bytes * minBufferShare),
        inputBytes: bytes / 8,
        replyBytes: bytes / 16,
        conversationBytes: bytes / 8,
        saveBytes: bytes / 32,
        unflushedBytes: bytes / 16,
        flushedBytes: bytes / 12,
        beginningBytes: bytes / 16,
        peerBytes: bytes / 32,
    };
};
