/** What an instance believes of prompt parts in engine memory: for prompts that share their first parts. */

interface PartOfPrompt {
    readonly id: string;
    readonly tokens: number;
}

/** Parts remembered of one worker; the least recently used are forgotten first, as on the worker. */
const maxPartsPerWorker = 4_000;

/** Prompt parts per worker. */
export class PrefixView {
    private readonly workers = new Map<string, Set<string>>();

    /** Notes that a worker has read a prompt. */
    onRead(worker: string, parts: readonly PartOfPrompt[]): void {
        const held = this.workers.get(worker) ?? new Set<string>();
        this.workers.set(worker, held);
        for (const { id } of parts) {
            held.delete(id);
            held.add(id);
        }
        for (const oldest of held) {
            if (held.size <= maxPartsPerWorker) {
                return;
            }
            held.delete(oldest);
        }
    }

    /** Tokens at the beginning of a prompt that a worker need not read again. */
    cachedTokens(worker: string, parts: readonly PartOfPrompt[]): number {
        const held = this.workers.get(worker);
        const firstMissing = parts.findIndex(part => held?.has(part.id) !== true);
        const cached = firstMissing < 0 ? parts : parts.slice(0, firstMissing);
        return cached.reduce((sum, part) => sum + part.tokens, 0);
    }

    /** Forgets a worker that is gone. */
    forget(worker: string): void {
        this.workers.delete(worker);
    }
}
