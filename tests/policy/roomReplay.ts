/** Replays calls against a number of slots in steps of a millisecond, with the previous order or with fair queueing. */
import { admitFairly, FairQueue, fairRetryAfterMs, nextCall } from "@marigolddrift/policy";
import type { FairCall } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";

/** A call of a replayed load. */
export interface LoadCall {
    readonly workspace: string;
    readonly at: number;
    readonly priority: number;
    /** Slot time that it takes. */
    readonly ms: number;
    /** Slot time that is expected before it runs; missing if it is as expected. */
    readonly expectedMs?: number;
    readonly limitMs: number;
    readonly isContinuation: boolean;
}

/** What became of a call. */
export interface Outcome {
    readonly call: LoadCall;
    /** Time at which it started; undefined if it never did. */
    startedAt: number | undefined;
    /** Times at which it was refused. */
    readonly refusedAt: number[];
    /** Times at which its caller returned after a refusal. */
    readonly returnedAt: number[];
}

/** Whether a call ended by its deadline. */
export const isServed = ({ call, startedAt }: Outcome): boolean =>
    startedAt !== undefined && startedAt + call.ms <= call.at + call.limitMs;

/** Share of calls that ended in time. */
export const servedShare = (outcomes: readonly Outcome[]): number => outcomes.filter(isServed).length / outcomes.length;

/** Calls of one workspace at random times. */
export const steadyLoad = (
    random: () => number,
    perSecond: number,
    seconds: number,
    call: Omit<LoadCall, "at">,
    from = 0,
): LoadCall[] =>
    Array.from({ length: Math.round(perSecond * seconds) }, () => ({ ...call, at: from + random() * seconds * 1_000 }));

interface Waiting extends FairCall {
    readonly outcome: Outcome;
}

interface Room {
    add(call: Waiting, now: number): void;
    next(now: number): Waiting | undefined;
    remove(call: Waiting, now: number): void;
    onSent(call: Waiting, now: number): void;
    onEnded(call: Waiting, tookMs: number, now: number): void;
}

/** The order before: one queue by attained service over all workspaces, in which calls wait until their deadline. */
class PreviousRoom implements Room {
    private readonly waiting: Waiting[] = [];
    private running = 0;

    add(call: Waiting): void {
        this.waiting.push(call);
    }

    next(now: number): Waiting | undefined {
        const calls = this.waiting.map(call => ({ ...call, workspace: "route", workspaceLoad: this.running }));
        return this.waiting[nextCall(calls, now)];
    }

    remove(call: Waiting): void {
        const index = this.waiting.indexOf(call);
        if (index >= 0) {
            this.waiting.splice(index, 1);
        }
    }

    onSent(call: Waiting): void {
        this.remove(call);
        this.running += 1;
    }

    onEnded(): void {
        this.running -= 1;
    }
}

/** Longest part of its remaining time for which a caller honours Retry-After. */
const maxHonouredShare = 1 / 3;

/** Number of times that a caller returns. */
const maxReturns = 2;

/** Replays a load and returns what became of each call. */
export const replay = (
    load: readonly LoadCall[],
    slots: number,
    kind: "previous" | "fair",
    random = createRandom(1),
): Outcome[] => {
    const outcomes = load.map<Outcome>(call => ({ call, startedAt: undefined, refusedAt: [], returnedAt: [] }));
    const arrivals = outcomes.map(outcome => ({ at: outcome.call.at, outcome })).sort((a, b) => a.at - b.at);
    const returns: { at: number; outcome: Outcome; }[] = [];
    const fair = kind === "fair" ? new FairQueue<Waiting>() : undefined;
    const room: Room = fair ?? new PreviousRoom();
    const waiting = new Set<Waiting>();
    const running: { endsAt: number; call: Waiting; }[] = [];

    const refuse = ({ outcome, ...call }: Waiting, now: number, waitMs: number): void => {
        outcome.refusedAt.push(now);
        const leftMs = call.deadline - now;
        const at = now + Math.min(fairRetryAfterMs(waitMs, { ...call, leftMs }, random()), leftMs * maxHonouredShare);
        if (outcome.refusedAt.length <= maxReturns) {
            returns.push({ at, outcome });
        }
    };
    const arrive = (outcome: Outcome, now: number): void => {
        const call = toWaiting(outcome, now);
        if (fair !== undefined) {
            if (!call.isReturning) {
                fair.countOffered(call, now);
            }
            const drainRate = fair.drainRate(call, now);
            const decision = admitFairly({
                hasRoom: running.length < slots,
                waiting: fair.size,
                ownWaiting: fair.waitingOf(call),
                isUnderserved: fair.isUnderserved(call, now),
                costAhead: fair.costAhead(call, drainRate === undefined),
                drainRate,
                capacity: slots,
            }, { ...call, leftMs: call.deadline - now });
            if (decision.kind === "refuse") {
                refuse(call, now, decision.waitMs);
                return;
            }
        }
        waiting.add(call);
        room.add(call, now);
    };
    const lastAt = Math.max(...load.map(({ at, limitMs }) => at + limitMs));
    for (let now = 0; now <= lastAt; now++) {
        for (const { call } of running.filter(({ endsAt }) => endsAt <= now)) {
            room.onEnded(call, call.outcome.call.ms, now);
        }
        running.splice(0, running.length, ...running.filter(({ endsAt }) => endsAt > now));
        for (const call of waiting) {
            if (now >= (fair === undefined ? call.deadline : call.startBy)) {
                waiting.delete(call);
                room.remove(call, now);
            }
        }
        for (const { outcome } of returns.filter(({ at }) => at <= now)) {
            outcome.returnedAt.push(now);
            arrive(outcome, now);
        }
        returns.splice(0, returns.length, ...returns.filter(({ at }) => at > now));
        while (arrivals.length > 0 && arrivals[0]!.at <= now) {
            arrive(arrivals.shift()!.outcome, now);
        }
        while (running.length < slots && waiting.size > 0) {
            const call = room.next(now)!;
            waiting.delete(call);
            room.onSent(call, now);
            call.outcome.startedAt = now;
            running.push({ endsAt: now + call.outcome.call.ms, call });
        }
    }
    return outcomes;
};

const toWaiting = (outcome: Outcome, now: number): Waiting => {
    const { workspace, at, priority, ms, expectedMs = ms, limitMs, isContinuation } = outcome.call;
    const deadline = at + limitMs;
    return {
        outcome,
        program: `${workspace} ${at}`,
        workspace,
        attainedMs: 0,
        priority,
        enqueuedAt: now,
        deadline,
        expectedMs,
        workspaceLoad: 0,
        cost: expectedMs,
        isContinuation,
        weight: 1,
        firstArrivedAt: at,
        isReturning: outcome.refusedAt.length > 0,
        startBy: deadline - expectedMs,
    };
};
