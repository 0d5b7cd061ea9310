import { LoadAggregator, placeSampled } from "@marigolddrift/policy";
import type { WorkerLoad, WorkerView } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";
import { expect } from "earl";
import { describe, it } from "node:test";

import { workerView } from "./workerView.js";

const instances = 33;
const workers = 17;
const slotsPerWorker = 6;
const reportIntervalMs = 200;
const meanCallMs = 450;
const stepMs = 5;
const durationMs = 20_000;
const turnsPerProgram = 4;
const pauseMs = 100;
const promptTokens = 1_500;
const sharedTokens = 512;
const cost = {
    prefillMsPerToken: 0.017,
    decodeBaseMs: 2.6,
    decodePerSequenceMs: 0.02,
    importMsPerToken: 0,
    maxBatch: slotsPerWorker,
};

interface Instance {
    readonly inFlight: Map<string, number>;
    /** Workers that cache the shared prompt prefix, as far as this instance knows from its own calls. */
    readonly known: Set<string>;
    reportedByOthers: WorkerLoad;
    reportedAt: number;
}

interface Program {
    readonly instance: Instance;
    turnsLeft: number;
    /** The worker that caches the conversation. */
    worker: string | undefined;
}

interface Turn {
    readonly program: Program;
    readonly worker: string;
    readonly ms: number;
}

interface SimulationResult {
    /** Mean calls in flight on the busiest worker, relative to the mean of all workers. */
    readonly busiestOverMean: number;
    /** Share of turns placed on a full worker while at least a quarter of the workers had free slots. */
    readonly queuedNeedlessly: number;
    /** Of the turns that continue a conversation, the share placed on a worker that does not cache it. */
    readonly moved: number;
}

/** Simulates, in virtual time, programs of several turns each whose calls arrive through many instances. */
class Simulation {
    private readonly names = Array.from({ length: workers }, (_, index) => `w${index}`);
    private readonly instances: Instance[] = Array.from(
        { length: instances },
        () => ({ inFlight: new Map(), known: new Set(), reportedByOthers: {}, reportedAt: 0 }),
    );
    private readonly aggregator = new LoadAggregator();
    private readonly total = new Map(this.names.map(name => [name, 0]));
    private readonly inFlightSums = new Map(this.names.map(name => [name, 0]));
    private readonly queues = new Map<string, Turn[]>(this.names.map(name => [name, []]));
    private readonly pendingEvents: { readonly at: number; act(now: number): void; }[] = [];
    private readonly random: () => number;
    private placed = 0;
    private queuedNeedlessly = 0;
    private continued = 0;
    private moved = 0;

    constructor(private readonly sharesLoad: boolean, seed: number) {
        this.random = createRandom(seed);
    }

    run(programsPerSecond: number): SimulationResult {
        for (let now = 0; now < durationMs; now += stepMs) {
            this.pendingEvents.filter(({ at }) => at <= now).forEach(event => {
                this.pendingEvents.splice(this.pendingEvents.indexOf(event), 1);
                event.act(now);
            });
            if (this.sharesLoad) {
                this.instances.forEach((instance, index) => this.exchangeReports(instance, index, now));
            }
            if (this.random() < programsPerSecond * stepMs / 1_000) {
                const instance = this.instances[Math.floor(this.random() * instances)]!;
                this.beginTurn({ instance, turnsLeft: turnsPerProgram, worker: undefined }, now);
            }
            this.total.forEach((calls, name) => this.inFlightSums.set(name, this.inFlightSums.get(name)! + calls));
        }
        const all = [...this.inFlightSums.values()];
        const mean = all.reduce((a, b) => a + b) / workers;
        return {
            busiestOverMean: Math.max(...all) / mean,
            queuedNeedlessly: this.queuedNeedlessly / this.placed,
            moved: this.moved / this.continued,
        };
    }

    private exchangeReports(instance: Instance, index: number, now: number): void {
        if ((now + index * stepMs) % reportIntervalMs === 0) {
            this.aggregator.report(String(index), Object.fromEntries(instance.inFlight), now);
            instance.reportedByOthers = this.aggregator.loadOfOthers(String(index), now);
            instance.reportedAt = now;
        }
    }

