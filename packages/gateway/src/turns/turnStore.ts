/** Saves turns and loads the conversation that a new turn continues. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import { MemoryRoom, smallBytes } from "../memory/memoryRoom.js";
import { HeldConversation } from "./heldConversation.js";
import { TurnCache } from "./turnCache.js";
import type { UsedTurn } from "./turnCache.js";
import { splitTurn, turnMemoryBytes } from "./turnRecord.js";
import type { TurnRecord } from "./turnRecord.js";

/** Memory for conversations if the settings name none: that of a process with 200 MB. */
const defaultConversationBytes = 25 * 1024 * 1024;

/** Memory for turns that are being saved if the settings name none. */
const defaultSaveBytes = 6 * 1024 * 1024;

/** Size up to which the text of a turn is stored in one record; a store accepts values of several times that size. */
const defaultMaxTailBytes = 250 * 1024;

/** Copies of a record while it is saved: encoded, in a frame for each of two machines, and masked in each frame. */
const copiesPerSave = 5;

/** Time after which callers may retry if an earlier turn was not found. */
const retryAfterSeconds = 0.5;

/** Largest output of one turn, for which a conversation must have room. */
const maxOutputBytes = 4 * 1024 * 1024;

/** Share of a caller's time for which a turn may wait for memory; the rest is for running it. */
const waitShare = 1 / 2;

/** Identifies a turn. The program determines which journal servers hold it. */
export interface TurnRef {
    readonly id: string;
    readonly program: string;
}

/** What a turn adds to the conversation that it continues. */
export interface ContinuingTurn {
    /** Size of its input. */
    readonly inputBytes: number;
    /** Turns of one group, such as a workspace, wait for memory in order, those of several groups in turn. */
    readonly group: string;
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

/** Bounds of a {@link TurnStore}. */
export interface TurnStoreOptions {
    readonly maxTailBytes?: number | undefined;
    /** Memory for conversations that calls continue, and for turns that are kept for the next ones. */
    readonly conversations?: MemoryRoom | undefined;
    /** Memory for what turns need while they are saved. */
    readonly saves?: MemoryRoom | undefined;
}

/** Conversations in memory in front of an archive. */
export class TurnStore {
    /** Memory of the conversations that calls continue, and of turns that are kept for the next ones. */
    readonly conversations: MemoryRoom;
    /** Memory of what turns need while they are saved. */
    readonly saves: MemoryRoom;
    private readonly cache: TurnCache;
    private readonly maxTailBytes: number;
    /** Conversations that are being loaded, by their last turn; each resolves to why that has failed, or to undefined. */
    private readonly loads = new Map<string, Promise<unknown>>();

    constructor(private readonly archive: TurnArchive, private readonly log: Logger, options: TurnStoreOptions = {}) {
        this.conversations = options.conversations ?? new MemoryRoom(defaultConversationBytes);
        this.saves = options.saves ?? new MemoryRoom(defaultSaveBytes);
        this.maxTailBytes = options.maxTailBytes ?? defaultMaxTailBytes;
        this.cache = new TurnCache(this.conversations);
    }

    /** Saves a turn durably and caches it. A long one is saved in several records, each after the one that it refers to. */
    async save(turnToSave: TurnToSave, progress: Progress): Promise<void> {
        const { turn } = turnToSave;
        const room = this.conversations.hold(turnMemoryBytes(turn));
        try {
            for (const part of splitTurn(turn, this.maxTailBytes)) {
                await this.savePart({ ...turnToSave, turn: part }, progress);
            }
        }
        finally {
            room.release();
        }
        this.cache.add(turn);
    }

    /**
     * Loads the conversation that a turn continues. Turns that continue the same one share it in memory; one for which there is no room
     * waits. To be released.
     *
     * @throws ProblemError `unknown_turn` if the turn certainly does not exist or is not kept any more, `not_durable` if that is
     * not certain, `conversation_too_large` if there would never be room for it, `input_refused` if there is no room in time.
     * @example
     * const conversation = await turns.loadConversation({ id: "turn-1", program: "p" }, progress);
     * conversation.release();
     */
    async loadConversation(
        last: TurnRef,
        progress: Progress,
        turn: ContinuingTurn = { inputBytes: 0, group: "" },
    ): Promise<HeldConversation> {
        for (;;) {
            const running = this.loads.get(last.id);
            if (running === undefined) {
                return await this.loadAlone(last, turn, progress);
            }
            const failure = await progress.race(running);
            if (failure instanceof ProblemError && failure.code === "unknown_turn") {
                throw failure;
            }
        }
    }

