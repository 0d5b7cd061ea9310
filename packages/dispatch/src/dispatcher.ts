/** Queues calls per model, and dispatches them in the configured order to the workers that the placement policy chooses. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Metrics, Progress } from "@marigolddrift/common";
import { admit, expectedWaitMs, nextCall } from "@marigolddrift/policy";
import type { AdmissionDecision, Placement, PlacementFunction, WorkerView } from "@marigolddrift/policy";

import type {
    CallQueue,
    DispatchLease,
    DispatchPreview,
    DispatchRequest,
    DispatchTarget,
    OrderFunction,
} from "./dispatchRequest.js";

interface QueuedCall<R extends DispatchRequest> {
    readonly req: R;
    /** The queue that orders the call, if it is not {@link DispatcherOptions.order}. */
    ordered: CallQueue<R> | undefined;
    resolve(lease: DispatchLease): void;
    reject(err: Error): void;
}

interface ModelQueue<R extends DispatchRequest> {
    readonly model: string;
    readonly lane: string | undefined;
    readonly waiting: QueuedCall<R>[];
    meanServiceMs: number;
}

/** Delay after which queued calls are retried if no worker could accept the next one. */
const retryIntervalMs = 50;

/** Assumed mean service time of a model before the first call has completed. */
const initialMeanServiceMs = 2_000;

/** Weight of a new sample in the moving average of the service time. */
const serviceTimeSmoothing = 0.05;

/** Number of worker scores in the log record of a placement. */
const maxLoggedScores = 5;

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions<R extends DispatchRequest = DispatchRequest> {
    readonly place: PlacementFunction;
    /** Defaults to {@link nextCall}. */
    readonly order?: OrderFunction;
    /** Returns the queue that orders the calls of a model in place of `order`; undefined while `order` decides. */
    readonly queueOf?: (model: string) => CallQueue<R> | undefined;
    /** Whether calls are rejected that are not expected to meet their deadline. */
    readonly admission: boolean;
    readonly random: () => number;
}

