import { silentLogger } from "@marigolddrift/common";
import { JournalServer } from "@marigolddrift/gateway";
import type { Gateway } from "@marigolddrift/gateway";
import { PlatformStore, WorkerStandin } from "@marigolddrift/platform";
import { expect } from "earl";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";

import { countResumptions, receive, resume } from "../../bench/soak/streamCallers.js";
import type { CallerTarget, ReceivedPart, ResumptionCounts } from "../../bench/soak/streamCallers.js";
import { Deployment, waitUntil } from "./deployment.js";

const streams = 40;

/** Share of the streams that must go on, of those that could: half, where all new streams begin. */
const minWentOn = streams / 2;

/** Events of a stream, after some of which its caller breaks it off. */
const events = 12;
const eventMs = 15;
const receivedEvents = 3;

/** Time within which a refusal must come: at once, in place of the deadline of 2.5 s. */
const atOnceMs = 1_000;

/** A fleet before workers of several versions. */
class Fleet {
    private readonly workers = new Map<string, WorkerStandin>();
    private readonly dir = mkdtempSync(join(tmpdir(), "resumed-"));
    private readonly disks: JournalServer[] = [];

    private constructor(readonly deployment: Deployment) {}

    static async start(versions: Readonly<Record<string, number>>): Promise<Fleet> {
        const deployment = await Deployment.start(0);
        const fleet = new Fleet(deployment);
        deployment.store.remove("servers/i-brain");
        await fleet.addDisk("disk-1");
        await fleet.addDisk("disk-2");
        for (const [version, count] of Object.entries(versions)) {
            await fleet.addWorkers(version, count);
        }
        await fleet.startFronts();
        return fleet;
    }

    async addWorkers(version: string, count: number): Promise<void> {
        for (let index = 0; index < count; index++) {
            await this.addWorker(`i-${version}-${index}`, version);
        }
    }

    async addWorker(id: string, version: string): Promise<WorkerStandin> {
        const worker = new WorkerStandin(id, "brain", true);
        Object.assign(worker, { version, namesVersion: true, events, delayMs: eventMs });
        await worker.start();
        this.workers.set(id, worker);
        this.list(id);
        return worker;
    }

    /** Writes the worker's entry. */
    list(id: string): void {
        this.deployment.store.put(`servers/${id}`, { ...this.workers.get(id)!.entry(), slots: 30 });
    }

    /** Workers leave without notice. */
    removeWorkers(version: string): void {
        for (const [id, worker] of this.workers) {
            if (worker.version === version) {
                this.deployment.store.remove(`servers/${id}`);
                worker.close();
                this.workers.delete(id);
            }
        }
    }

    worker(id: string): WorkerStandin {
        return this.workers.get(id)!;
    }

    /** A worker starts again under its id and at another address, as another process. */
    async restartWorker(id: string, version: string): Promise<void> {
        this.worker(id).close();
        await this.addWorker(id, version);
    }

    /** Whether streams may begin at a version. */
    isDeclared(version: string): boolean {
        const stored = this.deployment.store.state.get("marigolddrift/builds/brain");
        return stored?.value.toString().includes(version) === true;
    }

    get front(): Gateway {
        return this.deployment.gateways.at(-2)!;
    }

    get otherFront(): Gateway {
        return this.deployment.gateways.at(-1)!;
    }

    async startFronts(): Promise<void> {
        await this.deployment.addGateway();
        await this.deployment.addGateway();
        await this.connect();
    }

    /** Ends all fronts, with what they know. */
    killFronts(): void {
        this.deployment.gateways.forEach(gateway => gateway.close());
    }

    /** Waits until the fronts know each other and the machines with disks, as those of a running fleet do. */
    async connect(): Promise<void> {
        for (const gateway of [this.front, this.otherFront]) {
            await gateway.refreshPeers();
        }
        await new Promise(resolve => setTimeout(resolve, 700));
    }

