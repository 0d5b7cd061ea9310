/** Faults that a soak injects, drawn by a seeded random source. */
import { delay } from "@marigolddrift/common";

import { KillSeries } from "./killSeries.js";
import { LateCallers } from "./lateCallers.js";
import type { Machine } from "./machine.js";
import type { OverlappingStart, OverlappingStarts } from "./overlappingStarts.js";
import { pick } from "./pick.js";
import type { SoakFleet } from "./soakFleet.js";
import type { SoakRecord } from "./soakRecord.js";
import { StopSeries } from "./stopSeries.js";
import { WorkerFaults } from "./workerFaults.js";
import type { Fault } from "./workerFaults.js";

/** Time for which a machine with a disk counts as lost after it is back. */
const catchUpMs = 6_000;

/** Fronts that are always left by faults that are drawn one by one. */
const minFronts = 1;

/** Time by which a machine must be empty, although the platform's store may be away for some of it. */
const retirementTimeoutMs = 30_000;

/** Share of the runs in which nothing goes on beside the first series of stops. */
const calmSeriesShare = 0.5;

/** Time within which a process that starts is told to stop. */
const maxStartMs = 800;

const storeDownMs = 500;

/** Overlapping starts among which, with the other faults of the machine, one fault is drawn. */
const startsPerDraw = 2;

/** Injects faults one after the other, several of which may overlap. */
export class SoakFaults {
    readonly injected: string[] = [];
    private readonly startedAt = performance.now();
    private isDiskLost = false;
    /** Machines that are stopped or frozen now. */
    private readonly lost = new Set<Machine>();
    private readonly workerFaults: WorkerFaults;
    private isSeriesRunning = false;
    private readonly running = new Set<Promise<void>>();

    /**
     * @param random Returns numbers in [0, 1).
     * @param starts Starts of processes beside others, if they are among the faults.
     */
    constructor(
        private readonly fleet: SoakFleet,
        private readonly record: SoakRecord,
        private readonly random: () => number,
        private readonly starts?: OverlappingStarts,
    ) {
        this.workerFaults = new WorkerFaults(fleet, random);
    }

    /**
     * Plays each faulty answer once and a series of stops, in some runs with nothing beside it, then starts faults until the
     * time is over, and waits until all have ended. If processes are started beside others, it kills all fronts then, and starts
     * processes beside all of them last.
     */
    async run(ms: number): Promise<void> {
        const endsAt = performance.now() + ms;
        this.injected.push(...await this.workerFaults.playAll());
        this.start({ name: "series of stops", inject: () => this.stopAll(true) });
        if (this.random() < calmSeriesShare) {
            this.injected.push("nothing beside the series");
            await Promise.all(this.running);
        }
        while (performance.now() < endsAt) {
            this.start(pick(this.faults(), this.random));
            await delay(300 + this.random() * 2_000);
        }
        await Promise.all(this.running);
        if (this.starts !== undefined) {
            this.start({ name: "series of kills", inject: () => this.killAll() });
            await Promise.all(this.running);
            await this.startAll(this.starts);
        }
    }

    /** Starts a process of each front and of one machine with a disk beside others, in all ways at once, while callers use open connections. */
    private async startAll(starts: OverlappingStarts): Promise<void> {
        const machines = [...this.fleet.fronts, pick(this.fleet.stores, this.random)];
        const first = Math.floor(this.random() * machines.length);
        for (const [index, machine] of machines.entries()) {
            const all = starts.all(machine);
            const start = all[(first + index) % all.length]!;
            const inject = (): Promise<void> => this.startBeside(machine, start);
            const isUsed = machine.role === "front" && !start.kills;
            this.start({ name: start.name, inject: isUsed ? () => this.withLateCalls(machine, inject) : inject });
            await delay(this.random() * maxStartMs);
        }
        await Promise.all(this.running);
    }

    private start(fault: Fault): void {
        const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(1);
        this.injected.push(`${seconds} s  ${fault.name}`);
        const ended = fault.inject().finally(() => this.running.delete(ended));
        this.running.add(ended);
    }

    private faults(): Fault[] {
        const fronts = this.fleet.fronts.filter(machine => !this.lost.has(machine));
        const front = pick(fronts, this.random);
        const store = pick(this.fleet.stores, this.random);
        const downMs = 200 + this.random() * 1_500;
        const ms = 500 + this.random() * 3_500;
        const { fleet } = this;
        return [
            ...(fronts.length <= minFronts ? [] : [
                {
                    name: `kill ${front.name}`,
                    inject: () => this.disturb(front, () => fleet.restart(front, "SIGKILL", downMs)),
                },
                {
                    name: `stop ${front.name}`,
                    inject: () => this.lose(front, () => fleet.restart(front, "SIGTERM", downMs)),
                },
                {
                    name: `stop ${front.name} with late calls`,
                    inject: () => this.lose(front, () => this.stopWithLateCalls(front, downMs)),
                },
                {
                    name: `stop ${front.name} while it starts`,
                    inject: () => this.lose(front, () => this.stopAtStart(front, downMs)),
                },
                ...this.overlappingStarts(front).map(start => ({
                    name: start.name,
                    inject: () => this.startBeside(front, start),
                })),
                { name: `freeze ${front.name}`, inject: () => this.disturb(front, () => this.freeze(front, ms)) },
            ]),
            ...(this.isSeriesRunning || fronts.length === 0 ? [] : [
                { name: "series of stops", inject: () => this.stopAll(false) },
                ...(this.starts === undefined ? [] : [{ name: "series of kills", inject: () => this.killAll() }]),
            ]),
            { name: "new configuration", inject: async () => fleet.changeConfig() },
            ...this.workerFaults.draw(),
            ...(["down", "busy", "silent", "loseTxnReply"] as const).map(fault => ({
                name: `store ${fault}`,
                inject: () => this.storeFault(fault, ms),
            })),
            ...(this.isDiskLost ? [] : [
                {
                    name: `stop ${store.name}`,
                    inject: () => this.loseDisk(() => fleet.restart(store, "SIGTERM", downMs)),
                },
                {
                    name: `retire ${store.name} while it starts`,
                    inject: () => this.disturbDisk(store, () => this.retireAtStart(store, downMs)),
                },
                {
                    name: `kill ${store.name}`,
                    inject: () => this.disturbDisk(store, () => fleet.restart(store, "SIGKILL", downMs)),
                },
                ...this.overlappingStarts(store).map(start => ({
                    name: start.name,
                    inject: () => this.loseDisk(() => this.startBeside(store, start)),
                })),
                { name: `freeze ${store.name}`, inject: () => this.disturbDisk(store, () => this.freeze(store, ms)) },
                {
                    name: `wipe ${store.name}`,
                    inject: () => this.disturbDisk(store, () => fleet.restart(store, "SIGKILL", downMs, true)),
                },
            ]),
        ];
    }

