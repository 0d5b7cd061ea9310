/** Faults of workers, and of the entries that name them. */
import { delay } from "@marigolddrift/common";
import type { WorkerFault, WorkerStandin } from "@marigolddrift/platform";

import { pick } from "./pick.js";
import type { SoakFleet } from "./soakFleet.js";

/** A fault that is injected and ends by itself. */
export interface Fault {
    readonly name: string;
    inject(): Promise<void>;
}

/** Length of each faulty answer's first play. */
const firstFaultMs = 500;

const oddEntry = { service: "ops", address: "127.0.0.1:9", zone: "north-a", version: "v1", slots: 4, state: "ready" };

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

/** Draws faults of workers. */
export class WorkerFaults {
    private nextWorker = 0;
    private nextOddEntry = 0;

    /** @param random Returns numbers in [0, 1). */
    constructor(private readonly fleet: SoakFleet, private readonly random: () => number) {}

    /** Plays each faulty answer once. Returns their names. */
    async playAll(): Promise<string[]> {
        const names = await Promise.all([this.playEach("brain", streamFaults), this.playEach("ops", plainFaults)]);
        return names.flat();
    }

    draw(): readonly Fault[] {
        return [
            { name: "odd entries", inject: () => this.leaveOddEntries() },
            this.faultyAnswers(),
            this.faultyAnswers(),
            { name: "a worker leaves", inject: () => this.replaceWorker() },
        ];
    }

    private async playEach(service: string, faults: readonly WorkerFault[]): Promise<string[]> {
        const names: string[] = [];
        for (const fault of faults) {
            const worker = pick(this.fleet.workers.filter(candidate => candidate.service === service), this.random);
            names.push(`${worker.id} ${fault}`);
            await this.setFault(worker, fault, firstFaultMs);
        }
        return names;
    }

    private faultyAnswers(): Fault {
        const worker = pick(this.fleet.workers.filter(({ isLeaving }) => !isLeaving), this.random);
        const fault = pick(worker.service === "brain" ? streamFaults : plainFaults, this.random);
        const ms = 300 + this.random() * 2_000;
        return { name: `${worker.id} ${fault}`, inject: () => this.setFault(worker, fault, ms) };
    }

    private async setFault(worker: WorkerStandin, fault: WorkerFault, ms: number): Promise<void> {
        worker.fault = fault;
        await delay(ms);
        worker.fault = "none";
    }

    /** Another writer leaves entries that name no upstream, some for good. */
    private async leaveOddEntries(): Promise<void> {
        const keys = oddEntries.map(() => `servers/i-odd-${this.nextOddEntry++}`);
        keys.forEach((key, index) => this.fleet.store.putBytes(key, Buffer.from(oddEntries[index]!)));
        await delay(1_000);
        keys.slice(1).forEach(key => this.fleet.store.remove(key));
    }

    /** A worker says in its answers that it leaves, and its successor takes over. */
    private async replaceWorker(): Promise<void> {
        const leaving = pick(this.fleet.workers.filter(({ isLeaving }) => !isLeaving), this.random);
        const service = leaving.service as "brain" | "ops";
        const zone = pick(["north-a", "north-b", "south-a"], this.random);
        await this.fleet.addWorker(`i-${service}-new-${this.nextWorker++}`, service, zone);
        leaving.isLeaving = true;
        await delay(leaveMs);
        this.fleet.store.remove(`servers/${leaving.id}`);
    }
}
