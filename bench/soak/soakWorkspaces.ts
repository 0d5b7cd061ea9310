/** Workspaces of the soak's configuration, and which API keys were in force when. */

/** Names of the workspaces, in the configuration and on the wire. */
export const workspaceNames = ["red", "green", "blue"] as const;

/** A workspace whose callers send far more than its quota permits. */
export const crowdedWorkspace = "crowd";

/** Quota of {@link crowdedWorkspace}, on the wire. */
export const crowdQuota = { ratePerS: 40, burst: 20 };

/** Quota that callers of the other workspaces never reach. */
const generousQuota = { ratePerS: 10_000, burst: 10_000 };

/** Beginning of all keys, by which they are found where they must not be. */
export const keyMark = "soak-key-";

/** Time for which a key stays in force at least; longer than it takes to be known everywhere. */
const minKeyMs = 6_000;

/** A key and the time for which it was in a configuration that the store had accepted. */
export interface IssuedKey {
    readonly key: string;
    readonly workspace: string;
    /** Monotonic time; -Infinity for a key that has been there from the start. */
    readonly addedAt: number;
    removedAt: number;
}

/** Issues and removes keys: each workspace has a lasting key and one that is replaced. */
export class SoakWorkspaces {
    private readonly issued = new Map<string, IssuedKey>();
    private nextKey = 0;
    private nextWorkspace = 0;

    constructor(private readonly withCrowd: boolean) {
        for (const workspace of this.names) {
            this.issue(workspace, -Infinity);
            this.issue(workspace, performance.now());
        }
    }

    /** Returns the workspaces as the platform's configuration has them. */
    tenants(): Record<string, unknown>[] {
        return this.names.map(name => ({
            name,
            apiKeys: this.inForce(name).map(({ key }) => key),
            priority: 0,
            ...(name === crowdedWorkspace ? crowdQuota : generousQuota),
        }));
    }

    /** Replaces a key, if one is old enough. To be called just before a configuration is written. */
    replaceKey(): void {
        const workspace = workspaceNames[this.nextWorkspace++ % workspaceNames.length]!;
        const now = performance.now();
        const replaced = this.inForce(workspace).find(({ addedAt }) => addedAt > -Infinity && now - addedAt > minKeyMs);
        if (replaced !== undefined) {
            replaced.removedAt = now;
            this.issue(workspace, now);
        }
    }

    find(key: string | undefined): IssuedKey | undefined {
        return key === undefined ? undefined : this.issued.get(key);
    }

    inForce(workspace: string): IssuedKey[] {
        return [...this.issued.values()].filter(issued =>
            issued.workspace === workspace && issued.removedAt === Infinity
        );
    }

    /** Keys that have been removed, the latest first. */
    removed(): IssuedKey[] {
        return [...this.issued.values()].filter(({ removedAt }) => removedAt < Infinity).sort((a, b) =>
            b.removedAt - a.removedAt
        );
    }

    private get names(): readonly string[] {
        return this.withCrowd ? [...workspaceNames, crowdedWorkspace] : workspaceNames;
    }

    private issue(workspace: string, addedAt: number): void {
        const key = `${keyMark}${workspace}-${this.nextKey++}`;
        this.issued.set(key, { key, workspace, addedAt, removedAt: Infinity });
    }
}