/** The call queues of one instance, one per model. */
export class Dispatcher<R extends DispatchRequest = DispatchRequest> {
    private readonly queues = new Map<string, ModelQueue<R>>();
    private readonly running = new Map<string, number>();
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly target: DispatchTarget<R>,
        private readonly options: DispatcherOptions<R>,
        private readonly log: Logger,
        private readonly metrics: Metrics,
    ) {}

    /** Queue depth, summed over all models. */
    get waitingCalls(): number {
        return [...this.queues.values()].reduce((sum, queue) => sum + queue.waiting.length, 0);
    }

    /** Number of calls of a workspace that are assigned to workers. */
    runningInWorkspace(workspace: string): number {
        return this.running.get(workspace) ?? 0;
    }

    /** Decides whether a call is admitted, from its deadline and the load of its model. */
    checkAdmission(model: string, firstCall: boolean, leftMs: number, expectedMs: number): AdmissionDecision {
        if (!this.options.admission) {
            return { kind: "admit" };
        }
        const queue = this.queue(model);
        const load = {
            waiting: queue.waiting.length,
            capacity: this.target.capacity(model, queue.meanServiceMs),
            meanServiceMs: queue.meanServiceMs,
        };
        return admit(load, { firstCall, leftMs, expectedMs });
    }

    /** Expected time in the queue of a model after the calls in it and `further` ones. */
    expectedWaitMs(model: string, further: number): number {
        const { waiting, meanServiceMs } = this.queue(model);
        const capacity = this.target.capacity(model, meanServiceMs);
        return expectedWaitMs({ waiting: waiting.length + further, capacity, meanServiceMs });
    }

    /**
     * Tries the placement of a call several times, without queueing it or assigning it to a worker.
     *
     * @param random Returns numbers in [0, 1); not the dispatcher's own, whose sequence would change.
     */
    preview(req: R, views: readonly WorkerView[], tries: number, random: () => number): DispatchPreview {
        const waiting = this.queues.get(req.model)?.waiting ?? [];
        const place = (): Placement => this.options.place(views, req.shape, random, req.program);
        return {
            placements: Array.from({ length: tries }, place),
            waiting: waiting.length,
            isNext: this.wouldBeNext(req, waiting),
            expectedWaitMs: waiting.length === 0 ? 0 : this.expectedWaitMs(req.model, 0),
        };
    }

    /** Whether a call would be dispatched before the waiting ones. A queue that keeps its own order is not asked: it would have to take the call. */
    private wouldBeNext(req: R, waiting: readonly QueuedCall<R>[]): boolean {
        const keepsOrder = this.options.queueOf?.(req.model) !== undefined;
        return waiting.length === 0 || !keepsOrder && this.firstOf([...waiting, { req }]) === waiting.length;
    }

    /** Queues a call and waits until a worker is assigned to it; fails when `progress` ends. */
    async acquire(req: R, progress: Progress): Promise<DispatchLease> {
        const queue = this.queue(req.model, req.lane);
        let entry: QueuedCall<R> | undefined;
        const granted = new Promise<DispatchLease>((resolve, reject) => {
            entry = { req, ordered: this.orderOf(req), resolve, reject };
            queue.waiting.push(entry);
            entry.ordered?.add(req, performance.now());
        });
        this.dispatchQueued(queue);
        try {
            return await progress.race(granted);
        }
        catch (err) {
            const index = queue.waiting.indexOf(entry!);
            if (index >= 0) {
                removeAt(queue.waiting, index);
            }
            else {
                void granted.then(lease => lease.release(), () => {});
            }
            throw err;
        }
    }

    /**
     * Adds a sample to the moving average of a model's service time.
     *
     * @param isComplete Whether the call ran to its end; if not, it would have needed at least this time.
     */
    recordServiceTime(model: string, ms: number, isComplete = true): void {
        const queue = this.queue(model);
        if (isComplete || ms > queue.meanServiceMs) {
            queue.meanServiceMs += serviceTimeSmoothing * (ms - queue.meanServiceMs);
        }
    }

    /** Dispatches queued calls of all models as far as possible, for example after a worker has become available. */
    dispatchAllQueued(): void {
        this.lanesFirst().forEach(queue => this.dispatchQueued(queue));
    }

    private queue(model: string, lane?: string): ModelQueue<R> {
        const name = lane === undefined ? model : JSON.stringify([model, lane]);
        let queue = this.queues.get(name);
        if (queue === undefined) {
            queue = { model, lane, waiting: [], meanServiceMs: initialMeanServiceMs };
            this.queues.set(name, queue);
        }
        return queue;
    }

    /** The order of a lane is that of arrival: it is short, and what waits there has begun elsewhere. */
    private orderOf({ model, lane }: R): CallQueue<R> | undefined {
        return lane === undefined ? this.options.queueOf?.(model) : undefined;
    }

    /** What waits in a lane can use few workers, and would never get one if all others came before it. Empty lanes are dropped. */
    private lanesFirst(): ModelQueue<R>[] {
        const lanes: ModelQueue<R>[] = [];
        const others: ModelQueue<R>[] = [];
        for (const [name, queue] of this.queues) {
            if (queue.lane !== undefined && queue.waiting.length === 0) {
                this.queues.delete(name);
                continue;
            }
            (queue.lane === undefined ? others : lanes).push(queue);
        }
        return [...lanes, ...others];
    }

    private dispatchModel(model: string): void {
        this.lanesFirst().filter(queue => queue.model === model).forEach(queue => this.dispatchQueued(queue));
    }

    private dispatchQueued(queue: ModelQueue<R>): void {
        while (queue.waiting.length > 0) {
            const index = this.chooseNext(queue.waiting);
            const entry = queue.waiting[index];
            if (entry === undefined) {
                this.scheduleRetry();
                return;
            }
            const views = this.target.views(entry.req);
            if (views.length === 0) {
                removeAt(queue.waiting, index);
                entry.reject(noWorkerError(entry.req));
                continue;
            }
            const placement = this.options.place(views, entry.req.shape, this.options.random, entry.req.program);
            if (placement.worker === undefined || !this.target.tryAdmit(placement.worker, entry.req)) {
                this.scheduleRetry();
                return;
            }
            queue.waiting.splice(index, 1);
            this.grant(entry, placement.worker, placement);
        }
    }

    private chooseNext(waiting: readonly QueuedCall<R>[]): number {
        const ordered = this.orderOf(waiting[0]!.req);
        if (ordered !== undefined) {
            return chooseOrdered(ordered, waiting);
        }
        return this.firstOf(waiting);
    }

    private firstOf(waiting: readonly Pick<QueuedCall<R>, "req">[]): number {
        const calls = waiting.map(entry => ({
            ...entry.req,
            workspaceLoad: this.runningInWorkspace(entry.req.workspace),
        }));
        return (this.options.order ?? nextCall)(calls, performance.now());
    }

    private grant(entry: QueuedCall<R>, worker: string, placement: Placement): void {
        const { req } = entry;
        const score = placement.scores.find(candidate => candidate.worker === worker) ?? placement.scores[0]!;
        this.log.info("placement", {
            program: req.program,
            call: req.call,
            choice: worker,
            reason: placement.reason,
            queuedMs: performance.now() - req.enqueuedAt,
            scores: placement.scores.slice(0, maxLoggedScores).map((
                { worker: name, expectedMs },
            ) => [name, Math.round(expectedMs)]),
        });
        this.metrics.timing("dispatch.queued", performance.now() - req.enqueuedAt);
        const assignedAt = performance.now();
        entry.ordered?.onSent(req, assignedAt);
        this.target.onAssigned(worker);
        this.running.set(req.workspace, this.runningInWorkspace(req.workspace) + 1);
        let released = false;
        const release = (): void => {
            if (!released) {
                released = true;
                this.running.set(req.workspace, this.runningInWorkspace(req.workspace) - 1);
                this.target.onReleased(worker);
                const now = performance.now();
                entry.ordered?.onEnded(req, now - assignedAt, now);
                this.dispatchModel(req.model);
            }
        };
        entry.resolve({ worker, score, release });
    }

    private scheduleRetry(): void {
        this.timer ??= setTimeout(() => {
            this.timer = undefined;
            this.dispatchAllQueued();
        }, retryIntervalMs);
    }
}

/** Calls that were queued before the queue with an order of its own came into use are added to it. */
const chooseOrdered = <R extends DispatchRequest>(
    ordered: CallQueue<R>,
    waiting: readonly QueuedCall<R>[],
): number => {
    const now = performance.now();
    if (ordered.size !== waiting.length) {
        for (const entry of waiting) {
            if (entry.ordered !== ordered) {
                entry.ordered?.remove(entry.req, now);
                entry.ordered = ordered;
                ordered.add(entry.req, now);
            }
        }
    }
    const call = ordered.next(now);
    return waiting.findIndex(({ req }) => req === call);
};

const removeAt = <R extends DispatchRequest>(waiting: QueuedCall<R>[], index: number): void => {
    const [entry] = waiting.splice(index, 1);
    entry?.ordered?.remove(entry.req, performance.now());
};

const noWorkerError = (req: DispatchRequest): ProblemError =>
    new ProblemError("no_upstream", "notRun", `No worker of model "${req.model}" can be used now.`, {
        retryAfterSeconds: 2,
    });
