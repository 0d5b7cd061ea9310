/** Replays, in virtual time and without a network, calls of many instances to workers in zones and regions. */
import {
    expectedRoundTripMs,
    FirstByteWait,
    LoadAggregator,
    placeNear,
    placeSampled,
    smoothLoad,
} from "@marigolddrift/policy";
import type { Location, PlacementFunction, WorkerLoad, WorkerView } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";

import { workerView } from "./workerView.js";

const reportIntervalMs = 200;

/** A worker of a replay. */
export interface ReplayWorker extends Location {
    readonly slots: number;
    /** Service time relative to even workers. */
    readonly slowness: (now: number) => number;
}

/** What is replayed. */
export interface ReplayPlan {
    readonly instances: readonly Location[];
    readonly workers: readonly ReplayWorker[];
    /** Calls a second from the instances of a region. */
    rate(region: string, now: number): number;
    readonly meanCallMs: number;
    readonly durationMs: number;
    /** Time from which calls are counted. */
    readonly countedFromMs: number;
    readonly seed: number;
    /** As in the previous version: workers of other regions only without a free slot, by the own calls; no waits. */
    readonly isPrevious: boolean;
}

interface Instance extends Location {
    readonly inFlight: Map<number, number>;
    readonly waits: readonly FirstByteWait[];
    reported: WorkerLoad;
    usual: WorkerLoad;
    reportedAt: number;
}

interface Call {
    readonly instance: Instance;
    readonly worker: number;
    readonly placedAt: number;
    readonly ms: number;
    readonly ticket: number;
}

/** Result of a replay. */
export interface ReplayResult {
    /** Mean calls in flight at the busiest worker, relative to the mean of all workers. */
    readonly busiestOverMean: number;
    readonly meanMs: number;
    readonly p99Ms: number;
    /** Share of the calls that went to another region, by region, in each second. */
    readonly spilled: Readonly<Record<string, readonly number[]>>;
    /** Most calls in flight at a worker, relative to its slots. */
    readonly highestLoad: number;
}

/** One replay. */
export class LoadReplay {
    private readonly random: () => number;
    private readonly events: { readonly at: number; act(now: number): void; }[][] = [];
    private readonly instances: Instance[];
    private readonly aggregators = new Map<string, LoadAggregator>();
    private readonly running: number[];
    private readonly queues: Call[][];
    private readonly loadSums: number[];
    private readonly latencies: number[] = [];
    private readonly spilled: Record<string, { placed: number; remote: number; }[]> = {};
    private highestLoad = 0;

    constructor(private readonly plan: ReplayPlan) {
        this.random = createRandom(plan.seed);
        this.instances = plan.instances.map(({ zone, region }) => ({
            zone,
            region,
            inFlight: new Map(),
            waits: plan.workers.map(() => new FirstByteWait()),
            reported: {},
            usual: {},
            reportedAt: 0,
        }));
        this.running = plan.workers.map(() => 0);
        this.queues = plan.workers.map(() => []);
        this.loadSums = plan.workers.map(() => 0);
        for (const { region } of plan.instances) {
            this.aggregators.set(region, new LoadAggregator());
            this.spilled[region] = Array.from(
                { length: Math.ceil(plan.durationMs / 1_000) },
                () => ({ placed: 0, remote: 0 }),
            );
        }
    }

    run(): ReplayResult {
        const { plan } = this;
        for (let now = 0; now < plan.durationMs; now++) {
            (this.events[now] ?? []).forEach(event => event.act(now));
            this.events[now] = [];
            this.instances.forEach((instance, index) => this.exchangeReports(instance, index, now));
            for (const region of this.aggregators.keys()) {
                const local = this.instances.filter(instance => instance.region === region);
                for (let left = plan.rate(region, now) / 1_000; left > 0; left -= 1) {
                    if (this.random() < left) {
                        this.place(local[Math.floor(this.random() * local.length)]!, now);
                    }
                }
            }
            if (now >= plan.countedFromMs) {
                plan.workers.forEach((_, worker) => this.loadSums[worker]! += this.loadOf(worker));
            }
        }
        const mean = this.loadSums.reduce((a, b) => a + b) / plan.workers.length;
        const sorted = this.latencies.sort((a, b) => a - b);
        return {
            busiestOverMean: Math.max(...this.loadSums) / mean,
            meanMs: sorted.reduce((a, b) => a + b, 0) / sorted.length,
            p99Ms: sorted[Math.floor(sorted.length * 0.99)]!,
            spilled: Object.fromEntries(
                Object.entries(this.spilled).map(([region, seconds]) => [
                    region,
                    seconds.map(({ placed, remote }) => placed === 0 ? 0 : remote / placed),
                ]),
            ),
            highestLoad: this.highestLoad,
        };
    }

