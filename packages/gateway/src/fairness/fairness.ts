/** State of fair queueing on this instance: the queues by service, and what is known of the durations and the programs of calls. */
import {
    addLoads,
    CallCosts,
    engineUrgency,
    FairQueue,
    loadKey,
    RecentKeys,
    relativeLoad,
    urgencyOfPriority,
    usualLoad,
} from "@marigolddrift/policy";
import type { RegionSlots, WorkspaceLoad } from "@marigolddrift/policy";

import type { CallContext } from "../filters/callContext.js";
import { expectedOutputTokens } from "../placement.js";
import type { QueuedCall } from "../placement.js";
import { defaultCallMs } from "../upstreams/upstreamObserver.js";
import { defaultEngineCost } from "../upstreamViews.js";
import type { WorkspaceTable } from "../workspaces.js";

/** Largest number of refused calls that are remembered. */
const maxRefused = 5_000;

/** Time for which a refused call is remembered: callers return after a third of their time at most, once or twice. */
const refusedTtlMs = 60_000;

/** Largest number of programs that are remembered as having begun. */
const maxPrograms = 10_000;

/** Time after its last call for which a program is known to have begun. */
const programTtlMs = 60_000;

/** Time for which the sum of the loads of this instance and its peers is used; reports come every 200 ms. */
const regionalLoadTtlMs = 50;

/** Name under which the calls of callers without a key share the room; no workspace has an empty name. */
const noWorkspace = "";

/** What is known of the other instances and the upstreams. */
export interface Region {
    /** Calls of the other instances of the region, for the busiest workspaces. */
    loadOfPeers(): WorkspaceLoad;
    slots(service: string): RegionSlots;
}

/** What fair queueing knows on this instance. Used only while the configuration has workspaces. */
export class Fairness {
    /** Times at which refused calls first arrived. */
    readonly refused = new RecentKeys(maxRefused, refusedTtlMs);
    private readonly queues = new Map<string, FairQueue<QueuedCall>>();
    private readonly costs = new CallCosts();
    private regionalLoad: WorkspaceLoad = {};
    private usualLoads: number[] = [];
    private regionalLoadAt = -Infinity;
    private readonly programs = new RecentKeys(maxPrograms, programTtlMs);

    constructor(private readonly workspaces: () => WorkspaceTable | undefined, private readonly region: Region) {}

    get isActive(): boolean {
        return this.workspaces() !== undefined;
    }

    /** Returns the queue of a service; undefined while the configuration has no workspaces. */
    queueOf(service: string): FairQueue<QueuedCall> | undefined {
        if (!this.isActive) {
            return undefined;
        }
        let queue = this.queues.get(service);
        if (queue === undefined) {
            queue = new FairQueue<QueuedCall>({
                relativeLoadOf: (urgency, workspace, weight) => this.relativeLoadOf(urgency, workspace, weight),
                slots: () => this.region.slots(service),
            });
            this.queues.set(service, queue);
        }
        return queue;
    }

    /** Returns the running and waiting calls of this instance by workspace. */
    localLoad(): WorkspaceLoad {
        const calls: Record<string, number> = {};
        if (this.isActive) {
            this.queues.forEach(queue => queue.addCalls(calls));
        }
        return calls;
    }

    /** Returns a call with the properties by which fair queueing orders it. */
    describe(call: QueuedCall, ctx: CallContext): QueuedCall {
        const { program } = ctx.head;
        const cost = this.costs.expectedMs(ctx.route.name, predictedMs(ctx));
        const refusedAt = this.refused.size === 0 ? undefined : this.refused.get(returnKey(ctx), call.enqueuedAt);
        const finishBy = program?.finishInMs === undefined ? Infinity : ctx.arrivedAt + program.finishInMs;
        return {
            ...call,
            workspace: ctx.workspace?.name ?? noWorkspace,
            cost,
            isContinuation: this.hasBegun(ctx),
            weight: this.workspaces()?.weightOf(ctx.workspace) ?? 1,
            firstArrivedAt: refusedAt ?? ctx.arrivedAt,
            isReturning: refusedAt !== undefined,
            startBy: Math.min(call.deadline, finishBy) - cost,
        };
    }