    begin(count = streams): Promise<ReceivedPart[]> {
        const begun = Array.from({ length: count }, () => receive(target(this.front), {}, receivedEvents));
        return Promise.all(begun);
    }

    async resumeAll(begun: readonly ReceivedPart[], at = this.otherFront): Promise<ResumptionCounts> {
        return countResumptions(
            await Promise.all(begun.map(async part => [part, await resume(target(at), part)] as const)),
        );
    }

    async close(): Promise<void> {
        this.workers.forEach(worker => worker.close());
        this.killFronts();
        this.deployment.close();
        await Promise.all(this.disks.map(disk => disk.close()));
        rmSync(this.dir, { recursive: true, force: true });
    }

    private async addDisk(machine: string): Promise<void> {
        const disk = new JournalServer({
            peerAddress: { instance: `${machine}-1`, host: "127.0.0.1", zone: "north-a", region: "north" },
            machine,
            peerPort: 0,
            dir: join(this.dir, machine),
            firstStart: true,
            isCounted: () => true,
            catchUpMs: 0,
            mayTakeTurns: Promise.resolve(),
            store: new PlatformStore(this.deployment.store.address),
            log: silentLogger,
        });
        this.disks.push(disk);
        await disk.start();
    }
}

const target = ({ port }: Gateway): CallerTarget => ({ host: "127.0.0.1", port, site: "carts.example" });

