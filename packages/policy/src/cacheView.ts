/**
 * An instance's estimate of the prefixes cached in engine memory. Cache events arrive late and with gaps, so an estimate
 * decays unless it is confirmed.
 */

interface PrefixEstimate {
    tokens: number;
    exportedTokens: number;
    at: number;
}

/** Age at which an unconfirmed prefix counts for half of its tokens. */
const halfLifeMs = 120_000;

/** Estimated cached and exported prefix tokens by program and worker. */
export class CacheView {
    private readonly programs = new Map<string, Map<string, PrefixEstimate>>();

    /** Records the length of a program's cached prefix as reported by a worker's reply or cache event. */
    onCached(program: string, worker: string, tokens: number, now: number): void {
        const workers = this.programs.get(program) ?? new Map<string, PrefixEstimate>();
        this.programs.set(program, workers);
        workers.set(worker, { tokens, exportedTokens: 0, at: now });
    }

    /** Records that a program's prefix was exported from a worker's memory. */
    onExported(program: string, worker: string): void {
        const belief = this.programs.get(program)?.get(worker);
        if (belief !== undefined) {
            belief.exportedTokens = belief.tokens;
            belief.tokens = 0;
        }
    }

    /** Records that a worker no longer caches a program's prefix. */
    onDropped(program: string, worker: string): void {
        const workers = this.programs.get(program);
        workers?.delete(worker);
        if (workers?.size === 0) {
            this.programs.delete(program);
        }
    }

    /** Removes a program and returns the workers that may still cache its prefix. */
    removeProgram(program: string): string[] {
        const workers = [...this.programs.get(program)?.keys() ?? []];
        this.programs.delete(program);
        return workers;
    }

    /** Estimated cached tokens, decayed by the age of the last report. */
    cachedTokens(program: string, worker: string, now: number): number {
        const belief = this.programs.get(program)?.get(worker);
        return belief === undefined ? 0 : Math.floor(belief.tokens * 0.5 ** ((now - belief.at) / halfLifeMs));
    }

    exportedTokens(program: string, worker: string): number {
        return this.programs.get(program)?.get(worker)?.exportedTokens ?? 0;
    }

    /** Number of programs with an estimate on any worker. */
    get size(): number {
        return this.programs.size;
    }
}