    private overlappingStarts(machine: Machine): OverlappingStart[] {
        return Array.from({ length: startsPerDraw }, () => this.starts?.draw(machine) ?? []).flat();
    }

    private startBeside(machine: Machine, start: OverlappingStart): Promise<void> {
        const inject = (): Promise<void> => start.inject();
        return start.kills ? this.disturb(machine, inject) : this.lose(machine, inject);
    }

    private async storeFault(fault: "down" | "busy" | "silent" | "loseTxnReply", ms: number): Promise<void> {
        await this.record.disturbances.during(["store"], async () => {
            this.fleet.store.fault = fault;
            await delay(ms);
            this.fleet.store.fault = "none";
        });
    }

    private async freeze(machine: Machine, ms: number): Promise<void> {
        this.fleet.signal(machine, "SIGSTOP");
        await delay(ms);
        this.fleet.signal(machine, "SIGCONT");
    }

    private async lose(machine: Machine, lose: () => Promise<void>): Promise<void> {
        this.lost.add(machine);
        await lose();
        this.lost.delete(machine);
    }

    private disturb(machine: Machine, disturb: () => Promise<void>): Promise<void> {
        return this.lose(machine, () => this.record.disturbances.during([machine.name], disturb));
    }

    private disturbDisk(store: Machine, disturb: () => Promise<void>): Promise<void> {
        return this.loseDisk(() => this.record.disturbances.during([store.name], disturb));
    }

    private stopWithLateCalls(front: Machine, downMs: number): Promise<void> {
        return this.withLateCalls(front, () => this.fleet.restart(front, "SIGTERM", downMs));
    }

    private async withLateCalls(front: Machine, stop: () => Promise<void>): Promise<void> {
        const callers = new LateCallers(this.fleet, this.record, this.random, front);
        await callers.open();
        await Promise.all([callers.use(), stop()]);
    }

    private async stopAtStart(front: Machine, downMs: number): Promise<void> {
        await this.fleet.restart(front, "SIGTERM", downMs);
        await delay(this.random() * maxStartMs);
        await this.stopWithLateCalls(front, downMs);
    }

    /** Stops all fronts that are not stopped, and a machine with a disk if that may be lost now. */
    private async stopAll(withStore: boolean): Promise<void> {
        this.isSeriesRunning = true;
        const fronts = this.fleet.fronts.filter(machine => !this.lost.has(machine));
        const series = new StopSeries(this.fleet, this.record, this.random, fronts);
        const store = pick(this.fleet.stores, this.random);
        if (this.starts !== undefined) {
            series.overlap([...fronts, ...(withStore ? [store] : [])], this.starts);
        }
        this.injected.push(`  ${series.description}`);
        fronts.forEach(front => this.lost.add(front));
        await Promise.all([
            series.run(),
            ...(withStore ? [this.loseDisk(() => series.restart(store, storeDownMs))] : []),
        ]);
        fronts.forEach(front => this.lost.delete(front));
        this.isSeriesRunning = false;
    }

    /** Kills all fronts that are not stopped. */
    private async killAll(): Promise<void> {
        this.isSeriesRunning = true;
        const fronts = this.fleet.fronts.filter(machine => !this.lost.has(machine));
        const series = new KillSeries(this.fleet, this.record, this.random, fronts);
        this.injected.push(`  ${series.description}`);
        fronts.forEach(front => this.lost.add(front));
        await series.run();
        fronts.forEach(front => this.lost.delete(front));
        this.isSeriesRunning = false;
    }

    /** A machine is asked to be emptied while it is stopped; once it says that it is empty, its disk is lost. */
    private async retireAtStart(store: Machine, downMs: number): Promise<void> {
        const { fleet } = this;
        const restarted = fleet.restart(store, "SIGTERM", downMs);
        fleet.requestRetirement(store, true);
        await restarted;
        const endsAt = performance.now() + retirementTimeoutMs;
        while (!fleet.isRetired(store)) {
            if (performance.now() > endsAt) {
                this.record.violations.push(`${store.name} was not emptied within ${retirementTimeoutMs} ms`);
                break;
            }
            await delay(20);
        }
        const isRetired = fleet.isRetired(store);
        const replaced = fleet.restart(store, "SIGKILL", downMs, isRetired);
        fleet.requestRetirement(store, false);
        await replaced;
    }

    /** The settings tolerate the loss of one disk at a time. */
    private async loseDisk(lose: () => Promise<void>): Promise<void> {
        this.isDiskLost = true;
        await lose();
        await delay(catchUpMs);
        this.isDiskLost = false;
    }
}
