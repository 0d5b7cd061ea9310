/** Simulates a model engine: continuous batching, chunked prefill, priorities and a prefix cache. */
import { PrefixCache } from "./prefixCache.js";
import type { CacheChange, Segment } from "./prefixCache.js";

/** Timing and capacity of a simulated engine. */
export interface EngineProfile {
    readonly prefillMsPerToken: number;
    readonly decodeBaseMs: number;
    readonly decodePerSequenceMs: number;
    readonly importMsPerToken: number;
    readonly maxBatch: number;
    /** Maximum number of tokens to prefill per step. */
    readonly prefillChunk: number;
    /** Memory for prefixes and running sequences, in tokens. */
    readonly memoryTokens: number;
    /** Maximum number of decode steps per timer tick; with 1, each token is delivered at its own time. */
    readonly stepsPerTick: number;
}

/** A call to an engine. */
export interface EngineCall {
    /** Cache key of the conversation, like `prompt_cache_key`. */
    readonly key: string;
    readonly segments: readonly Segment[];
    readonly outputTokens: number;
    /** Digest of the prompt followed by the answer. */
    readonly answerDigest: string;
    /** Calls with lower numbers are admitted first. */
    readonly priority: number;
    /** Called with the number of new tokens. */
    onTokens(count: number): void;
    onDone(usage: EngineUsage): void;
}

/** Token counts of a completed call. */
export interface EngineUsage {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly completionTokens: number;
}

interface Sequence {
    readonly call: EngineCall;
    readonly order: number;
    readonly promptTokens: number;
    cached: number;
    tokensToPrefill: number;
    tokensToImport: number;
    generatedTokens: number;
    cancelled: boolean;
}

/** Load report of an engine. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
    readonly heldTokens: number;
    readonly memoryTokens: number;
}

/** Counters of an engine since its start. */
export interface EngineCounters {
    calls: number;
    completed: number;
    cancelled: number;
    prefilledTokens: number;
    cachedTokens: number;
    importedTokens: number;
    generatedTokens: number;
}

/** Handle of a call in progress. */
export interface EngineCallHandle {
    cancel(): void;
}

/** A simulated engine, driven by timers. */
export class EngineCore {
    readonly cache: PrefixCache;
    readonly counters: EngineCounters = {
        calls: 0,
        completed: 0,
        cancelled: 0,
        prefilledTokens: 0,
        cachedTokens: 0,
        importedTokens: 0,
        generatedTokens: 0,
    };
    /** Factor applied to all step times; 5 makes the engine five times slower. */
    slowdown = 1;
    /** While set, the engine makes no progress. */
    hung = false;
    private readonly waiting: Sequence[] = [];
    private running: Sequence[] = [];
    private reservedOutputTokens = 0;
    private timer: NodeJS.Timeout | undefined;
    private nextArrivalIndex = 0;

    constructor(readonly profile: EngineProfile, onCacheChange?: (change: CacheChange) => void) {
        this.cache = new PrefixCache(profile.memoryTokens, onCacheChange);
    }

    /** Queues a call; its callbacks are invoked as it makes progress. */
    submit(call: EngineCall): EngineCallHandle {
        const promptTokens = call.segments.reduce((sum, segment) => sum + segment.tokens, 0);
        const seq: Sequence = {
            call,
            order: this.nextArrivalIndex++,
            promptTokens,
            cached: 0,
            tokensToPrefill: 0,
            tokensToImport: 0,
            generatedTokens: 0,
            cancelled: false,
        };
        this.counters.calls += 1;
        this.waiting.push(seq);
        this.wake();
        return { cancel: () => this.cancel(seq) };
    }

    load(): EngineLoad {
        return {
            running: this.running.length,
            waiting: this.waiting.length,
            heldTokens: this.cache.heldTokens + this.reservedOutputTokens,
            memoryTokens: this.profile.memoryTokens,
        };
    }

    /** Simulates a crash: stops the engine and discards its calls and cache. */
    crash(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        this.waiting.splice(0);
        this.running = [];
        this.reservedOutputTokens = 0;
        for (const key of this.cache.heldKeys()) {
            this.cache.drop(key);
        }
    }

    private cancel(seq: Sequence): void {
        if (seq.cancelled || seq.generatedTokens >= seq.call.outputTokens) {
            return;
        }
        seq.cancelled = true;
        this.counters.cancelled += 1;
        const index = this.waiting.indexOf(seq);
        if (index >= 0) {
            this.waiting.splice(index, 1);
        }
        else if (this.running.includes(seq)) {
            this.removeRunning(seq);
        }
    }

