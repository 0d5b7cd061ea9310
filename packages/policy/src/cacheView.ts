/** What an instance believes of prefixes in engine memory; events are late and have gaps, so belief decays. */

interface Belief {
    tokens: number;
    exportedTokens: number;
    at: number;
}

/** Age at which an unconfirmed prefix counts for half, in milliseconds. */
const halfLifeMs = 120_000;

/** Prefixes of programs per worker. */
export class CacheView {
    private readonly programs = new Map<string, Map<string, Belief>>();

    /** Notes what a reply or an event says of a program's prefix on a worker. */
    onCached(program: string, worker: string, tokens: number, now: number): void {
        const workers = this.programs.get(program) ?? new Map<string, Belief>();
        this.programs.set(program, workers);
        workers.set(worker, { tokens, exportedTokens: 0, at: now });
    }

    /** Notes that a worker's prefix was exported. */
    onExported(program: string, worker: string): void {
        const belief = this.programs.get(program)?.get(worker);
        if (belief !== undefined) {
            belief.exportedTokens = belief.tokens;
            belief.tokens = 0;
        }
    }

    /** Notes that a worker no longer holds a program's prefix. */
    onDropped(program: string, worker: string): void {
        const workers = this.programs.get(program);
        workers?.delete(worker);
        if (workers?.size === 0) {
            this.programs.delete(program);
        }
    }

    /** Forgets a program and returns the workers that may hold its prefix. */
    forget(program: string): string[] {
        const workers = [...this.programs.get(program)?.keys() ?? []];
        this.programs.delete(program);
        return workers;
    }

    cachedTokens(program: string, worker: string, now: number): number {
        const belief = this.programs.get(program)?.get(worker);
        return belief === undefined ? 0 : Math.floor(belief.tokens * 0.5 ** ((now - belief.at) / halfLifeMs));
    }

    exportedTokens(program: string, worker: string): number {
        return this.programs.get(program)?.get(worker)?.exportedTokens ?? 0;
    }

    get size(): number {
        return this.programs.size;
    }
}
