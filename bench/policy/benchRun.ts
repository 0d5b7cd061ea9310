/** One run of the bench: a workload, a policy, a load and a fault, on virtual time. */
import { ProblemError } from "@marigolddrift/common";
import type { EngineProfile } from "@marigolddrift/standins";
import { createRandom, meanTokensPerProgram, planPrograms, RunRecorder } from "@marigolddrift/workload";
import type { CallPlan, ProgramPlan, RunReport, Workload } from "@marigolddrift/workload";
import { install } from "@sinonjs/fake-timers";

import { BenchEngine } from "./benchEngine.js";
import { BenchScheduler } from "./benchScheduler.js";
import type { BenchProgram } from "./benchScheduler.js";
import type { BenchPolicy } from "./policies.js";

/** Speed and memory of the bench's engines; docs/design/policy.md says where the figures come from. */
export const benchProfile: EngineProfile = {
    prefillMsPerToken: 0.04,
    decodeBaseMs: 10,
    decodePerSequenceMs: 0.75,
    importMsPerToken: 0.004,
    maxBatch: 16,
    prefillChunk: 256,
    memoryTokens: 200_000,
    stepsPerTick: 8,
};

/** An availability zone of the bench. */
export interface BenchZone {
    readonly zone: string;
    readonly region: string;
    readonly instances: number;
    readonly engines: number;
}

/** Faults that a run can have. */
export const benchFaults = [
    "none",
    "engine dies",
    "engine hangs",
    "engine slows to a fifth",
    "load reports 5 s old",
    "zone leaves",
    "region cut",
    "cache forgotten",
] as const;
export type BenchFault = typeof benchFaults[number];

/** What is run. */
export interface BenchSpec {
    readonly workload: Workload;
    readonly zones: readonly BenchZone[];
    readonly policy: BenchPolicy;
    /** Share of the capacity that is asked for. */
    readonly load: number;
    readonly fault: BenchFault;
    readonly seed: number;
}

/** What a run measured. */
export interface BenchResult extends RunReport {
    /** Token-seconds of engine memory after the last use of what it held. */
    readonly wastedTokenSeconds: number;
    /** The same as a share of all memory held. */
    readonly wastedShare: number;
    /** Programs that ended within their deadline, as a share of those that capacity allows. */
    readonly goodput: number;
    readonly prefilledTokens: number;
    readonly programsPerSecond: number;
    /** 95th percentile of programs that began later than 10 s after the fault. */
    readonly p95AfterFault: number;
}

const startTime = 1_800_000_000_000;
const reportMs = 1_000;
const reportLagMs = 500;
const oldReportMs = 5_000;
const settleMs = 10_000;
const retryMs = 500;
const maxTries = 20;

/** Programs per second that the engines can serve if every prefix is cached and every batch full. */
export const capacityOf = (workload: Workload, engines: number, profile: EngineProfile): number => {
    const demand = meanTokensPerProgram(planPrograms(workload, 2, 1));
    const stepMs = profile.decodeBaseMs + profile.decodePerSequenceMs * (profile.maxBatch - 1);
    const engineMs = demand.generate * stepMs / profile.maxBatch + demand.prefill * profile.prefillMsPerToken;
    return engines * 1000 / engineMs;
};

/** Runs one specification. */
export const runBench = async (spec: BenchSpec): Promise<BenchResult> => {
    const clock = install({ now: startTime, toNotFake: ["nextTick", "queueMicrotask"] });
    try {
        const run = new BenchRun(spec);
        const finished = run.start();
        let done = false;
        void finished.then(() => done = true);
        while (!done) {
            await clock.tickAsync(1_000);
        }
        return run.result();
    }
    finally {
        clock.uninstall();
    }
};

class BenchRun {
    private readonly engines = new Map<string, BenchEngine>();
    private readonly schedulers: BenchScheduler[] = [];
    private readonly recorder = new RunRecorder();
    private readonly late = new RunRecorder();
    private readonly timers: NodeJS.Timeout[] = [];
    private readonly rate: number;
    private readonly capacity: number;
    private next = 0;
    private planned = 0;

    constructor(private readonly spec: BenchSpec) {
        const regions = Object.fromEntries(spec.zones.map(zone => [zone.zone, zone.region]));
        for (const { engines, zone } of spec.zones) {
            for (let index = 0; index < engines; index++) {
                const address = `${zone}/${index}`;
                this.engines.set(address, new BenchEngine(address, zone, benchProfile));
            }
        }
        const random = createRandom(spec.seed + 1);
        for (const { instances, zone } of spec.zones) {
            for (let index = 0; index < instances; index++) {
                this.schedulers.push(
                    new BenchScheduler({ zone, regions }, this.engines, spec.policy, this.recorder, random),
                );
            }
        }
        this.capacity = capacityOf(spec.workload, this.engines.size, benchProfile);
        this.rate = spec.workload.programsPerSecond ?? this.capacity * spec.load;
    }

    async start(): Promise<void> {
        const programs = planPrograms(this.spec.workload, this.rate, this.spec.seed);
        this.planned = programs.length;
        this.reportLoads();
        this.injectFault();
        await Promise.all(programs.map(program => this.runAt(program)));
        this.timers.forEach(timer => clearInterval(timer));
    }

