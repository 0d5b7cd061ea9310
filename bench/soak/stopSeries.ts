/** Stops fronts in turn while callers use open connections to them, as at the rollout of a release. */
import { delay } from "@marigolddrift/common";

import { LateCallers } from "./lateCallers.js";
import type { Machine } from "./machine.js";
import type { OverlappingStart, OverlappingStarts } from "./overlappingStarts.js";
import { pick } from "./pick.js";
import type { SoakFleet } from "./soakFleet.js";
import type { SoakRecord } from "./soakRecord.js";

const minGapMs = 300;
const maxGapMs = 4_000;

/** Share of the series that stop all fronts of a zone at once, and time for which all are stopped. */
const wholeZoneShare = 0.4;
const maxDownMs = 1_200;

/** Interval at which configurations and SIGHUP come beside the stops. */
const changeIntervalMs = 700;

/** Time after which a front that is stopping gets another signal. */
const maxNextSignalMs = 2_000;

/** Share of the stopped machines whose next process starts while the one before still stops. */
const overlapShare = 0.4;

/** One series. */
export class StopSeries {
    private readonly gapMs: number;
    private readonly groups: readonly (readonly Machine[])[];
    /** Starts of the machines whose next process doesn't wait for the end of the one before. */
    private readonly starts = new Map<Machine, OverlappingStart>();
    private isOver = false;

    /** @param random Returns numbers in [0, 1). */
    constructor(
        private readonly fleet: SoakFleet,
        private readonly record: SoakRecord,
        private readonly random: () => number,
        fronts: readonly Machine[],
    ) {
        this.gapMs = Math.round(minGapMs + random() * (maxGapMs - minGapMs) / Math.ceil(fronts.length / 4));
        this.groups = random() < wholeZoneShare ? byZone(fronts) : fronts.map(front => [front]);
    }

    /** Draws machines whose next process starts while the one before still stops. */
    overlap(machines: readonly Machine[], starts: OverlappingStarts): void {
        for (const machine of machines.filter(() => this.random() < overlapShare)) {
            this.starts.set(machine, starts.whileStopping(machine));
        }
    }

    get description(): string {
        const names = this.groups.map(group => group.map(({ name }) => name).join("+"));
        const starts = [...this.starts.values()].map(({ name }) => `; ${name}`);
        return `${names.join(", ")}, ${this.gapMs} ms apart${starts.join("")}`;
    }

    /** Resolves once all fronts have been started again. */
    async run(): Promise<void> {
        const stops: Promise<void>[] = [];
        const changes = this.change();
        for (const group of this.groups) {
            stops.push(...group.map(front => this.stop(front)));
            await delay(this.gapMs);
        }
        await Promise.all(stops);
        this.isOver = true;
        await changes;
    }

    /** Stops a machine and starts it again, before or after its process has ended. */
    async restart(machine: Machine, downMs: number): Promise<void> {
        const start = this.starts.get(machine);
        await (start === undefined ? this.fleet.restart(machine, "SIGTERM", downMs) : start.inject());
    }

    private async stop(front: Machine): Promise<void> {
        const callers = new LateCallers(this.fleet, this.record, this.random, front);
        await callers.open();
        const restarted = this.restart(front, this.random() * maxDownMs);
        await Promise.all([callers.use(), restarted, this.signalAgain(front)]);
    }

    private async signalAgain(front: Machine): Promise<void> {
        await delay(this.random() * maxNextSignalMs);
        if (this.fleet.isStopping(front)) {
            this.fleet.signal(front, this.random() < 0.5 ? "SIGTERM" : "SIGHUP");
        }
    }

    private async change(): Promise<void> {
        while (!this.isOver) {
            await this.fleet.hangUp(pick(this.groups.flat(), this.random));
            this.fleet.changeConfig();
            await delay(changeIntervalMs);
        }
    }
}

const byZone = (fronts: readonly Machine[]): Machine[][] => {
    const zones = [...new Set(fronts.map(({ zone }) => zone))];
    return zones.map(zone => fronts.filter(front => front.zone === zone));
};
