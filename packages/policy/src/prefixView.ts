/** An instance's estimate of the prompt parts cached on each worker, for prompts that share their leading parts. */

interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Maximum number of parts tracked per worker; evicted in least-recently-used order, as on the worker. */
const maxPartsPerWorker = 4_000;

/** Estimated cached prompt parts by worker. */
export class PrefixView {
    private readonly workers = new Map<string, Set<string>>();

    /** Records that a worker has processed a prompt and so caches its parts. */
    onPrefilled(worker: string, parts: readonly PromptPart[]): void {
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

    /** Tokens of a prompt's leading parts that are cached on a worker. */
    cachedTokens(worker: string, parts: readonly PromptPart[]): number {
        const held = this.workers.get(worker);
        const firstMissing = parts.findIndex(part => held?.has(part.id) !== true);
        const cached = firstMissing < 0 ? parts : parts.slice(0, firstMissing);
        return cached.reduce((sum, part) => sum + part.tokens, 0);
    }

    /** Removes a worker that is no longer available. */
    removeWorker(worker: string): void {
        this.workers.delete(worker);
    }
}