describe("streams that are taken up", () => {
    let fleet: Fleet;
    afterEach(() => fleet.close());

    describe("while two versions serve", () => {
        beforeEach(async () => fleet = await Fleet.start({ v1: 3, v2: 3 }));

        // Guards against a stream that goes on wherever there is room.
        it("should go on at the version that began them, at any instance", async () => {
            const begun = await fleet.begin();
            expect(new Set(begun.map(({ events: [first] }) => first?.version)).size).toEqual(2);
            const counts = await fleet.resumeAll(begun);
            expect({ ...counts, wentOn: counts.wentOn >= minWentOn }).toEqual({
                wentOn: true,
                refused: streams - counts.wentOn,
                joined: 0,
                other: 0,
            });
        });

        // Guards against a version that only the instance knew that began the stream.
        it("should go on at their version after all instances have ended", async () => {
            const begun = await fleet.begin();
            fleet.killFronts();
            await fleet.startFronts();
            const counts = await fleet.resumeAll(begun);
            expect([counts.joined, counts.other, counts.wentOn >= minWentOn]).toEqual([0, 0, true]);
        });

        // Guards against a second take-up that names the first one, or the call that began the stream.
        it("should go on at their version when they are taken up again", async () => {
            const begun = await fleet.begin();
            const second = await Promise.all(
                begun.map(part => resume(target(fleet.otherFront), part, undefined, receivedEvents)),
            );
            const pairs = begun.flatMap((part, index) => {
                const last = second[index]!;
                return last.events.length === 0 ? [] : [[part, last] as const, [last, part] as const];
            });
            const ends = await Promise.all(pairs.map(async ([first, last]) => {
                const rest = await resume(target(fleet.front), first, last.events.at(-1));
                return [{ ...first, events: [...first.events, ...last.events] }, rest] as const;
            }));
            const counts = countResumptions(ends);
            expect([counts.joined, counts.other, counts.wentOn >= minWentOn]).toEqual([0, 0, true]);
        });

        // Guards against a stream that is joined from two versions since its own has left.
        it("should be refused at once if no worker of their version serves", async () => {
            const begun = (await fleet.begin()).filter(({ events: [first] }) => first?.version === "v1");
            fleet.removeWorkers("v1");
            await waitUntil(() => fleet.otherFront.upstreams.size === 4);
            const startedAt = performance.now();
            const counts = await fleet.resumeAll(begun);
            expect(counts).toEqual({ wentOn: 0, refused: begun.length, joined: 0, other: 0 });
            expect(performance.now() - startedAt < atOnceMs).toEqual(true);
        });

        // Guards against a guess for a caller that doesn't say which call began its stream.
        it("should be refused if their callers do not name them", async () => {
            const begun = await fleet.begin();
            const rests = await Promise.all(begun.map(async part => {
                const last = String(part.events.at(-1)!.id);
                return [part, await receive(target(fleet.front), { "Last-Event-Id": last })] as const;
            }));
            expect(countResumptions(rests)).toEqual({ wentOn: 0, refused: streams, joined: 0, other: 0 });
        });

        // Guards against a record of the first try, when the second one brought the first event.
        it("should go on at the version that brought the first event, if another one was tried before", async () => {
            for (const id of ["i-v1-0", "i-v1-1", "i-v1-2"]) {
                fleet.worker(id).fault = "loseResponse";
            }
            const begun = (await fleet.begin()).filter(({ events: received }) => received.length > 0);
            for (const id of ["i-v1-0", "i-v1-1", "i-v1-2"]) {
                fleet.worker(id).fault = "none";
            }
            const counts = await fleet.resumeAll(begun);
            expect([counts.joined, counts.other, counts.wentOn >= begun.length / 2]).toEqual([0, 0, true]);
        });
    });

    describe("while versions change", () => {
        beforeEach(async () => fleet = await Fleet.start({ v1: 3 }));

        // Guards against a cost of the records for the usual case: one version, and instances that restart.
        it("should go on anywhere while one version has served, also after all instances have ended", async () => {
            const begun = await fleet.begin();
            fleet.killFronts();
            await fleet.startFronts();
            expect(await fleet.resumeAll(begun)).toEqual({ wentOn: streams, refused: 0, joined: 0, other: 0 });
        });

        // Guards against an instance that has just started and sees one version only, which is not that of the stream.
        it("should not go on at a version that replaced theirs while all instances were away", async () => {
            const begun = await fleet.begin();
            fleet.killFronts();
            await fleet.addWorkers("v2", 3);
            fleet.removeWorkers("v1");
            await fleet.startFronts();
            const counts = await fleet.resumeAll(begun);
            expect([counts.joined, counts.wentOn, counts.other]).toEqual([0, 0, 0]);
        });

        // Guards against streams that began before the second version came, and are lost with their instance after it.
        it("should go on if another version comes after they began, and all instances end", async () => {
            const begun = await fleet.begin();
            await fleet.addWorkers("v2", 3);
            await waitUntil(() => fleet.front.upstreams.size === 7 && fleet.otherFront.upstreams.size === 7);
            await receive(target(fleet.front));
            await new Promise(resolve => setTimeout(resolve, 300));
            fleet.killFronts();
            await fleet.startFronts();
            const counts = await fleet.resumeAll(begun);
            expect([counts.joined, counts.other, counts.wentOn >= minWentOn]).toEqual([0, 0, true]);
        });

        // Guards against an instance that is cut off from the store, and has not heard of the other version.
        it("should not go on at another version at an instance that does not know theirs", async () => {
            fleet.deployment.disconnectFromStore(1);
            await fleet.addWorkers("v2", 3);
            await waitUntil(() => fleet.front.upstreams.size === 7);
            await waitUntil(() => fleet.isDeclared("v2"));
            const begun = await fleet.begin();
            const ofNew = begun.filter(({ events: [first] }) => first?.version === "v2");
            expect(ofNew.length > 0).toEqual(true);
            const counts = await fleet.resumeAll(begun);
            expect([counts.joined, counts.other]).toEqual([0, 0]);
        });

        // Guards against a worker that keeps its id, and so its place in what is known, but not its version.
        it("should not go on at a worker that has restarted under its id with another version", async () => {
            const begun = await fleet.begin();
            for (const id of ["i-v1-0", "i-v1-1", "i-v1-2"]) {
                await fleet.restartWorker(id, "v2");
            }
            await new Promise(resolve => setTimeout(resolve, 500));
            const counts = await fleet.resumeAll(begun);
            expect([counts.joined, counts.wentOn, counts.other]).toEqual([0, 0, 0]);
        });
    });
});
