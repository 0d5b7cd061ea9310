/** One instance of the scheduler in the bench: the daemon's own dispatcher, memory and views, on bench engines. */
import { createMetrics, ProblemError, Progress, silentLogger } from "@marigolddrift/common";
import { EngineMemory, LinkBudget, Upstream, WorkerPool } from "@marigolddrift/daemon";
import type { WorkerDirectory } from "@marigolddrift/daemon";
import { Dispatcher } from "@marigolddrift/dispatch";
import type { DispatchLease, DispatchRequest } from "@marigolddrift/dispatch";
import { enginePriority } from "@marigolddrift/policy";
import type { CostModel } from "@marigolddrift/policy";
import type { EngineUsage, Segment } from "@marigolddrift/standins";
import type { RunRecorder } from "@marigolddrift/workload";

import type { BenchEngine } from "./benchEngine.js";
import type { BenchPolicy } from "./policies.js";

const model = "m";
const stallMs = 4_000;
const maxAttempts = 20;
const meanRate = 0.3;
const initialAnswerTokens = 64;
const sameZoneMs = 0.5;
const otherZoneMs = 1.5;
const otherRegionMs = 20;
const middlePriority = 5;
const unbounded = 1_000_000;

/** A program as its owner knows it. */
export interface BenchProgram {
    readonly name: string;
    readonly agent: string;
    readonly deadline: number;
    segments: Segment[];
    attainedMs: number;
    meanAnswerTokens: number;
    turns: number;
    pauseKind: string;
    pausedAt: number;
}

/** A call that is to be made. */
export interface BenchRequest {
    readonly index: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly nextTool: string;
}

/** Where an instance stands, and where the zones are. */
export interface BenchPlace {
    readonly zone: string;
    readonly regions: Readonly<Record<string, string>>;
}

const tokensOf = (segments: readonly Segment[]): number => segments.reduce((sum, segment) => sum + segment.tokens, 0);

/** Settles with the usage, or undefined if the engine failed. */
interface AttemptResult {
    readonly usage: EngineUsage | undefined;
    readonly refused: boolean;
}

/** Schedules the programs that it owns. */
export class BenchScheduler implements WorkerDirectory {
    readonly memory: EngineMemory;
    readonly dispatcher: Dispatcher;
    private readonly upstreams = new Map<string, Upstream>();
    private readonly metrics = createMetrics({ host: "", port: 8125 }, {});
    /** Regions that this instance cannot reach now. */
    readonly cutRegions = new Set<string>();

    constructor(
        private readonly place: BenchPlace,
        private readonly engines: ReadonlyMap<string, BenchEngine>,
        private readonly policy: BenchPolicy,
        private readonly recorder: RunRecorder,
        random: () => number,
    ) {
        engines.forEach(({ address, zone }) => this.upstreams.set(address, new Upstream(address, zone, () => {})));
        this.memory = new EngineMemory(
            {
                release: async (worker, program) => void this.engines.get(worker)?.core.cache.drop(program),
                export: async (worker, program) => void this.engines.get(worker)?.core.cache.exportKey(program),
            },
            silentLogger,
            this.metrics,
        );
        const region = place.regions[place.zone] ?? "";
        const identity = { instance: place.zone, zone: place.zone, region, address: "" };
        const pool = new WorkerPool(identity, this, this.memory, new LinkBudget(2_500_000));
        const options = { place: policy.createPlace(), order: policy.order, admission: policy.admission, random };
        this.dispatcher = new Dispatcher(pool, options, silentLogger, this.metrics);
    }

    workersFor(): Upstream[] {
        return [...this.upstreams.values()].filter(upstream => !this.cutRegions.has(this.regionOf(upstream.zone)));
    }

    get(address: string): Upstream | undefined {
        return this.upstreams.get(address);
    }

    costOf(worker: string): CostModel {
        const { profile } = this.engines.get(worker)!;
        return { ...profile, maxBatch: this.policy.boundsInFlight ? profile.maxBatch : unbounded };
    }

    regionOf(zone: string): string {
        return this.place.regions[zone] ?? "";
    }

    maxInFlightPerWorker(): number {
        return Math.max(...[...this.engines.values()].map(engine => engine.profile.maxBatch));
    }

    /** Takes a load report of an engine. */
    onLoad(
        engine: BenchEngine,
        load: { running: number; waiting: number; heldTokens: number; memoryTokens: number; },
        ageMs: number,
    ): void {
        const report = { worker: engine.address, ...load, ageMs, leaving: engine.leaving, models: [model] };
        this.upstreams.get(engine.address)!.onLoadReport(report, Date.now());
        this.upstreams.get(engine.address)!.setLeaving("report", engine.leaving);
    }

    /** Makes a call of a program, on as many engines as it takes. */
    async call(program: BenchProgram, req: BenchRequest): Promise<void> {
        const prompt = [...program.segments, { digest: `${program.name}/u${req.index}`, tokens: req.promptTokens }];
        const progress = new Progress(program.deadline - Date.now());
        try {
            if (program.pausedAt > 0) {
                this.memory.pauseModel.onReturn(program.pauseKind, Date.now() - program.pausedAt);
            }
            this.admit(program, progress);
            await this.complete(program, req, prompt, progress);
        }
        finally {
            progress.dispose();
        }
    }

    /** The program has ended. */
    onEnded(program: BenchProgram): void {
        this.memory.pauseModel.onEnd(program.pauseKind);
        if (this.policy.retention) {
            this.memory.onEnded(program.name);
        }
        else {
            this.memory.cacheView.removeProgram(program.name);
        }
    }

