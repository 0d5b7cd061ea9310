/** Streams of workers of several software versions, which callers break off and take up again at any front. */
import { delay } from "@marigolddrift/common";
import { WorkerStandin } from "@marigolddrift/platform";

import { pick } from "./pick.js";
import { engine, site, talkService } from "./soakConfig.js";
import type { SoakFleet } from "./soakFleet.js";
import type { SoakRecord } from "./soakRecord.js";
import { receive, resume } from "./streamCallers.js";
import type { CallerTarget, ReceivedPart } from "./streamCallers.js";

const callerCount = 6;

/** Callers that take streams up long after they have left, as when all fronts were killed meanwhile, and the time until then. */
const lateCallerCount = 10;
const minLateMs = 1_000;
const maxLateMs = 8_000;

const workersPerVersion = 2;
const zones = ["north-a", "south-a"];

const events = 8;
const eventMs = 25;

/** Events after which a caller may leave, and take-ups of one stream at most. */
const maxReceived = 4;
const maxResumptions = 3;

const pauseMs = 120;

/** Time after a disturbance in which no bound applies. */
const calmMs = 4_000;

/** Time between two releases, and time for which the old version goes on beside the new one. */
const releaseMs = 7_000;
const overlapMs = 3_000;

/** Share of the releases that restart workers under their id and address, and the longest time for which each is away. */
const restartShare = 0.5;
const maxDownMs = 800;

/**
 * Take-ups that must have been possible before their share is judged, and the least share. Half as many as new streams begin are asked
 * for; all of these are taken to have begun here, which asks for more.
 */
const minJudged = 12;
const minShare = 0.5;

/** Take-ups that were possible, and those of them that went on. */
class TakeUps {
    private judged = 0;
    private continued = 0;

    count(isContinued: boolean): void {
        this.judged += 1;
        this.continued += isContinued ? 1 : 0;
    }

    violations(kind: string): string[] {
        const isBroken = this.judged >= minJudged && this.continued < minShare * this.judged;
        return isBroken ? [`only ${this.continued} of ${this.judged} streams went on that were taken up ${kind}`] : [];
    }
}

/** Plays callers and releases until it is stopped. */
export class VersionedStreams {
    private readonly workers = new Set<WorkerStandin>();
    private nextVersion = 1;
    private nextWorker = 0;
    private isStopped = false;
    private readonly soon = new TakeUps();
    private readonly late = new TakeUps();

    /** @param random Returns numbers in [0, 1). */
    constructor(
        private readonly fleet: SoakFleet,
        private readonly record: SoakRecord,
        private readonly random: () => number,
    ) {}

