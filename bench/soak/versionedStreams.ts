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

/** Take-ups that must have been possible before their share is judged, and the least share. */
const minJudged = 12;
const minShare = 0.5;

/** Plays callers and releases until it is stopped. */
export class VersionedStreams {
    private readonly workers = new Set<WorkerStandin>();
    private nextVersion = 1;
    private isStopped = false;
    private calmResumptions = 0;
    private calmContinued = 0;

    /** @param random Returns numbers in [0, 1). */
    constructor(
        private readonly fleet: SoakFleet,
        private readonly record: SoakRecord,
        private readonly random: () => number,
    ) {}

    async run(): Promise<void> {
        await this.addVersion();
        await this.addVersion();
        await Promise.all([this.release(), ...Array.from({ length: callerCount }, () => this.runCaller())]);
        this.workers.forEach(worker => worker.close());
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Of the take-ups at undisturbed machines whose version had workers, at least half must have gone on. */
    violations(): string[] {
        const { calmResumptions, calmContinued } = this;
        const isBroken = calmResumptions >= minJudged && calmContinued < minShare * calmResumptions;
        return isBroken ? [`only ${calmContinued} of ${calmResumptions} streams went on that were taken up`] : [];
    }

    private async addVersion(): Promise<void> {
        const version = `v${this.nextVersion++}`;
        for (let index = 0; index < workersPerVersion; index++) {
            const id = `i-${talkService}-${version}-${index}`;
            const worker = new WorkerStandin(id, talkService, true);
            Object.assign(worker, { version, namesVersion: true, events, delayMs: eventMs });
            await worker.start();
            this.workers.add(worker);
            const zone = zones[index % zones.length];
            this.fleet.store.put(`servers/${id}`, { ...worker.entry(), zone, slots: engine.slots });
        }
    }

    /** Adds a version now and then, and ends the oldest one without notice. */
    private async release(): Promise<void> {
        while (!this.isStopped) {
            await this.pause(releaseMs);
            await this.addVersion();
            await this.pause(overlapMs);
            const oldest = [...this.workers][0]!.version;
            for (const worker of [...this.workers].filter(({ version }) => version === oldest)) {
                this.fleet.store.remove(`servers/${worker.id}`);
                worker.close();
                this.workers.delete(worker);
            }
        }
    }

    private async pause(ms: number): Promise<void> {
        for (let left = ms; left > 0 && !this.isStopped; left -= pauseMs) {
            await delay(pauseMs);
        }
    }

    private async runCaller(): Promise<void> {
        while (!this.isStopped) {
            await this.play();
            await delay(pauseMs);
        }
    }

    private async play(): Promise<void> {
        const begun = await receive(this.target().address, {}, 1 + Math.floor(this.random() * maxReceived));
        if (begun.events.length === 0) {
            this.record.count("streams not begun");
            return;
        }
        this.record.count("streams begun");
        const received = [...begun.events];
        for (let tries = 0; tries < maxResumptions && received.length < events; tries++) {
            const part = await this.takeUp(begun, received);
            received.push(...part.events);
        }
        this.check(begun, received);
    }

    private async takeUp(begun: ReceivedPart, received: ReceivedPart["events"]): Promise<ReceivedPart> {
        const { address, name } = this.target();
        const startedAt = performance.now();
        const last = received.at(-1)!;
        const part = await resume(address, begun, last, 1 + Math.floor(this.random() * events));
        const isContinued = part.events.length > 0;
        this.record.count(isContinued ? "streams taken up" : `streams not taken up: ${part.status}`);
        if (this.isCalm(name, startedAt) && this.workersOf(last.version) >= workersPerVersion) {
            this.calmResumptions += 1;
            this.calmContinued += isContinued ? 1 : 0;
        }
        return part;
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
