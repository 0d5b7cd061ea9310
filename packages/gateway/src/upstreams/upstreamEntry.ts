/** The registration of an upstream in the store. */

/** One running process of an upstream. */
export interface UpstreamEntry {
    /** Id of this process; usually changes with a restart. */
    readonly id: string;
    /** Start time in epoch milliseconds; distinguishes processes with the same id. */
    readonly startedAt: number | undefined;
    readonly service: string;
    /** Version of the software that the process runs. What two builds write does not fit together in one stream. */
    readonly build: string;
    /** Host and port. */
    readonly address: string;
    readonly zone: string;
    /** Number of requests that it runs concurrently. */
    readonly slots: number;
    readonly draining: boolean;
    /** Time for which it stays slow after its start, as of when the entry was written. */
    readonly coldLeftMs?: number | undefined;
}
