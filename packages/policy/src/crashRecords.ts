/**
 * Recognizes calls that end the upstreams that run them. Load pattern: the same call comes again through any instance and
 * ends one upstream after the other, each time with all innocent calls that run there.
 */

/** The end of an upstream while it had not begun to answer the call. */
export interface Crash {
    /** Identifies the upstream's process, so that what several instances see of its end counts once. */
    readonly upstream: string;
    /** Monotonic time in milliseconds. */
    readonly at: number;
}

/** What is known of a call that upstreams have ended with. */
export interface CrashRecord {
    readonly crashes: readonly Crash[];
    /** Monotonic time at which it was last answered, which shows that it does not end its upstream. */
    readonly clearedAt: number;
}

/** Number of upstreams that must have ended with a call before it is blocked: others run beside it and end with them, too. */
export const crashesUntilBlocked = 3;

/** Time after its latest crash for which a call is blocked. After it, a single further crash blocks it again. */
const blockedMs = 600_000;

/** Time after which a call that several upstreams ended with is no longer remembered. */
const rememberedMs = 3_600_000;

/** Time after which a call that one upstream ended with, or that was answered, is no longer remembered. */
const suspectedMs = 600_000;

/** Differences between instances in the time of one event: they tell each other its age, without the time on the way. */
const clockSlackMs = 2_000;

const emptyRecord: CrashRecord = { crashes: [], clearedAt: -Infinity };

const withoutCleared = ({ crashes, clearedAt }: CrashRecord): CrashRecord => ({
    crashes: crashes.filter(({ at }) => at > clearedAt),
    clearedAt,
});

/** Adds the end of an upstream; the same end counts only once. */
export const addCrash = (record: CrashRecord | undefined, crash: Crash): CrashRecord =>
    mergeCrashRecords(record, { crashes: [crash], clearedAt: -Infinity });

/** Clears the call of all crashes until now. */
export const clearCrashes = (record: CrashRecord | undefined, now: number): CrashRecord =>
    withoutCleared({ crashes: record?.crashes ?? [], clearedAt: now });

/** Combines what two instances know: in any order and as often as they tell each other, all come to the same result. */
export const mergeCrashRecords = (known: CrashRecord | undefined, received: CrashRecord): CrashRecord => {
    const { crashes, clearedAt } = known ?? emptyRecord;
    const byUpstream = new Map<string, number>();
    for (const { upstream, at } of [...crashes, ...received.crashes]) {
        byUpstream.set(upstream, Math.max(at, byUpstream.get(upstream) ?? -Infinity));
    }
    return withoutCleared({
        crashes: [...byUpstream].map(([upstream, at]) => ({ upstream, at })),
        clearedAt: Math.max(clearedAt, received.clearedAt),
    });
};

/** Whether a record tells more than another one. Times that differ a little are those of the same event. */
export const isNews = (known: CrashRecord | undefined, merged: CrashRecord): boolean =>
    merged.clearedAt > (known?.clearedAt ?? -Infinity) + clockSlackMs ||
    merged.crashes.some(({ upstream }) => !(known?.crashes ?? []).some(crash => crash.upstream === upstream));

const latestCrashAt = ({ crashes }: CrashRecord): number => Math.max(-Infinity, ...crashes.map(({ at }) => at));

/** A call that enough upstreams ended with, and those of them that no blocked call explains. */
interface Suspect {
    readonly fingerprint: string;
    readonly record: CrashRecord;
    unexplained: number;
}

/**
 * Finds the calls that must not be sent to an upstream, from the one that explains the most crashes on. Calls that ended only
 * beside blocked ones are let through; one further crash blocks them, too, as nothing explains that.
 *
 * @param records Records by the calls' fingerprints.
 * @param compare Orders fingerprints that explain as many crashes, in the same way at all instances.
 */
export const findBlocked = (
    records: Iterable<readonly [string, CrashRecord]>,
    now: number,
    compare: (a: string, b: string) => number,
): Set<string> => {
    const blocked = new Set<string>();
    const explained = new Set<string>();
    let suspects: Suspect[] = [...records].filter(([, { crashes }]) => crashes.length >= crashesUntilBlocked).map((
        [fingerprint, record],
    ) => ({ fingerprint, record, unexplained: record.crashes.length }));
    while (suspects.length > 0) {
        const [first, ...others] = suspects.sort((a, b) =>
            b.unexplained - a.unexplained || compare(a.fingerprint, b.fingerprint)
        );
        first!.record.crashes.forEach(({ upstream }) => explained.add(upstream));
        if (now - latestCrashAt(first!.record) < blockedMs) {
            blocked.add(first!.fingerprint);
        }
        const count = ({ crashes }: CrashRecord): number =>
            crashes.filter(({ upstream }) => !explained.has(upstream)).length;
        suspects = others.map(suspect => ({ ...suspect, unexplained: count(suspect.record) })).filter(suspect =>
            suspect.unexplained > 0
        );
    }
    return blocked;
};

/** Whether the record is of no more use. */
export const isForgotten = (record: CrashRecord, now: number): boolean =>
    now - Math.max(latestCrashAt(record), record.clearedAt) >=
        (record.crashes.length > 1 ? rememberedMs : suspectedMs);