    async run(): Promise<void> {
        await this.addVersion();
        await this.addVersion();
        const callers = Array.from({ length: callerCount + lateCallerCount }, (_, index) => index >= callerCount);
        await Promise.all([this.release(), ...callers.map(isLate => this.runCaller(isLate))]);
        this.workers.forEach(worker => worker.close());
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Of the take-ups at undisturbed machines whose version had workers, at least half must have gone on. */
    violations(): string[] {
        return [...this.soon.violations("at once"), ...this.late.violations("late")];
    }

    private async addVersion(): Promise<void> {
        const version = `v${this.nextVersion++}`;
        for (let index = 0; index < workersPerVersion; index++) {
            const worker = this.createWorker(`i-${talkService}-${this.nextWorker++}`, version);
            await worker.start();
            this.list(worker);
        }
    }

    private createWorker(id: string, version: string): WorkerStandin {
        const worker = new WorkerStandin(id, talkService, true);
        return Object.assign(worker, { version, namesVersion: true, events, delayMs: eventMs });
    }

    private list(worker: WorkerStandin): void {
        this.workers.add(worker);
        const zone = zones[Number(worker.id.split("-").at(-1)) % zones.length];
        this.fleet.store.put(`servers/${worker.id}`, { ...worker.entry(), zone, slots: engine.slots });
    }

    /** Adds a version now and then, and ends the workers of the oldest one without notice or restarts them with the new version. */
    private async release(): Promise<void> {
        while (!this.isStopped) {
            await this.pause(releaseMs);
            await this.addVersion();
            await this.pause(overlapMs);
            const oldest = [...this.workers][0]!.version;
            const restarts = this.random() < restartShare;
            for (const worker of [...this.workers].filter(({ version }) => version === oldest)) {
                worker.close();
                this.workers.delete(worker);
                if (restarts) {
                    await this.restart(worker);
                }
                else {
                    this.fleet.store.remove(`servers/${worker.id}`);
                }
            }
        }
    }

    /** Starts a worker under the id and the address of one that has ended, with the newest version; its entry comes first. */
    private async restart({ id, address }: WorkerStandin): Promise<void> {
        const worker = this.createWorker(id, `v${this.nextVersion - 1}`);
        worker.address = address;
        this.list(worker);
        await delay(this.random() * maxDownMs);
        // Another socket of this machine may have got the port meanwhile.
        await worker.start(Number(address.split(":")[1])).catch(async () => worker.start());
        if (worker.address !== address) {
            this.list(worker);
        }
        this.record.count("workers restarted with another version");
    }

    private async pause(ms: number): Promise<void> {
        for (let left = ms; left > 0 && !this.isStopped; left -= pauseMs) {
            await delay(pauseMs);
        }
    }

    /** @param isLate Whether the caller waits before it takes a stream up. */
    private async runCaller(isLate: boolean): Promise<void> {
        while (!this.isStopped) {
            await this.play(isLate);
            await delay(pauseMs);
        }
    }

    private async play(isLate: boolean): Promise<void> {
        const begunAt = performance.now();
        const begun = await receive(this.target().address, {}, 1 + Math.floor(this.random() * maxReceived));
        if (begun.events.length === 0) {
            this.record.count("streams not begun");
            return;
        }
        this.record.count("streams begun");
        const received = [...begun.events];
        for (let tries = 0; tries < maxResumptions && received.length < events; tries++) {
            await this.pause(isLate ? minLateMs + this.random() * (maxLateMs - minLateMs) : 0);
            const part = await this.takeUp(begun, received, isLate ? begunAt : undefined);
            received.push(...part.events);
        }
        this.check(begun, received);
    }

    /** @param begunAt Monotonic time at which the caller began the stream, if it has left long ago. */
    private async takeUp(
        begun: ReceivedPart,
        received: ReceivedPart["events"],
        begunAt: number | undefined,
    ): Promise<ReceivedPart> {
        const { address, name } = this.target();
        const startedAt = performance.now();
        const last = received.at(-1)!;
        const part = await resume(address, begun, last, 1 + Math.floor(this.random() * events));
        const isContinued = part.events.length > 0;
        const isAfterKills = this.areAllDisturbed(begunAt ?? startedAt, startedAt);
        const kind = `streams ${isContinued ? "" : "not "}taken up`;
        this.record.count(
            `${kind}${isAfterKills ? " after all fronts were killed" : ""}${isContinued ? "" : `: ${part.status}`}`,
        );
        const isJudged = this.isCalm(name, startedAt) && this.workersOf(last.version) >= workersPerVersion &&
            (begunAt === undefined || this.areRecordsKept(begunAt));
        if (isJudged) {
            this.record.count(`streams judged${begunAt === undefined ? "" : " late"}`);
            (begunAt === undefined ? this.soon : this.late).count(isContinued);
        }
        return part;
    }

    /** Whether every front has been killed or frozen. */
    private areAllDisturbed(from: number, to: number): boolean {
        return this.fleet.fronts.every(({ name }) => this.record.disturbances.overlaps(from, to, name));
    }

    /** Whether no machine with a disk, of which some hold the records of streams in memory, has been restarted since. */
    private areRecordsKept(from: number): boolean {
        const { fleet, record: { disturbances } } = this;
        const now = performance.now();
        return !fleet.stores.some(({ name }) =>
            disturbances.overlaps(from, now, name) || fleet.restarts.overlaps(from, now, name)
        );
    }

    private check(begun: ReceivedPart, received: ReceivedPart["events"]): void {
        const versions = new Set(received.map(({ version }) => version));
        if (versions.size > 1) {
            this.record.violations.push(`stream ${begun.id} has events of ${[...versions].join(" and ")}`);
        }
        if (received.some(({ id }, index) => id !== index)) {
            const ids = received.map(({ id }) => id).join(" ");
            this.record.violations.push(`stream ${begun.id} has the events ${ids}`);
        }
    }

    private target(): { readonly address: CallerTarget; readonly name: string; } {
        const front = pick(this.fleet.fronts, this.random);
        return { address: { ...this.fleet.frontAddress(front), site }, name: front.name };
    }

    private workersOf(version: string): number {
        return [...this.workers].filter(worker => worker.version === version).length;
    }

    /** Whether neither the front nor the store was disturbed in the time in which no bound applies. */
    private isCalm(front: string, startedAt: number): boolean {
        const from = startedAt - calmMs;
        const now = performance.now();
        const { disturbances } = this.record;
        return !this.fleet.restarts.overlaps(from, now, front) &&
            !disturbances.overlaps(from, now, front) && !disturbances.overlaps(from, now, "store");
    }
}