    private loadOf(worker: number): number {
        return this.running[worker]! + this.queues[worker]!.length;
    }

    private at(time: number, act: (now: number) => void): void {
        const slot = Math.ceil(time);
        (this.events[slot] ??= []).push({ at: slot, act });
    }

    private exchangeReports(instance: Instance, index: number, now: number): void {
        if ((now + index * 7) % reportIntervalMs === 0) {
            const aggregator = this.aggregators.get(instance.region)!;
            const load = Object.fromEntries([...instance.inFlight].filter(([, calls]) => calls > 0));
            aggregator.report(String(index), load, now);
            instance.reported = aggregator.loadOfOthers(String(index), now);
            instance.usual = smoothLoad(instance.usual, instance.reported);
            instance.reportedAt = now;
        }
    }

    private place(instance: Instance, now: number): void {
        const { plan } = this;
        const views = plan.workers.map((_, worker) => this.view(instance, worker, now));
        const near = views.filter((_, worker) => plan.workers[worker]!.region === instance.region);
        const hasFreeSlot = near.some(view => view.localInFlight < view.cost.maxBatch);
        const place: PlacementFunction = plan.isPrevious ? placeSampled : placeNear;
        const considered = plan.isPrevious && hasFreeSlot ? near : views;
        const chosen = place(considered, { promptTokens: 0, expectedTokens: 1 }, this.random, "p").worker;
        if (chosen === undefined) {
            this.at(now + 50, later => this.place(instance, later));
            return;
        }
        const worker = Number(chosen);
        const { region, slowness } = plan.workers[worker]!;
        const second = this.spilled[instance.region]![Math.floor(now / 1_000)]!;
        second.placed += 1;
        second.remote += region === instance.region ? 0 : 1;
        instance.inFlight.set(worker, (instance.inFlight.get(worker) ?? 0) + 1);
        const ms = -Math.log(1 - this.random()) * plan.meanCallMs * slowness(now);
        const ticket = instance.waits[worker]!.begin(plan.meanCallMs, now);
        const call = { instance, worker, placedAt: now, ms, ticket };
        this.at(now + this.roundTripMs(call) / 2, later => this.arrive(call, later));
    }

    private arrive(call: Call, now: number): void {
        if (this.running[call.worker]! < this.plan.workers[call.worker]!.slots) {
            this.start(call, now);
        }
        else {
            this.queues[call.worker]!.push(call);
        }
        const { slots } = this.plan.workers[call.worker]!;
        this.highestLoad = Math.max(this.highestLoad, this.loadOf(call.worker) / slots);
    }

    private start(call: Call, now: number): void {
        this.running[call.worker]! += 1;
        this.at(now + call.ms, later => {
            this.running[call.worker]! -= 1;
            const next = this.queues[call.worker]!.shift();
            if (next !== undefined) {
                this.start(next, later);
            }
            this.at(later + this.roundTripMs(call) / 2, endedAt => this.end(call, endedAt));
        });
    }

    private end({ instance, worker, placedAt, ticket }: Call, now: number): void {
        instance.inFlight.set(worker, instance.inFlight.get(worker)! - 1);
        instance.waits[worker]!.onFirstByte(ticket, now);
        if (placedAt >= this.plan.countedFromMs) {
            this.latencies.push(now - placedAt);
        }
    }

    private roundTripMs({ instance, worker }: Call): number {
        return expectedRoundTripMs(instance, this.plan.workers[worker]!);
    }

    private view(instance: Instance, worker: number, now: number): WorkerView {
        const { workers, meanCallMs, isPrevious } = this.plan;
        const { zone, region, slots } = workers[worker]!;
        const cost = {
            prefillMsPerToken: 0,
            decodeBaseMs: meanCallMs,
            decodePerSequenceMs: 0,
            importMsPerToken: 0,
            maxBatch: slots,
        };
        const usualInFlight = instance.usual[String(worker)] ?? 0;
        const observed = { observedWaitMs: instance.waits[worker]!.waitMs(now), meanCallMs, usualInFlight };
        return workerView(String(worker), {
            zone,
            localInFlight: instance.inFlight.get(worker) ?? 0,
            reportedInFlight: instance.reported[String(worker)] ?? 0,
            reportAgeMs: now - instance.reportedAt,
            roundTripMs: expectedRoundTripMs(instance, { zone, region }),
            maxInFlight: slots * 1.5,
            cost,
            isRemote: region !== instance.region,
            ...(isPrevious ? {} : observed),
        });
    }
}
