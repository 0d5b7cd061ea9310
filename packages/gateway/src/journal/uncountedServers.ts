/** Journal servers whose copies do not count towards those that make a turn durable. */
import type { Logger } from "@marigolddrift/common";

/** Interval at which one turn asks a server whether its copies count by now. */
const probeIntervalMs = 1_000;

/**
 * Remembers servers that took a copy and said that it does not count, so that turns do not wait for them. Load pattern: a
 * machine that has just been added, and is the first choice for a share of the programs.
 *
 * @example
 * const uncounted = new UncountedServers(log);
 * uncounted.onAnswer("10.1.0.4:7380", false);
 * const usable = uncounted.select(servers, 2);
 */
export class UncountedServers {
    /** Monotonic time from which each server is asked again. */
    private readonly probeAt = new Map<string, number>();

    constructor(private readonly log: Logger) {}

    has(name: string): boolean {
        return this.probeAt.has(name);
    }

    /** Records what a server said about a copy that it has taken. */
    onAnswer(name: string, counts: boolean): void {
        if (counts === this.has(name)) {
            this.log.info("standing of journal server changed", { machine: name, counts });
        }
        if (counts) {
            this.probeAt.delete(name);
        }
        else {
            this.probeAt.set(name, performance.now() + probeIntervalMs);
        }
    }

    /**
     * Leaves out the servers whose copies do not count. One of the first `count` is tried again now and then, by one turn, if with
     * those that are tried there are enough servers for the turn to be sent to any of them.
     */
    select<T extends { readonly name: string; }>(servers: readonly T[], count: number): T[] {
        const candidates = servers.filter(({ name }) => !this.has(name) || this.isDue(name));
        const mayProbe = candidates.length >= count;
        const selected: T[] = [];
        for (const server of candidates) {
            if (!this.has(server.name)) {
                selected.push(server);
            }
            else if (mayProbe && selected.length < count) {
                this.probeAt.set(server.name, performance.now() + probeIntervalMs);
                selected.push(server);
            }
        }
        return selected;
    }

    private isDue(name: string): boolean {
        return performance.now() >= this.probeAt.get(name)!;
    }
}
