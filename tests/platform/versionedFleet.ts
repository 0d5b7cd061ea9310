/** Fronts, workers of several versions and callers that take streams up, in one process. */
import { Progress, silentLogger } from "@marigolddrift/common";
import { BuildDeclarations, JournalServer } from "@marigolddrift/gateway";
import { PlatformStore, WorkerStandin } from "@marigolddrift/platform";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { countResumptions, receive, resume } from "../../bench/soak/streamCallers.js";
import type { CallerTarget, ReceivedPart, ResumptionCounts } from "../../bench/soak/streamCallers.js";
import { Deployment } from "./deployment.js";

/** Streams that are begun, and events that their callers have when they leave. */
export const streams = 40;
export const receivedEvents = 3;

/** Time in which fronts that have started read each other and the builds. */
const settleMs = 700;

/** Resolves after some time. */
export const pause = (ms: number): Promise<void> => new Promise(done => setTimeout(done, ms));

/** Two fronts at a time, a machine with a disk, and workers of several versions. */
export class VersionedFleet {
    readonly workers = new Map<string, WorkerStandin>();
    private readonly dir = mkdtempSync(join(tmpdir(), "versioned-fleet-"));
    private disk: JournalServer | undefined;
    private disks = 0;

    constructor(readonly deployment: Deployment) {}

    static async start(versions: Readonly<Record<string, number>>, service = "brain"): Promise<VersionedFleet> {
        const fleet = new VersionedFleet(await Deployment.start(0));
        fleet.deployment.store.remove("servers/i-brain");
        await fleet.addDisk();
        for (const [version, count] of Object.entries(versions)) {
            await fleet.addWorkers(version, count, service);
        }
        return fleet;
    }

    async addWorkers(version: string, count: number, service = "brain"): Promise<void> {
        for (let index = 0; index < count; index++) {
            const id = `i-${service}-${version}-${index}`;
            const worker = new WorkerStandin(id, service, true);
            Object.assign(worker, { version, namesVersion: true, events: 12, delayMs: 15 });
            await worker.start();
            this.workers.set(id, worker);
            this.list(id);
        }
    }

    /** Writes the entry of a worker. */
    list(id: string): void {
        this.deployment.store.put(`servers/${id}`, { ...this.workers.get(id)!.entry(), slots: 30 });
    }

    /** @param index Index among all fronts that have been started; the last two are those that run. */
    front(index: number): CallerTarget {
        return { host: "127.0.0.1", port: this.deployment.gateways.at(index)!.port, site: "carts.example" };
    }

    async startFronts(): Promise<void> {
        await this.deployment.addGateway();
        await this.deployment.addGateway();
        for (const gateway of this.deployment.gateways.slice(-2)) {
            await gateway.refreshPeers();
        }
        await pause(settleMs);
    }

    /** The machine with a disk restarts, with its disk. */
    async restartDisk(): Promise<void> {
        await this.disk!.close();
        await this.addDisk();
    }

    killFronts(): void {
        this.deployment.gateways.forEach(gateway => gateway.close());
    }

    /** Begins streams that their callers leave after some events. */
    begin(front = -2, count = streams): Promise<ReceivedPart[]> {
        return Promise.all(Array.from({ length: count }, () => receive(this.front(front), {}, receivedEvents)));
    }

    async resumeAll(begun: readonly ReceivedPart[], front = -1): Promise<ResumptionCounts> {
        return countResumptions(
            await Promise.all(begun.map(async part => [part, await resume(this.front(front), part)] as const)),
        );
    }

    /** The versions of a service that may begin streams, as the store says now. */
    async declaredVersions(service = "brain"): Promise<string[]> {
        const store = new PlatformStore(this.deployment.store.address);
        const { declared } = await new BuildDeclarations(store, silentLogger).read(service, new Progress(1_000));
        return [...declared].sort();
    }

    async close(): Promise<void> {
        this.workers.forEach(worker => worker.close());
        this.killFronts();
        this.deployment.close();
        await this.disk?.close();
        rmSync(this.dir, { recursive: true, force: true });
    }

    private async addDisk(): Promise<void> {
        this.disk = new JournalServer({
            peerAddress: { instance: `disk-1-${++this.disks}`, host: "127.0.0.1", zone: "north-a", region: "north" },
            machine: "disk-1",
            peerPort: 0,
            dir: this.dir,
            firstStart: true,
            isCounted: () => true,
            catchUpMs: 0,
            mayTakeTurns: Promise.resolve(),
            store: new PlatformStore(this.deployment.store.address),
            log: silentLogger,
        });
        await this.disk.start();
    }
}
