/** Faults that a soak injects, drawn by a seeded random source. */
import { delay } from "@marigolddrift/common";
import type { WorkerFault, WorkerStandin } from "@marigolddrift/platform";

import { openLateCallers } from "./lateCallers.js";
import type { Machine, SoakFleet } from "./soakFleet.js";
import type { SoakRecord } from "./soakRecord.js";

/** Time for which a machine with a disk counts as lost after it is back. */
const catchUpMs = 6_000;

/** Length of each faulty answer's first play. */
const firstFaultMs = 500;

/** Fronts that are always left. */
const minFronts = 1;

/** Time by which a machine must be empty, although the platform's store may be away for some of it. */
const retirementTimeoutMs = 30_000;

const oddEntry = { service: "ops", address: "127.0.0.1:9", zone: "north-a", slots: 4, state: "ready" };

/** Entries that name no upstream. */
const oddEntries = [
    JSON.stringify({ ...oddEntry, address: "127.0.0.1:80800" }),
    JSON.stringify({ ...oddEntry, address: "a b:80" }),
    JSON.stringify({ ...oddEntry, slots: 1e300 }),
    `{"x":${"[".repeat(50_000)}${"]".repeat(50_000)}}`,
    "\u0000\u00ff",
];

/** Time that a worker goes on after it has said that it leaves. */
const leaveMs = 6_000;

const streamFaults: readonly WorkerFault[] = [
    "full",
    "loseResponse",
    "malformedResponse",
    "wrongRequestId",
    "truncate",
    "truncateAndClose",
    "unframed",
    "unframedReset",
    "unframedInsideEvent",
    "endInsideEvent",
    "bare503",
];
const plainFaults: readonly WorkerFault[] = [
    "full",
    "loseResponse",
    "malformedResponse",
    "wrongRequestId",
    "unframed",
    "unframedReset",
    "unframedCut",
    "bare503",
];

/** A fault that is injected and ends by itself. */
interface Fault {
    readonly name: string;
    inject(): Promise<void>;
}

/** Injects faults one after the other, several of which may overlap. */
export class SoakFaults {
    readonly injected: string[] = [];
    private readonly startedAt = performance.now();
    private isDiskLost = false;
    /** Machines that are stopped or frozen now. */
    private readonly lost = new Set<Machine>();
    private nextWorker = 0;
    private nextOddEntry = 0;
    private readonly running = new Set<Promise<void>>();

    /** @param random Returns numbers in [0, 1). */
    constructor(
        private readonly fleet: SoakFleet,
        private readonly record: SoakRecord,
        private readonly random: () => number,
    ) {}

    /** Plays each faulty answer once, then starts faults until the time is over, and waits until all have ended. */
    async run(ms: number): Promise<void> {
        const endsAt = performance.now() + ms;
        await Promise.all([this.playAll("brain", streamFaults), this.playAll("ops", plainFaults)]);
        while (performance.now() < endsAt) {
            const fault = this.pick(this.faults());
            const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(1);
            this.injected.push(`${seconds} s  ${fault.name}`);
            const ended = fault.inject().finally(() => this.running.delete(ended));
            this.running.add(ended);
            await delay(300 + this.random() * 2_000);
        }
        await Promise.all(this.running);
    }

