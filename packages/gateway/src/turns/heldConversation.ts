/** A conversation in memory, for as long as a call needs it. */
import { ChunkedBytes } from "../memory/chunkedBytes.js";
import type { UsedTurn } from "./turnCache.js";
import { lastTurnOf } from "./turnRecord.js";
import type { Conversation, LastTurn } from "./turnRecord.js";

/** The records of a conversation, which calls that continue it share. */
export class HeldConversation implements Conversation {
    readonly last: LastTurn;
    readonly bytes: number;
    /** Whether the history is no longer in memory. */
    isReleased = false;
    private records: readonly UsedTurn[];

    /**
     * @param records From the first one to that of the last turn.
     * @param onReleased Called once, when the history is no longer needed.
     */
    constructor(records: readonly UsedTurn[], private readonly onReleased: () => void = () => {}) {
        this.records = records;
        this.last = lastTurnOf(records.at(-1)!.turn);
        this.bytes = records.reduce((sum, { turn }) => sum + turn.tail.length, 0);
    }

    /**
     * Inputs and outputs of all turns in order.
     *
     * @throws Error if the conversation has been released.
     */
    get history(): ChunkedBytes {
        if (this.isReleased) {
            throw new Error("the conversation has been released");
        }
        return ChunkedBytes.of(...this.records.map(({ turn }) => turn.tail));
    }

    /** The history is no longer needed. Can be called more than once. */
    release(): void {
        const { isReleased, records } = this;
        if (isReleased) {
            return;
        }
        this.isReleased = true;
        this.records = [];
        records.forEach(record => record.release());
        this.onReleased();
    }
}
