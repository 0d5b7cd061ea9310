/** Orders waiting calls by the service their whole program has attained. */

/** A call that waits for a worker. */
export interface WaitingCall {
    readonly program: string;
    readonly workspace: string;
    /** Engine time that the program's calls have used, in milliseconds. */
    readonly attainedMs: number;
    /** Operator priority, 0 first and 9 last. */
    readonly priority: number;
    /** Time of the monotonic clock at which the call began to wait, in milliseconds. */
    readonly since: number;
    /** Time of the monotonic clock by which the program is to end, in milliseconds. */
    readonly deadline: number;
    /** Expected engine time of this call, in milliseconds. */
    readonly expectedMs: number;
    /** Calls of the same workspace that run now, divided by its weight. */
    readonly workspaceLoad: number;
}

const middlePriority = 5;

/** Milliseconds of attained service that one millisecond of waiting outweighs. */
const agingRate = 0.5;

/** Slack, as a multiple of the expected time, below which a call is urgent. */
const urgentSlack = 3;

/** Milliseconds of attained service that one running call of the same workspace counts as. */
const workspaceLoadMs = 200;

/** Key of a call; the smallest goes first. */
export const orderKey = (call: WaitingCall, now: number): number => {
    const service = call.attainedMs + call.expectedMs + call.workspaceLoad * workspaceLoadMs;
    const weighted = service * 2 ** (call.priority - middlePriority);
    const urgent = call.deadline - now < urgentSlack * call.expectedMs ? 0.5 : 1;
    return weighted * urgent - agingRate * (now - call.since);
};

/** Index of the call that goes first, or -1 if none waits. */
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

/** Attained service up to which programs are served in the order in which they come, in milliseconds. */
const firstClassMs = 10_000;

/** Priority that an engine gets for a call: logarithmic classes of attained service. */
export const enginePriority = (attainedMs: number, priority: number): number =>
    Math.floor(Math.log2(1 + attainedMs / firstClassMs)) + priority;

/** The order in which the calls came, to compare with. */
export const firstCome = (calls: readonly WaitingCall[]): number => calls.length > 0 ? 0 : -1;
