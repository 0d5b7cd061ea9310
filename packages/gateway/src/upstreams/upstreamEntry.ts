/** What an upstream says of itself. */

/** One running process of an upstream. */
export interface UpstreamEntry {
    /** Id of this process; a restart mostly brings a new one. */
    readonly id: string;
    /** Time at which it started, in epoch milliseconds; tells processes with the same id apart. */
    readonly startedAt: number | undefined;
    readonly service: string;
    /** Host and port. */
    readonly address: string;
    readonly zone: string;
    /** Requests that it runs at a time. */
    readonly slots: number;
    readonly draining: boolean;
}