    /** Whether the durations of calls like this one have been measured often enough to refuse others by them. */
    isCostKnown(ctx: CallContext): boolean {
        return this.costs.isKnown(ctx.route.name);
    }

    /** Urgency of a call for an engine. */
    urgencyOf(ctx: CallContext): number {
        const waitedMs = performance.now() - ctx.arrivedAt;
        const queue = this.queueOf(ctx.service.name);
        const name = ctx.workspace?.name ?? noWorkspace;
        const weight = this.workspaces()?.weightOf(ctx.workspace) ?? 1;
        const urgency = urgencyOfPriority(ctx.priority);
        return engineUrgency({
            priority: ctx.priority,
            isContinuation: queue === undefined ? continuesTurn(ctx) : this.hasBegun(ctx),
            runningShare: queue && Math.max(queue.runningShare(name), this.relativeLoadOf(urgency, name, weight)),
            waitedShare: waitedMs / Math.max(1, waitedMs + ctx.progress.leftMs),
        });
    }

    /** Learns from an attempt at an upstream. One that ended early tells only that the call takes at least that time. */
    onAttemptEnded(ctx: CallContext, tookMs: number, isComplete: boolean): void {
        if (!this.isActive) {
            return;
        }
        const predicted = predictedMs(ctx);
        if (isComplete || tookMs > this.costs.expectedMs(ctx.route.name, predicted)) {
            this.costs.onEnded(ctx.route.name, predicted, tookMs);
        }
        const { program } = ctx.head;
        if (isComplete && program !== undefined) {
            this.programs.set(programKey(ctx, program.id), performance.now());
        }
    }

    private relativeLoadOf(urgency: number, workspace: string, weight: number): number {
        const now = performance.now();
        if (now - this.regionalLoadAt >= regionalLoadTtlMs) {
            this.regionalLoadAt = now;
            this.regionalLoad = addLoads(this.region.loadOfPeers(), this.localLoad());
            this.usualLoads = [];
        }
        const usual = this.usualLoads[urgency] ??= usualLoad(urgency, this.regionalLoad);
        return relativeLoad(this.regionalLoad[loadKey(urgency, workspace)] ?? 0, weight, usual);
    }

    /**
     * Whether the program of a call has begun. A tool call without a program seen here belongs to one that has: programs begin
     * with a turn.
     */
    private hasBegun(ctx: CallContext): boolean {
        const { program, prompt } = ctx.head;
        return continuesTurn(ctx) || program !== undefined &&
                (prompt === undefined ||
                    this.programs.get(programKey(ctx, program.id), performance.now()) !== undefined);
    }
}

/** Recognizes a call whose caller sends it again: by its program and path, or else by the whole request. */
export const returnKey = (ctx: CallContext): string => {
    const { program } = ctx.head;
    return program === undefined ?
        ctx.fingerprints().whole :
        `${programKey(ctx, program.id)} ${program.thread} ${ctx.req.method} ${ctx.req.url}`;
};

const programKey = (ctx: CallContext, id: string): string => `${ctx.workspace?.name ?? noWorkspace} ${id}`;

const continuesTurn = (ctx: CallContext): boolean => ctx.head.program?.previousTurnId !== undefined;

/** Slot time of a call by the cost model: reading the prompt and generating the output. */
const predictedMs = ({ head: { prompt } }: CallContext): number => {
    if (prompt === undefined) {
        return defaultCallMs;
    }
    const { prefillMsPerToken, decodeBaseMs } = defaultEngineCost;
    return prompt.promptTokens * prefillMsPerToken + expectedOutputTokens(prompt) * decodeBaseMs;
};
