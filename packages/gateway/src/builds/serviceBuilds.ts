/** What an instance knows of the builds of one service. */

/** Builds that are declared in the store, and those that the entries of upstreams have named lately. */
export class ServiceBuilds {
    /** Revision of the declaration; 0 if there is none. */
    revision = 0;
    private declaredBuilds: ReadonlySet<string> = new Set();
    /** Declared builds that have been away for so long that others may have removed them from the declaration. */
    private readonly outdated = new Set<string>();
    /** Monotonic time at which the entry of an upstream last named a build. */
    private readonly lastSeenAt = new Map<string, number>();
    private readonly followedSince = performance.now();

    /** Builds that may have begun streams that can still be taken up, as last read from the store or written to it. */
    get declared(): ReadonlySet<string> {
        return this.declaredBuilds;
    }

    /** Whether the build may begin streams: every instance that reads the store then knows of it. */
    isDeclared(build: string): boolean {
        return this.declaredBuilds.has(build) && !this.outdated.has(build);
    }

    /** Whether a build is declared, but may have been removed by others meanwhile. */
    isOutdated(build: string): boolean {
        return this.declaredBuilds.has(build) && this.outdated.has(build);
    }

    /** Takes over what was read from the store, or written to it. */
    apply(builds: readonly string[], revision: number): void {
        this.declaredBuilds = new Set(builds);
        this.revision = revision;
        this.outdated.clear();
    }

    /**
     * Called with the builds of the present upstreams.
     *
     * @param maxAwayMs Time for which a build may be away without being declared anew.
     */
    see(builds: Iterable<string>, maxAwayMs: number): void {
        const now = performance.now();
        for (const build of builds) {
            if (this.unseenMs(build) > maxAwayMs) {
                this.outdated.add(build);
            }
            this.lastSeenAt.set(build, now);
        }
    }

    /** Time since the build was last named, or since the entries have been followed if it never was. */
    unseenMs(build: string): number {
        return performance.now() - (this.lastSeenAt.get(build) ?? this.followedSince);
    }

    /** Builds that may have begun streams within `lifetimeMs`, as far as is known here. */
    recent(lifetimeMs: number): Set<string> {
        const seen = [...this.lastSeenAt.keys()].filter(build => this.unseenMs(build) <= lifetimeMs);
        return new Set([...this.declaredBuilds, ...seen]);
    }

    /** Declared builds that no entry has named for some time. */
    unseen(ms: number): string[] {
        return [...this.declaredBuilds].filter(build => this.unseenMs(build) > ms);
    }
}
