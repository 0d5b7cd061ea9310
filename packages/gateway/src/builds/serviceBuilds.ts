/** What an instance knows of the builds of one service. */
import { currentMoment, elapsedMs } from "../elapsed.js";
import type { Moment } from "../elapsed.js";

/**
 * Time for which an instance lets streams begin after it has last read the declaration or written it. A build is retired in the
 * declaration for this time and the lifetime of a stream before it is removed, so that an instance that is cut off from the store has
 * stopped beginning streams there by then. Longer, it bears a longer outage of the store; shorter, records end earlier after a release.
 */
export const maxDeclarationAgeMs = 10 * 60_000;

/** What a declaration says beside its builds, and when. */
export interface AppliedDeclaration {
    /** Builds that are to be removed from the declaration. */
    readonly retired?: readonly string[];
    /** When the read or write began. */
    readonly startedAt?: Moment;
}

/** Builds that are declared in the store, and those that the entries of upstreams have named lately. */
export class ServiceBuilds {
    /** Revision of the declaration; 0 if there is none. */
    revision = 0;
    private declaredBuilds: ReadonlySet<string> = new Set();
    private retiredBuilds: ReadonlySet<string> = new Set();
    /** When the last read or write of the declaration began. */
    private checkedAt: Moment | undefined;
    /** Monotonic time at which the revision was first seen here. */
    private revisionSince = performance.now();
    /** Monotonic time at which the declaration was last read or written. */
    private appliedAt = -Infinity;
    /** Declared builds that have been away for so long that others may have removed them from the declaration. */
    private readonly outdated = new Set<string>();
    /** Monotonic time at which the entry of an upstream, or a peer, last named a build. */
    private readonly lastSeenAt = new Map<string, number>();
    /** Builds that the entries of upstreams have named here. */
    private readonly listed = new Set<string>();
    private readonly followedSince = performance.now();

    /** Builds that may have begun streams that can still be taken up, as last read from the store or written to it. */
    get declared(): ReadonlySet<string> {
        return this.declaredBuilds;
    }

    /** Declared builds that are to be removed. They begin no streams. */
    get retired(): ReadonlySet<string> {
        return this.retiredBuilds;
    }

    /** Whether the build may begin streams: every instance that reads the store then knows of it. */
    isDeclared(build: string): boolean {
        return this.isCurrent(build) && this.isFresh;
    }

    /** Whether the build was declared when the declaration was last read, and need not be declared anew. */
    isCurrent(build: string): boolean {
        return this.declaredBuilds.has(build) && !this.isOutdated(build);
    }

    /** Whether a build is declared, but may have been removed by others meanwhile, or will be. */
    isOutdated(build: string): boolean {
        return this.declaredBuilds.has(build) && (this.outdated.has(build) || this.retiredBuilds.has(build));
    }

    /** Whether the declaration was read so lately that no build which began streams by it has been removed since. */
    get isFresh(): boolean {
        return this.checkedAt !== undefined && elapsedMs(this.checkedAt) < maxDeclarationAgeMs;
    }

    /** Time for which the declaration has not been changed, as far as is known here. */
    get unchangedMs(): number {
        return performance.now() - this.revisionSince;
    }

    /**
     * Takes over what was read from the store, or written to it, unless it is older than what is known.
     */
    apply(
        builds: readonly string[],
        revision: number,
        { retired = [], startedAt = currentMoment() }: AppliedDeclaration = {},
    ): void {
        // A lower revision is news only if its read began after the last one had ended: the key was removed by hand.
        if (revision < this.revision && startedAt.monotonicMs < this.appliedAt) {
            return;
        }
        if (revision !== this.revision) {
            this.revisionSince = performance.now();
        }
        this.declaredBuilds = new Set(builds);
        this.retiredBuilds = new Set(retired);
        this.revision = revision;
        this.appliedAt = performance.now();
        this.outdated.clear();
        if (this.checkedAt === undefined || startedAt.monotonicMs >= this.checkedAt.monotonicMs) {
            this.checkedAt = startedAt;
        }
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
            this.listed.add(build);
        }
    }

    /** Called with builds that a peer has seen. Declared ones are left as they are: how long they have been away here counts. */
    announce(builds: readonly string[]): void {
        const now = performance.now();
        builds.filter(build => !this.declaredBuilds.has(build)).forEach(build => this.lastSeenAt.set(build, now));
    }

    /** Whether an entry has named the build since this instance follows them; if not, the entries that are known here may be late. */
    hasBeenListed(build: string): boolean {
        return this.listed.has(build);
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