    private beginTurn(program: Program, now: number): void {
        const views = this.names.map(name => this.view(program, name, now));
        const worker = placeSampled(views, { promptTokens, expectedTokens: 90 }, this.random).worker!;
        const free = [...this.total.values()].filter(calls => calls < slotsPerWorker).length;
        this.placed += 1;
        this.queuedNeedlessly += this.total.get(worker)! >= slotsPerWorker && free >= workers / 4 ? 1 : 0;
        if (program.worker !== undefined) {
            this.continued += 1;
            this.moved += worker === program.worker ? 0 : 1;
        }
        this.addInFlight(program.instance, worker, 1);
        const readAgainMs = worker === program.worker ? 0 : (promptTokens - sharedTokens) * cost.prefillMsPerToken;
        const turn = { program, worker, ms: readAgainMs - Math.log(1 - this.random()) * meanCallMs };
        if (this.total.get(worker)! <= slotsPerWorker) {
            this.runTurn(turn, now);
        }
        else {
            this.queues.get(worker)!.push(turn);
        }
    }

    private runTurn({ program, worker, ms }: Turn, now: number): void {
        this.pendingEvents.push({ at: now + ms, act: endsAt => this.endTurn(program, worker, endsAt) });
    }

    private endTurn(program: Program, worker: string, now: number): void {
        this.addInFlight(program.instance, worker, -1);
        const next = this.queues.get(worker)!.shift();
        if (next !== undefined) {
            this.runTurn(next, now);
        }
        program.instance.known.add(worker);
        program.worker = worker;
        program.turnsLeft -= 1;
        if (program.turnsLeft > 0) {
            this.pendingEvents.push({ at: now + pauseMs, act: at => this.beginTurn(program, at) });
        }
    }

    private addInFlight({ inFlight }: Instance, worker: string, by: number): void {
        inFlight.set(worker, (inFlight.get(worker) ?? 0) + by);
        this.total.set(worker, this.total.get(worker)! + by);
    }

    private view({ instance, worker: last }: Program, worker: string, now: number): WorkerView {
        const shared = instance.known.has(worker) ? sharedTokens : 0;
        return workerView(worker, {
            localInFlight: instance.inFlight.get(worker) ?? 0,
            reportedInFlight: instance.reportedByOthers[worker] ?? 0,
            reportAgeMs: now - instance.reportedAt,
            cachedTokens: worker === last ? promptTokens - 200 : shared,
            maxInFlight: Infinity,
            cost,
        });
    }
}

describe("load board", () => {
    it("should sum the latest reports of other instances, and leave out expired ones", () => {
        const aggregator = new LoadAggregator();
        aggregator.report("a", { w1: 3 }, 0);
        aggregator.report("a", { w1: 2, w2: 1 }, 900);
        aggregator.report("b", { w1: 1 }, 100);
        expect(aggregator.loadOfOthers("b", 1_000)).toEqual({ w1: 2, w2: 1 });
        expect(aggregator.loadOfOthers("c", 1_500)).toEqual({ w1: 2, w2: 1 });
    });

    it("should keep many instances from overloading some workers while others have free slots", () => {
        for (const seed of [1, 2, 3]) {
            const alone = new Simulation(false, seed).run(36);
            const sharing = new Simulation(true, seed).run(36);
            expect(sharing.queuedNeedlessly).toSatisfy(share => share < alone.queuedNeedlessly / 3);
            expect(sharing.busiestOverMean).toSatisfy(ratio => ratio < 1.3);
        }
    });

    it("should leave conversations on their workers while all workers are full", () => {
        for (const seed of [1, 2, 3]) {
            console.log(
                "moved",
                new Simulation(true, seed).run(36),
                new Simulation(true, seed).run(75),
                new Simulation(true, seed).run(100),
            );
            for (const programsPerSecond of [60, 75, 100]) {
                expect(new Simulation(true, seed).run(programsPerSecond).moved).toSatisfy(share => share < 0.1);
            }
        }
    });
});
