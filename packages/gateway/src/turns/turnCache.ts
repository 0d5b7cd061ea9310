/** Records of turns in memory: those that calls continue, and others for as long as there is room. */
import type { HeldRoom, MemoryRoom, Reclaimable } from "../memory/memoryRoom.js";
import { turnMemoryBytes } from "./turnRecord.js";
import type { TurnRecord } from "./turnRecord.js";

interface CachedTurn {
    readonly turn: TurnRecord;
    readonly room: HeldRoom;
    readonly bytes: number;
    /** Number of calls that need the record, which stays as long as there is one. */
    uses: number;
}

/** A record that stays in memory until it is no longer used. */
export interface UsedTurn {
    readonly turn: TurnRecord;
    /** To be called once. */
    release(): void;
}

/** Each record is in memory once, however many calls use it; those that none uses are given up, the least recently used first. */
export class TurnCache implements Reclaimable {
    private readonly entries = new Map<string, CachedTurn>();
    private unusedBytes = 0;

    constructor(private readonly memory: MemoryRoom) {
        memory.reclaimable = this;
    }

    get reclaimableBytes(): number {
        return this.unusedBytes;
    }

    has(id: string): boolean {
        return this.entries.has(id);
    }

    get(id: string): TurnRecord | undefined {
        return this.entries.get(id)?.turn;
    }

    /** Whether a call uses the record, so that another one needs no memory for it. */
    isUsed(id: string): boolean {
        return (this.entries.get(id)?.uses ?? 0) > 0;
    }

    /** Keeps a record until the memory is needed for another one. */
    add(turn: TurnRecord): void {
        if (!this.has(turn.id) && this.memory.fits(turnMemoryBytes(turn))) {
            this.insert(turn, 0);
        }
    }

    /** Adds a record that a call uses. */
    addUsed(turn: TurnRecord): UsedTurn {
        return this.use(turn.id) ?? this.toUsed(this.insert(turn, 1));
    }

    /** Returns undefined if the record is not in memory. */
    use(id: string): UsedTurn | undefined {
        const entry = this.entries.get(id);
        if (entry === undefined) {
            return undefined;
        }
        if (entry.uses === 0) {
            this.unusedBytes -= entry.bytes;
        }
        entry.uses += 1;
        return this.toUsed(entry);
    }

    reclaim(bytes: number): void {
        let left = bytes;
        for (const [id, { uses, bytes: size, room }] of this.entries) {
            if (left <= 0) {
                return;
            }
            if (uses === 0) {
                this.entries.delete(id);
                this.unusedBytes -= size;
                left -= size;
                room.release();
            }
        }
    }

    private insert(turn: TurnRecord, uses: number): CachedTurn {
        const bytes = turnMemoryBytes(turn);
        // Others make room for the record before it counts as one that can be given up.
        const room = this.memory.hold(bytes);
        const entry: CachedTurn = { turn, bytes, uses, room };
        this.entries.set(turn.id, entry);
        this.unusedBytes += uses === 0 ? bytes : 0;
        return entry;
    }

    private toUsed(entry: CachedTurn): UsedTurn {
        const { turn } = entry;
        return {
            turn,
            release: () => {
                entry.uses -= 1;
                if (entry.uses === 0) {
                    this.unusedBytes += entry.bytes;
                    // The record becomes the most recently used one.
                    this.entries.delete(turn.id);
                    this.entries.set(turn.id, entry);
                    this.memory.onReclaimable();
                }
            },
        };
    }
}