    /** Other turns that continue the same conversation wait meanwhile, and find it in memory. */
    private async loadAlone(last: TurnRef, turn: ContinuingTurn, progress: Progress): Promise<HeldConversation> {
        const { id } = last;
        const load = this.load(last, turn, progress);
        this.loads.set(id, load.then(() => undefined, (err: unknown) => err));
        try {
            return await load;
        }
        finally {
            this.loads.delete(id);
        }
    }

    private async load(
        last: TurnRef,
        { inputBytes, group }: ContinuingTurn,
        progress: Progress,
    ): Promise<HeldConversation> {
        const startedAt = performance.now();
        const isCached = this.cache.has(last.id);
        const found = await this.loadRecord(last, progress);
        if (found === undefined) {
            throw new ProblemError("unknown_turn", "notRun", "No turn with this id is kept.");
        }
        found.release();
        this.checkSize(found.turn, inputBytes);
        const chain: UsedTurn[] = [];
        try {
            await this.loadChain(found.turn, chain, { program: last.program, group }, progress);
        }
        catch (err) {
            chain.forEach(record => record.release());
            throw err;
        }
        const loadedAt = performance.now();
        const conversation: HeldConversation = new HeldConversation(chain.reverse(), () => {
            if (conversation.bytes > smallBytes) {
                this.conversations.recordHold(performance.now() - loadedAt);
            }
        });
        if (!isCached) {
            const ms = Math.round(loadedAt - startedAt);
            this.log.info("conversation loaded", { turn: last.id, bytes: conversation.bytes, ms });
        }
        return conversation;
    }

    /** Waits for room, and loads the records from the last one to the first one. */
    private async loadChain(
        last: TurnRecord,
        chain: UsedTurn[],
        { program, group }: { readonly program: string; readonly group: string; },
        progress: Progress,
    ): Promise<void> {
        const { conversationBytes = 0 } = last;
        const missingBytes = (): number => chain.reduce((rest, { turn }) => rest - turn.tail.length, conversationBytes);
        const room = await this.conversations.acquire(
            {
                bytes: () => conversationBytes - this.usedBytes(last),
                take: () => {
                    this.useCached(last, chain);
                    return missingBytes();
                },
                group,
                key: last.id,
                maxWaitMs: progress.leftMs * waitShare,
            },
            progress,
        );
        try {
            for (let { base } = chain.at(-1)!.turn; base !== undefined;) {
                const earlier = await this.loadRecord({ id: base, program }, progress);
                if (earlier === undefined) {
                    throw this.missingBaseError(last, base);
                }
                chain.push(earlier);
                room.resize(Math.max(0, missingBytes()));
                base = earlier.turn.base;
            }
        }
        finally {
            room.release();
        }
    }

    /** Size of the records of a conversation that other calls use, and that need no memory again. */
    private usedBytes(last: TurnRecord): number {
        let bytes = 0;
        for (let turn: TurnRecord | undefined = last; turn !== undefined;) {
            bytes += this.cache.isUsed(turn.id) ? turn.tail.length : 0;
            turn = turn.base === undefined ? undefined : this.cache.get(turn.base);
        }
        return bytes;
    }

    /** Uses the records of a conversation that are in memory, from the last one on. */
    private useCached(last: TurnRecord, chain: UsedTurn[]): void {
        for (let used: UsedTurn | undefined = this.cache.addUsed(last); used !== undefined;) {
            chain.push(used);
            const { base }: TurnRecord = used.turn;
            used = base === undefined ? undefined : this.cache.use(base);
        }
    }

    /** Refuses the turn after which the conversation could not be continued, rather than the next one. */
    private checkSize({ conversationBytes = 0 }: TurnRecord, inputBytes: number): void {
        const maxBytes = this.conversations.maxBytes - maxOutputBytes;
        if (conversationBytes + inputBytes > maxBytes) {
            throw new ProblemError(
                "conversation_too_large",
                "notRun",
                `The conversation has ${conversationBytes} bytes, and there is room for ${maxBytes} with the input.`,
            );
        }
    }

    private async savePart(part: TurnToSave, progress: Progress): Promise<void> {
        const bytes = part.turn.tail.length * copiesPerSave;
        // Never refused: the turn has run, and its caller has most of it.
        const request = { bytes: () => bytes, group: "", key: part.turn.id, maxWaitMs: Infinity };
        const room = await this.saves.acquire(request, progress);
        const startedAt = performance.now();
        try {
            await this.archive.save(part, progress);
        }
        finally {
            room.release();
            if (bytes > smallBytes) {
                this.saves.recordHold(performance.now() - startedAt);
            }
        }
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

    private async loadRecord(ref: TurnRef, progress: Progress): Promise<UsedTurn | undefined> {
        const used = this.cache.use(ref.id);
        if (used !== undefined) {
            return used;
        }
        const turn = await this.archive.load(ref, progress);
        return turn && this.cache.addUsed(turn);
    }
}
