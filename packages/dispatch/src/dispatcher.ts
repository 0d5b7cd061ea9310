/** Queues calls per model and gives each to the worker where it is expected to finish first. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Metrics, Progress } from "@marigolddrift/common";
import { admit, nextCall } from "@marigolddrift/policy";
import type {
    AdmissionDecision,
    CallShape,
    PlaceFunction,
    Placement,
    Score,
    WaitingCall,
    WorkerView,
} from "@marigolddrift/policy";

/** A call that asks for a worker. */
export interface DispatchRequest extends WaitingCall {
    readonly model: string;
    readonly call: number;
    readonly shape: CallShape;
    readonly firstCall: boolean;
    /** Workers that failed this call already. */
    readonly excluded: ReadonlySet<string>;
    /** Bytes of the request, which count if it crosses regions. */
    readonly bytes: number;
}

/** Leave to use a worker for one call. */
export interface DispatchLease {
    readonly worker: string;
    readonly score: Score;
    release(): void;
}

/** What the dispatcher knows of the workers, and what it tells others. */
export interface DispatchTarget<R extends DispatchRequest = DispatchRequest> {
    /** Workers that may get calls for the model now. */
    views(req: R): WorkerView[];
    /** Calls that the model's workers run at a time. */
    capacity(model: string): number;
    /** Notes that a call goes to a worker, or left it. */
    onAssigned(worker: string): void;
    onReleased(worker: string): void;
    /** Whether the call may go there, for example within the budget of the region link. */
    allows(worker: string, req: R): boolean;
}

/** Chooses the next of the waiting calls. */
export type OrderFunction = (calls: readonly WaitingCall[], now: number) => number;

interface Waiting<R extends DispatchRequest> {
    readonly req: R;
    resolve(lease: DispatchLease): void;
    reject(err: Error): void;
}

interface ModelQueue<R extends DispatchRequest> {
    readonly waiting: Waiting<R>[];
    meanServiceMs: number;
}

/** Period at which waiting calls are considered again although nothing happened, in milliseconds. */
const repumpMs = 50;
const initialServiceMs = 2_000;
const serviceRate = 0.05;
const loggedScores = 5;

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions {
    readonly place: PlaceFunction;
    readonly order?: OrderFunction;
    readonly admission: boolean;
    readonly random: () => number;
}

/** The queues of one instance. */
export class Dispatcher<R extends DispatchRequest = DispatchRequest> {
    private readonly queues = new Map<string, ModelQueue<R>>();
    private readonly running = new Map<string, number>();
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly target: DispatchTarget<R>,
        private readonly options: DispatcherOptions,
        private readonly log: Logger,
        private readonly metrics: Metrics,
    ) {}

    /** Calls that wait for a worker. */
    get waitingCalls(): number {
        return [...this.queues.values()].reduce((sum, queue) => sum + queue.waiting.length, 0);
    }

    /** Calls of a workspace that run now. */
    runningOf(workspace: string): number {
        return this.running.get(workspace) ?? 0;
    }

    /** Whether a call can be expected to finish in time. */
    admission(model: string, firstCall: boolean, leftMs: number, expectedMs: number): AdmissionDecision {
        if (!this.options.admission) {
            return { kind: "admit" };
        }
        const queue = this.queue(model);
        const load = {
            waiting: queue.waiting.length,
            capacity: this.target.capacity(model),
            meanServiceMs: queue.meanServiceMs,
        };
        return admit(load, { firstCall, leftMs, expectedMs });
    }

    /** Waits for a worker. */
    async acquire(req: R, progress: Progress): Promise<DispatchLease> {
        const queue = this.queue(req.model);
        let entry: Waiting<R> | undefined;
        const granted = new Promise<DispatchLease>((resolve, reject) => {
            entry = { req, resolve, reject };
            queue.waiting.push(entry);
        });
        this.pump(req.model);
        try {
            return await progress.race(granted);
        }
        catch (err) {
            const index = queue.waiting.indexOf(entry!);
            if (index >= 0) {
                queue.waiting.splice(index, 1);
            }
            else {
                void granted.then(lease => lease.release(), () => {});
            }
            throw err;
        }
    }

    /** Notes how long a call of a model took on its worker. */
    onServed(model: string, ms: number): void {
        const queue = this.queue(model);
        queue.meanServiceMs += serviceRate * (ms - queue.meanServiceMs);
    }

    /** Considers the waiting calls of all models, for example after a worker came back. */
    pumpAll(): void {
        [...this.queues.keys()].forEach(model => this.pump(model));
    }

    private queue(model: string): ModelQueue<R> {
        let queue = this.queues.get(model);
        if (queue === undefined) {
            queue = { waiting: [], meanServiceMs: initialServiceMs };
            this.queues.set(model, queue);
        }
        return queue;
    }

    private pump(model: string): void {
        const queue = this.queue(model);
        while (queue.waiting.length > 0) {
            const index = this.chooseNext(queue.waiting);
            const entry = queue.waiting[index]!;
            const views = this.target.views(entry.req);
            if (views.length === 0) {
                queue.waiting.splice(index, 1);
                entry.reject(noWorker(entry.req));
                continue;
            }
            const placement = this.options.place(views, entry.req.shape, this.options.random, entry.req.program);
            if (placement.worker === undefined || !this.target.allows(placement.worker, entry.req)) {
                this.repumpLater();
                return;
            }
            queue.waiting.splice(index, 1);
            this.grant(entry, placement.worker, placement);
        }
    }

    private chooseNext(waiting: readonly Waiting<R>[]): number {
        const calls = waiting.map(entry => ({ ...entry.req, workspaceLoad: this.runningOf(entry.req.workspace) }));
        return (this.options.order ?? nextCall)(calls, performance.now());
    }

    private grant(entry: Waiting<R>, worker: string, placement: Placement): void {
        const { req } = entry;
        const score = placement.scores.find(candidate => candidate.worker === worker) ?? placement.scores[0]!;
        this.log.info("placement", {
            program: req.program,
            call: req.call,
            choice: worker,
            reason: placement.reason,
            queuedMs: performance.now() - req.since,
            scores: placement.scores.slice(0, loggedScores).map((
                { worker: name, expectedMs },
            ) => [name, Math.round(expectedMs)]),
        });
        this.metrics.timing("dispatch.queued", performance.now() - req.since);
        this.target.onAssigned(worker);
        this.running.set(req.workspace, this.runningOf(req.workspace) + 1);
        let released = false;
        const release = (): void => {
            if (!released) {
                released = true;
                this.running.set(req.workspace, this.runningOf(req.workspace) - 1);
                this.target.onReleased(worker);
                this.pump(req.model);
            }
        };
        entry.resolve({ worker, score, release });
    }

    private repumpLater(): void {
        this.timer ??= setTimeout(() => {
            this.timer = undefined;
            this.pumpAll();
        }, repumpMs);
    }
}

const noWorker = (req: DispatchRequest): ProblemError =>
    new ProblemError("no_upstream", "notRun", `No worker of model "${req.model}" can be used now.`, {
        retryAfterSeconds: 2,
    });