    private wake(): void {
        if (this.timer === undefined) {
            this.timer = setTimeout(() => this.tick(), 0);
        }
    }

    private tick(): void {
        this.timer = undefined;
        if (this.hung) {
            this.timer = setTimeout(() => this.tick(), 100);
            return;
        }
        this.admit();
        if (this.running.length === 0) {
            return;
        }
        const steps = this.stepsInNextTick();
        let ms = 0;
        const progress = new Map<Sequence, number>();
        for (let step = 0; step < steps; step++) {
            ms += this.simulateStep(progress);
        }
        this.timer = setTimeout(() => this.deliver(progress), ms * this.slowdown);
    }

    private stepsInNextTick(): number {
        const prefilling = this.running.some(seq => seq.tokensToPrefill + seq.tokensToImport > 0);
        if (prefilling) {
            return 1;
        }
        const shortest = Math.min(...this.running.map(seq => seq.call.outputTokens - seq.generatedTokens));
        return Math.max(1, Math.min(this.profile.stepsPerTick, shortest));
    }

    /** Advances all running sequences by one step. Returns the step's duration in milliseconds. */
    private simulateStep(progress: Map<Sequence, number>): number {
        const { profile } = this;
        let chunk = profile.prefillChunk;
        let ms = profile.decodeBaseMs;
        let decoding = 0;
        for (const seq of this.running) {
            if (seq.tokensToImport > 0) {
                const imported = Math.min(chunk * 8, seq.tokensToImport);
                seq.tokensToImport -= imported;
                this.counters.importedTokens += imported;
                ms += imported * profile.importMsPerToken;
            }
            else if (seq.tokensToPrefill > 0) {
                const prefilled = Math.min(chunk, seq.tokensToPrefill);
                chunk -= prefilled;
                seq.tokensToPrefill -= prefilled;
                this.counters.prefilledTokens += prefilled;
                ms += prefilled * profile.prefillMsPerToken;
            }
            else {
                decoding += 1;
                progress.set(seq, (progress.get(seq) ?? 0) + 1);
            }
        }
        return ms + profile.decodePerSequenceMs * Math.max(0, decoding - 1);
    }

    private deliver(progress: ReadonlyMap<Sequence, number>): void {
        this.timer = undefined;
        if (this.hung) {
            this.timer = setTimeout(() => this.deliver(progress), 100);
            return;
        }
        for (const [seq, count] of progress) {
            if (!seq.cancelled) {
                this.advance(seq, count);
            }
        }
        this.wake();
    }

    private advance(seq: Sequence, count: number): void {
        const newTokens = Math.min(count, seq.call.outputTokens - seq.generatedTokens);
        seq.generatedTokens += newTokens;
        this.counters.generatedTokens += newTokens;
        seq.call.onTokens(newTokens);
        if (seq.generatedTokens >= seq.call.outputTokens) {
            this.finish(seq);
        }
    }

    private finish(seq: Sequence): void {
        const { call } = seq;
        this.removeRunning(seq);
        const promptAndAnswer = [...call.segments, { digest: call.answerDigest, tokens: call.outputTokens }];
        if (this.cache.canFit(promptAndAnswer)) {
            this.cache.acquire(promptAndAnswer, call.key);
            this.cache.release(promptAndAnswer);
        }
        this.counters.completed += 1;
        call.onDone({
            promptTokens: seq.promptTokens,
            cachedTokens: seq.cached,
            completionTokens: seq.generatedTokens,
        });
    }

    private removeRunning(seq: Sequence): void {
        this.cache.release(seq.call.segments);
        this.reservedOutputTokens -= seq.call.outputTokens;
        this.running = this.running.filter(other => other !== seq);
    }

    private admit(): void {
        this.waiting.sort((a, b) => a.call.priority - b.call.priority || a.order - b.order);
        while (this.running.length < this.profile.maxBatch && this.waiting.length > 0) {
            const seq = this.waiting[0]!;
            if (this.running.length > 0 && !this.cache.canFit(seq.call.segments)) {
                return;
            }
            this.waiting.shift();
            this.start(seq);
        }
    }

    private start(seq: Sequence): void {
        const { cached, imported } = this.cache.lookup(seq.call.segments);
        this.cache.acquire(seq.call.segments, seq.call.key);
        this.reservedOutputTokens += seq.call.outputTokens;
        seq.cached = cached + imported;
        seq.tokensToImport = imported;
        seq.tokensToPrefill = Math.max(1, seq.promptTokens - seq.cached);
        this.counters.cachedTokens += seq.cached;
        this.running.push(seq);
    }
}