    private faults(): Fault[] {
        const fronts = this.machines("front").filter(machine => !this.lost.has(machine));
        const front = this.pick(fronts);
        const store = this.pick(this.machines("store"));
        const downMs = 200 + this.random() * 1_500;
        const ms = 500 + this.random() * 3_500;
        const { fleet } = this;
        return [
            ...(fronts.length <= minFronts ? [] : [
                {
                    name: `kill ${front.name}`,
                    inject: () => this.lose(front, () => fleet.restart(front, "SIGKILL", downMs)),
                },
                {
                    name: `stop ${front.name}`,
                    inject: () => this.lose(front, () => fleet.restart(front, "SIGTERM", downMs)),
                },
                {
                    name: `stop ${front.name} with late calls`,
                    inject: () => this.lose(front, () => this.stopWithLateCalls(front, downMs)),
                },
                { name: `freeze ${front.name}`, inject: () => this.lose(front, () => this.freeze(front, ms)) },
            ]),
            { name: "odd entries", inject: () => this.leaveOddEntries() },
            { name: "new configuration", inject: async () => fleet.changeConfig() },
            this.workerFault(),
            this.workerFault(),
            { name: "a worker leaves", inject: () => this.replaceWorker() },
            ...(["down", "busy", "silent", "loseTxnReply"] as const).map(fault => ({
                name: `store ${fault}`,
                inject: () => this.storeFault(fault, ms),
            })),
            ...(this.isDiskLost ? [] : [
                {
                    name: `retire ${store.name} while it starts`,
                    inject: () => this.loseDisk(() => this.retireAtStart(store, downMs)),
                },
                {
                    name: `kill ${store.name}`,
                    inject: () => this.loseDisk(() => fleet.restart(store, "SIGKILL", downMs)),
                },
                { name: `freeze ${store.name}`, inject: () => this.loseDisk(() => this.freeze(store, ms)) },
                {
                    name: `wipe ${store.name}`,
                    inject: () => this.loseDisk(() => fleet.restart(store, "SIGKILL", downMs, true)),
                },
            ]),
        ];
    }

    private async playAll(service: string, faults: readonly WorkerFault[]): Promise<void> {
        for (const fault of faults) {
            const worker = this.pick(this.fleet.workers.filter(candidate => candidate.service === service));
            this.injected.push(`${worker.id} ${fault}`);
            await this.setWorkerFault(worker, fault, firstFaultMs);
        }
    }

    private workerFault(): Fault {
        const worker = this.pick(this.fleet.workers.filter(({ isLeaving }) => !isLeaving));
        const fault = this.pick(worker.service === "brain" ? streamFaults : plainFaults);
        const ms = 300 + this.random() * 2_000;
        return { name: `${worker.id} ${fault}`, inject: () => this.setWorkerFault(worker, fault, ms) };
    }

    private async setWorkerFault(worker: WorkerStandin, fault: WorkerFault, ms: number): Promise<void> {
        worker.fault = fault;
        await delay(ms);
        worker.fault = "none";
    }

    private async storeFault(fault: "down" | "busy" | "silent" | "loseTxnReply", ms: number): Promise<void> {
        this.fleet.store.fault = fault;
        await delay(ms);
        this.fleet.store.fault = "none";
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

    private async stopWithLateCalls(front: Machine, downMs: number): Promise<void> {
        const sendCalls = await openLateCallers(this.fleet, this.record, front);
        await Promise.all([sendCalls(), this.fleet.restart(front, "SIGTERM", downMs)]);
    }

    /** Another writer leaves entries that name no upstream, some for good. */
    private async leaveOddEntries(): Promise<void> {
        const keys = oddEntries.map(() => `servers/i-odd-${this.nextOddEntry++}`);
        keys.forEach((key, index) => this.fleet.store.putBytes(key, Buffer.from(oddEntries[index]!)));
        await delay(1_000);
        keys.slice(1).forEach(key => this.fleet.store.remove(key));
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

    /** A worker says in its answers that it leaves, and its successor takes over. */
    private async replaceWorker(): Promise<void> {
        const leaving = this.pick(this.fleet.workers.filter(({ isLeaving }) => !isLeaving));
        const service = leaving.service as "brain" | "ops";
        const zone = this.pick(["north-a", "north-b", "south-a"]);
        await this.fleet.addWorker(`i-${service}-new-${this.nextWorker++}`, service, zone);
        leaving.isLeaving = true;
        await delay(leaveMs);
        this.fleet.store.remove(`servers/${leaving.id}`);
    }

    private machines(role: Machine["role"]): Machine[] {
        return this.fleet.machines.filter(machine => machine.role === role);
    }

    private pick<T>(items: readonly T[]): T {
        return items[Math.floor(this.random() * items.length)]!;
    }
}
