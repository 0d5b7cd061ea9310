/** Keeps turns, and builds the prompt of a turn that continues others. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import { turnBytes } from "./turnRecord.js";
import type { TurnRecord } from "./turnRecord.js";

/** Bytes of records that stay in memory. */
const cacheBytes = 24 * 1024 * 1024;

/** A turn, and the program whose turns are kept together. */
export interface TurnName {
    readonly id: string;
    readonly program: string;
}

/** A turn that is to be kept. */
export interface TurnToKeep {
    readonly turn: TurnRecord;
    readonly program: string;
    /** Time for which it can be continued, in milliseconds. */
    readonly keepMs: number;
}

/** Where turns are kept durably. */
export interface TurnArchive {
    /** Resolves once the record survives all losses that the settings tolerate. */
    save(kept: TurnToKeep, progress: Progress): Promise<void>;
    /** Resolves to undefined only if it is certain that there is no such turn. */
    load(name: TurnName, progress: Progress): Promise<TurnRecord | undefined>;
}

/** The conversation that a turn continues. */
export interface Conversation {
    /** Its last turn. */
    readonly last: TurnRecord;
    /** Inputs and outputs of its turns in order. */
    readonly history: Buffer;
}

/** Turns in memory in front of an archive. */
export class TurnStore {
    private readonly cache = new Map<string, TurnRecord>();
    private cachedBytes = 0;

    constructor(private readonly archive: TurnArchive, private readonly log: Logger) {}

    /** Makes a turn durable. */
    async save(kept: TurnToKeep, progress: Progress): Promise<void> {
        await this.archive.save(kept, progress);
        this.remember(kept.turn);
    }

    /**
     * Loads the conversation that ends with a turn.
     *
     * @throws ProblemError `unknown_turn` if it is certain that there is no such turn.
     */
    async conversation({ id: last, program }: TurnName, progress: Progress): Promise<Conversation> {
        const isCached = this.cache.has(last);
        const startedAt = performance.now();
        const turn = await this.load({ id: last, program }, progress);
        if (turn === undefined) {
            throw new ProblemError("unknown_turn", "notRun", "No turn with this id is kept.");
        }
        const tails = [turn.tail];
        for (let base = turn.base; base !== undefined;) {
            const before: TurnRecord | undefined = await this.load({ id: base, program }, progress);
            if (before === undefined) {
                this.log.warn("conversation has a gap", { turn: last, missing: base });
                throw new ProblemError("unknown_turn", "notRun", "A turn of the conversation is no longer kept.");
            }
            tails.unshift(before.tail);
            base = before.base;
        }
        if (!isCached) {
            const ms = Math.round(performance.now() - startedAt);
            this.log.info("conversation loaded", { turn: last, records: tails.length, ms });
        }
        return { last: turn, history: tails.length === 1 ? turn.tail : Buffer.concat(tails) };
    }

    private async load(name: TurnName, progress: Progress): Promise<TurnRecord | undefined> {
        const { id } = name;
        const cached = this.cache.get(id);
        if (cached !== undefined) {
            this.cache.delete(id);
            this.cache.set(id, cached);
            return cached;
        }
        const turn = await this.archive.load(name, progress);
        if (turn !== undefined) {
            this.remember(turn);
        }
        return turn;
    }

    private remember(turn: TurnRecord): void {
        if (this.cache.has(turn.id)) {
            return;
        }
        this.cache.set(turn.id, turn);
        this.cachedBytes += turnBytes(turn);
        for (const [id, oldest] of this.cache) {
            if (this.cachedBytes <= cacheBytes) {
                return;
            }
            this.cache.delete(id);
            this.cachedBytes -= turnBytes(oldest);
        }
    }
}
