/** Saves turns and loads the conversation that a new turn continues. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import { splitTurn, turnMemoryBytes } from "./turnRecord.js";
import type { Conversation, TurnRecord } from "./turnRecord.js";

/** Memory limit of the record cache. */
const maxCacheBytes = 24 * 1024 * 1024;

/** Size up to which the text of a turn is stored in one record; a store accepts values of several times that size. */
const defaultMaxTailBytes = 250 * 1024;

/** Time after which callers may retry if an earlier turn was not found. */
const retryAfterSeconds = 0.5;

/** Identifies a turn. The program determines which journal servers hold it. */
export interface TurnRef {
    readonly id: string;
    readonly program: string;
}

/** A turn to save. */
export interface TurnToSave {
    readonly turn: TurnRecord;
    readonly program: string;
    /** Time for which the turn can be continued. */
    readonly keepMs: number;
}

/** Durable storage of turns. */
export interface TurnArchive {
    /** Resolves once the record is durable, that is, it survives as many failures as the settings tolerate. */
    save(turnToSave: TurnToSave, progress: Progress): Promise<void>;
    /** Resolves to undefined only if the turn certainly does not exist. */
    load(ref: TurnRef, progress: Progress): Promise<TurnRecord | undefined>;
}

/** In-memory LRU cache in front of an archive. */
export class TurnStore {
    private readonly cache = new Map<string, TurnRecord>();
    private cachedBytes = 0;

    constructor(
        private readonly archive: TurnArchive,
        private readonly log: Logger,
        private readonly maxTailBytes = defaultMaxTailBytes,
    ) {}

    /** Saves a turn durably and caches it. A long one is saved in several records, each after the one that it refers to. */
    async save(turnToSave: TurnToSave, progress: Progress): Promise<void> {
        for (const turn of splitTurn(turnToSave.turn, this.maxTailBytes)) {
            await this.archive.save({ ...turnToSave, turn }, progress);
        }
        this.addToCache(turnToSave.turn);
    }

    /**
     * Loads the conversation that ends with a turn.
     *
     * @throws ProblemError `unknown_turn` if the turn certainly does not exist or is not kept any more, `not_durable` if that is
     * not certain.
     */
    async loadConversation({ id: last, program }: TurnRef, progress: Progress): Promise<Conversation> {
        const isCached = this.cache.has(last);
        const startedAt = performance.now();
        const turn = await this.load({ id: last, program }, progress);
        if (turn === undefined) {
            throw new ProblemError("unknown_turn", "notRun", "No turn with this id is kept.");
        }
        const tails = [turn.tail];
        for (let base = turn.base; base !== undefined;) {
            const earlier: TurnRecord | undefined = await this.load({ id: base, program }, progress);
            if (earlier === undefined) {
                throw this.missingBaseError(turn, base);
            }
            tails.unshift(earlier.tail);
            base = earlier.base;
        }
        if (!isCached) {
            const ms = Math.round(performance.now() - startedAt);
            this.log.info("conversation loaded", { turn: last, records: tails.length, ms });
        }
        return { last: turn, history: tails.length === 1 ? turn.tail : Buffer.concat(tails) };
    }

    /** A record that others refer to is removed only after them, unless they are not kept any more either. */
    private missingBaseError(turn: TurnRecord, missing: string): ProblemError {
        const isKept = turn.keptUntil !== undefined && Date.now() < turn.keptUntil;
        this.log.warn("an earlier turn of the conversation is missing", { turn: turn.id, missing, isKept });
        return isKept ?
            new ProblemError("not_durable", "notRun", "An earlier turn of the conversation was not found.", {
                retryAfterSeconds,
            }) :
            new ProblemError("unknown_turn", "notRun", "A turn of the conversation is no longer kept.");
    }

    private async load(ref: TurnRef, progress: Progress): Promise<TurnRecord | undefined> {
        const { id } = ref;
        const cached = this.cache.get(id);
        if (cached !== undefined) {
            this.cache.delete(id);
            this.cache.set(id, cached);
            return cached;
        }
        const turn = await this.archive.load(ref, progress);
        if (turn !== undefined) {
            this.addToCache(turn);
        }
        return turn;
    }

    private addToCache(turn: TurnRecord): void {
        if (this.cache.has(turn.id)) {
            return;
        }
        this.cache.set(turn.id, turn);
        this.cachedBytes += turnMemoryBytes(turn);
        for (const [id, oldest] of this.cache) {
            if (this.cachedBytes <= maxCacheBytes) {
                return;
            }
            this.cache.delete(id);
            this.cachedBytes -= turnMemoryBytes(oldest);
        }
    }
}
