/** Orders queued calls by least attained service, measured over all calls of a program. */

/** A call that is queued for a worker. */
export interface WaitingCall {
    readonly program: string;
    readonly workspace: string;
    /** Engine time that the program's calls have used so far. */
    readonly attainedMs: number;
    /** Priority set by the operator, from 0 (highest) to 9 (lowest). */
    readonly priority: number;
    /** Monotonic time, in milliseconds, at which the call was queued. */
    readonly enqueuedAt: number;
    /** Monotonic time, in milliseconds, by which the program must end. */
    readonly deadline: number;
    /** Expected engine time of this call. */
    readonly expectedMs: number;
    /** Running calls of the same workspace, divided by the workspace's weight. */
    readonly workspaceLoad: number;
}

const neutralPriority = 5;

/** Milliseconds of attained service that one millisecond of waiting offsets, so that long programs do not starve. */
const agingRate = 0.5;

/** Time until the deadline, as a multiple of the expected time, below which a call is urgent. */
const urgentSlack = 3;

/** Attained service that each running call of the same workspace counts as, for fair sharing between workspaces. */
const msPerWorkspaceLoad = 200;

/** Sort key of a call; the call with the smallest key is dispatched first. */
export const orderKey = (call: WaitingCall, now: number): number => {
    const service = call.attainedMs + call.expectedMs + call.workspaceLoad * msPerWorkspaceLoad;
    const weighted = service * 2 ** (call.priority - neutralPriority);
    const urgent = call.deadline - now < urgentSlack * call.expectedMs ? 0.5 : 1;
    return weighted * urgent - agingRate * (now - call.enqueuedAt);
};

/** Index of the call to dispatch first, or -1 if there is none. */
export const nextCall = (calls: readonly WaitingCall[], now: number): number => {
    let best = -1;
    let bestKey = Infinity;
    calls.forEach((call, index) => {
        const key = orderKey(call, now);
        if (key < bestKey) {
            best = index;
            bestKey = key;
        }
    });
    return best;
};

/** Attained service up to which programs are in the first priority class, where they are served in order of arrival. */
const firstClassServiceMs = 10_000;

/** Priority passed to the engine: the logarithmic class of attained service plus an offset. */
export const enginePriority = (attainedMs: number, priority: number): number =>
    Math.floor(Math.log2(1 + attainedMs / firstClassServiceMs)) + priority;

/** First-come-first-served order, as a baseline. */
export const firstComeFirstServed = (calls: readonly WaitingCall[]): number => calls.length > 0 ? 0 : -1;
