/** The memory of an instance that serves callers, with a bound for each kind of what it holds. */
import { ReplyMemory } from "../upstreams/replyMemory.js";
import { BufferCollector } from "./bufferCollector.js";
import { MemoryRoom } from "./memoryRoom.js";
import { memoryShares } from "./memoryShares.js";
import type { MemoryShares } from "./memoryShares.js";

/** Memory of a process whose settings name no bounds. */
const defaultMemoryMb = 200;

/** Divides the memory of one process; all that is allocated is reported to one collector. */
export class ProcessMemory {
    readonly shares: MemoryShares;
    readonly collector: BufferCollector;
    readonly replies: ReplyMemory;
    /** Conversations that calls continue, and turns that are kept for the next ones. */
    readonly conversations: MemoryRoom;
    /** Copies of turns that are being saved. */
    readonly saves: MemoryRoom;

    /** @param shares Bounds in place of those of a process with 200 MB. */
    constructor(shares: Partial<MemoryShares> = {}) {
        this.shares = { ...memoryShares(defaultMemoryMb), ...shares };
        this.collector = new BufferCollector(this.shares.bufferBytes);
        const onAllocated = (bytes: number): void => this.collector.onAllocated(bytes);
        this.replies = new ReplyMemory(this.shares.replyBytes, {
            onAllocated,
            onBrokenOff: bytes => this.collector.onRefused(bytes),
        });
        this.conversations = new MemoryRoom(this.shares.conversationBytes, onAllocated);
        this.saves = new MemoryRoom(this.shares.saveBytes, onAllocated);
    }
}
