/** Journal servers that have been too slow, as with a failing disk. */

/** Time for which a server that was too slow is only used when others are not enough. */
const avoidMs = 2_000;

/** Time that one turn has to find out whether the server responds again, before another one tries. */
const probeMs = 500;

/**
 * Remembers servers that did not acknowledge a copy in time. Load pattern: a disk that takes a second for each sync, at a
 * server that is otherwise sound. Turns would wait for it until they are hedged, and hedges are limited.
 *
 * @example
 * const late = new LateServers();
 * late.onTimeout("10.1.0.4:7380");
 * const [first, second] = late.order(servers, 2);
 */
export class LateServers {
    /** Monotonic time until which each server is avoided. */
    private readonly avoidedUntil = new Map<string, number>();

    onTimeout(name: string): void {
        this.avoidedUntil.set(name, performance.now() + avoidMs);
    }

    onAcknowledged(name: string): void {
        this.avoidedUntil.delete(name);
    }

    /**
     * Puts the servers that are avoided behind the others. One of the first `count` that has been avoided for long enough is
     * tried again, by this turn alone.
     */
    order<T extends { readonly name: string; }>(servers: readonly T[], count: number): T[] {
        const first: T[] = [];
        const later: T[] = [];
        const avoided: T[] = [];
        for (const server of servers) {
            const isNeeded = first.length < count;
            const group = !this.mayUse(server.name, isNeeded) ? avoided : isNeeded ? first : later;
            group.push(server);
        }
        return [...first, ...later, ...avoided];
    }

    private mayUse(name: string, isNeeded: boolean): boolean {
        const until = this.avoidedUntil.get(name);
        const now = performance.now();
        if (until === undefined) {
            return true;
        }
        if (now < until || !isNeeded) {
            return false;
        }
        this.avoidedUntil.set(name, now + probeMs);
        return true;
    }
}