    result(): BenchResult {
        const caches = [...this.engines.values()].map(engine => engine.core.cache);
        caches.forEach(cache => cache.chargeRemainingIdleTime());
        const held = caches.reduce((sum, cache) => sum + cache.heldTokenMs, 0);
        const wasted = caches.reduce((sum, cache) => sum + cache.wastedTokenMs, 0);
        const prefilled = [...this.engines.values()].reduce(
            (sum, engine) => sum + engine.core.counters.prefilledTokens,
            0,
        );
        return {
            ...this.recorder.report(),
            wastedTokenSeconds: Math.round(wasted / 1000),
            wastedShare: wasted / Math.max(1, held),
            goodput: this.recorder.withinDeadline / (this.planned * Math.min(1, this.capacity / this.rate)),
            prefilledTokens: prefilled,
            programsPerSecond: this.rate,
            p95AfterFault: this.late.report().allPrograms.p95,
        };
    }

    private reportLoads(): void {
        const lagMs = this.spec.fault === "load reports 5 s old" ? oldReportMs : reportLagMs;
        this.timers.push(setInterval(() => {
            for (const engine of this.engines.values()) {
                const load = engine.core.load();
                if (!engine.isDead) {
                    setTimeout(
                        () => this.schedulers.forEach(scheduler => scheduler.onLoad(engine, load, lagMs)),
                        lagMs,
                    );
                }
            }
        }, reportMs));
    }

    private get faultAtMs(): number {
        return this.spec.workload.durationSeconds * 1000 / 3;
    }

    private injectFault(): void {
        const [first] = this.engines.values();
        const lastZone = this.spec.zones.at(-1)!;
        const actions: Partial<Record<BenchFault, () => void>> = {
            "engine dies": () => first!.setFault("dead"),
            "engine hangs": () => first!.setFault("hung"),
            "engine slows to a fifth": () => first!.setFault("slow"),
            "zone leaves": () => this.engines.forEach(engine => engine.leaving ||= engine.zone === lastZone.zone),
            "region cut": () => this.schedulers.forEach(scheduler => scheduler.cutRegions.add(lastZone.region)),
            "cache forgotten": () =>
                this.engines.forEach(engine =>
                    engine.core.cache.heldKeys().forEach(key => engine.core.cache.drop(key))
                ),
        };
        const action = actions[this.spec.fault];
        if (action !== undefined) {
            setTimeout(action, this.faultAtMs);
        }
    }

    private async runAt(program: ProgramPlan): Promise<void> {
        await sleep(program.startMs);
        await this.runProgram(program, true);
    }

    private async runProgram(plan: ProgramPlan, counted: boolean): Promise<void> {
        const startedAt = Date.now();
        const scheduler = this.schedulers[this.next++ % this.schedulers.length]!;
        const deadlineMs = plan.kind.deadlineSeconds * 1000;
        const program: BenchProgram = {
            name: plan.name,
            agent: plan.kind.agent,
            deadline: startedAt + deadlineMs,
            segments: [{ digest: `system/${plan.kind.agent}`, tokens: plan.kind.systemTokens }],
            attainedMs: 0,
            meanAnswerTokens: 0,
            turns: 0,
            pauseKind: "",
            pausedAt: 0,
        };
        try {
            await this.converse(scheduler, program, plan);
            if (counted) {
                this.recorder.onFinished(plan.kind.agent, Date.now() - startedAt, deadlineMs);
                if (startedAt - startTime > this.faultAtMs + settleMs) {
                    this.late.onFinished(plan.kind.agent, Date.now() - startedAt, deadlineMs);
                }
            }
        }
        catch (err) {
            if (!(err instanceof ProblemError)) {
                throw err;
            }
            this.recorder.failed += counted ? 1 : 0;
        }
        scheduler.onEnded(program);
    }

    private async converse(scheduler: BenchScheduler, program: BenchProgram, plan: ProgramPlan): Promise<void> {
        for (const [index, call] of plan.calls.entries()) {
            await this.callWithRetries(scheduler, program, call, index + 1);
            if (index < plan.calls.length - 1) {
                await this.pause(call);
            }
        }
    }

    private async callWithRetries(
        scheduler: BenchScheduler,
        program: BenchProgram,
        call: CallPlan,
        index: number,
    ): Promise<void> {
        for (let tries = 1;; tries++) {
            try {
                await scheduler.call(program, {
                    index,
                    promptTokens: call.promptTokens,
                    answerTokens: call.answerTokens,
                    nextTool: call.tool,
                });
                return;
            }
            catch (err) {
                const mayRetry = err instanceof ProblemError &&
                    (err.code === "overloaded" || err.code === "no_upstream");
                if (!mayRetry || tries >= maxTries) {
                    throw err;
                }
                this.recorder.refused += 1;
                await sleep((err.retryAfterSeconds ?? 0) * 1000 + retryMs);
            }
        }
    }

    private async pause(call: CallPlan): Promise<void> {
        const startedAt = Date.now();
        if (call.helper !== undefined) {
            await this.runProgram(call.helper, false);
        }
        await sleep(call.pauseMs - (Date.now() - startedAt));
    }
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