    private admit(program: BenchProgram, progress: Progress): void {
        const decision = this.dispatcher.checkAdmission(model, program.turns === 0, progress.leftMs, 0);
        if (decision.kind === "refuse") {
            const retryAfterSeconds = Math.ceil(decision.retryAfterMs / 1000);
            throw new ProblemError("overloaded", "notRun", decision.reason, { retryAfterSeconds });
        }
    }

    private async complete(
        program: BenchProgram,
        req: BenchRequest,
        prompt: Segment[],
        progress: Progress,
    ): Promise<void> {
        const excluded = new Set<string>();
        const startedAt = Date.now();
        const delivered = { tokens: 0, lastAt: startedAt };
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
            const resumed = delivered.tokens === 0 ?
                [] :
                [{ digest: `${program.name}/r${req.index}-${delivered.tokens}`, tokens: delivered.tokens }];
            const lease = await this.acquire(program, req, [...prompt, ...resumed], excluded, progress);
            const sentAt = Date.now();
            const result = await this.attempt(program, req, [...prompt, ...resumed], lease, delivered, startedAt);
            lease.release();
            program.attainedMs += Date.now() - sentAt;
            const upstream = this.upstreams.get(lease.worker)!;
            if (result.usage !== undefined) {
                upstream.onSuccess();
                upstream.onLatencyObserved((Date.now() - sentAt) / (lease.score.expectedMs || 1));
                this.dispatcher.recordServiceTime(model, Date.now() - sentAt);
                this.finish(program, req, prompt, lease.worker, result.usage);
                return;
            }
            upstream.onFailure(result.refused, Date.now());
            this.memory.cacheView.onDropped(program.name, lease.worker);
            excluded.add(lease.worker);
        }
        throw new ProblemError("upstream_failed", "mayHaveRun", "no engine completed the call");
    }

    private acquire(
        program: BenchProgram,
        req: BenchRequest,
        prompt: readonly Segment[],
        excluded: ReadonlySet<string>,
        progress: Progress,
    ): Promise<DispatchLease> {
        const promptTokens = tokensOf(prompt);
        const expectedTokens = program.meanAnswerTokens || initialAnswerTokens;
        const request: DispatchRequest = {
            program: program.name,
            workspace: "w",
            attainedMs: program.attainedMs,
            priority: middlePriority,
            enqueuedAt: performance.now(),
            deadline: performance.now() + program.deadline - Date.now(),
            expectedMs: expectedTokens * 20,
            workspaceLoad: 0,
            model,
            call: req.index,
            shape: { promptTokens, expectedTokens },
            firstCall: program.turns === 0,
            excluded,
            bytes: promptTokens * 4,
        };
        return this.dispatcher.acquire(request, progress);
    }

    private attempt(
        program: BenchProgram,
        req: BenchRequest,
        prompt: readonly Segment[],
        lease: DispatchLease,
        delivered: { tokens: number; lastAt: number; },
        startedAt: number,
    ): Promise<AttemptResult> {
        const engine = this.engines.get(lease.worker)!;
        return new Promise(resolve => {
            const { waitMs, prefillMs } = lease.score;
            const firstTokenMs = stallMs + 3 * (waitMs + prefillMs) + (this.policy.boundsInFlight ? 0 : 60_000);
            let watchdog = setTimeout(() => end({ usage: undefined, refused: false }), firstTokenMs);
            const end = (result: AttemptResult): void => {
                clearTimeout(watchdog);
                cancel();
                resolve(result);
            };
            const cancel = engine.send({
                key: program.name,
                segments: prompt,
                outputTokens: req.answerTokens - delivered.tokens,
                answerDigest: `${program.name}/a${req.index}`,
                priority: this.policy.priorities ? enginePriority(program.attainedMs, 0) : 0,
                latencyMs: this.latency(engine.zone),
                onTokens: count => {
                    this.onTokens(count, delivered, startedAt);
                    clearTimeout(watchdog);
                    watchdog = setTimeout(() => end({ usage: undefined, refused: false }), stallMs);
                },
                onDone: usage => end({ usage, refused: false }),
                onFailed: refused => end({ usage: undefined, refused }),
            });
        });
    }

    private onTokens(count: number, delivered: { tokens: number; lastAt: number; }, startedAt: number): void {
        const now = Date.now();
        if (delivered.tokens === 0) {
            this.recorder.firstToken.record(now - startedAt);
        }
        else {
            this.recorder.betweenTokens.record((now - delivered.lastAt) / count);
        }
        delivered.tokens += count;
        delivered.lastAt = now;
    }

    private latency(zone: string): number {
        if (zone === this.place.zone) {
            return sameZoneMs;
        }
        return this.regionOf(zone) === this.regionOf(this.place.zone) ? otherZoneMs : otherRegionMs;
    }

    private finish(
        program: BenchProgram,
        req: BenchRequest,
        prompt: Segment[],
        worker: string,
        usage: EngineUsage,
    ): void {
        const now = Date.now();
        program.segments = [...prompt, { digest: `${program.name}/a${req.index}`, tokens: req.answerTokens }];
        program.meanAnswerTokens += meanRate * (req.answerTokens - program.meanAnswerTokens);
        program.turns += 1;
        program.pausedAt = now;
        program.pauseKind = `${program.agent}/${req.nextTool}`;
        this.recorder.onUsage(usage.promptTokens, usage.cachedTokens);
        const tokens = tokensOf(program.segments);
        this.memory.cacheView.onCached(program.name, worker, tokens, now);
        if (this.policy.retention) {
            const load = this.upstreams.get(worker)?.reported?.load;
            const memoryPressure = load === undefined ? 0 : load.heldTokens / load.memoryTokens;
            this.memory.onPause({
                program: program.name,
                worker,
                kind: program.pauseKind,
                tokens,
                memoryPressure,
                cost: this.costOf(worker),
            });
        }
    }
}
