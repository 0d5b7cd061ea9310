/** Starts the successor of a process before its predecessor has given up its ports, or while another program holds one. */
import { delay } from "@marigolddrift/common";

import { holdPort } from "./heldPort.js";
import { ports } from "./machine.js";
import type { Machine } from "./machine.js";
import { pick } from "./pick.js";
import type { SoakFleet } from "./soakFleet.js";
import type { Fault } from "./workerFaults.js";

/** Time after SIGTERM within which the successor starts; part of the grace of 8 s. */
const maxStopMs = 3_000;

/** Time for which a process runs beside its successor before it is killed. */
const maxBesideMs = 1_000;

/** Processes of one machine that follow each other, and the time within which all are started. */
const processesInRow = 3;
const rowMs = 1_000;

const minHeldMs = 200;
const maxHeldMs = 3_000;

/** A fault that starts a process of a machine. */
export interface OverlappingStart extends Fault {
    /** Whether a process is killed, so that its calls end without an answer. */
    readonly kills: boolean;
}

/** Draws overlapping starts. */
export class OverlappingStarts {
    /** @param random Returns numbers in [0, 1). */
    constructor(private readonly fleet: SoakFleet, private readonly random: () => number) {}

    draw(machine: Machine): OverlappingStart {
        return pick(this.all(machine), this.random);
    }

    /** One start of each kind. */
    all(machine: Machine): readonly OverlappingStart[] {
        return [
            this.whileStopping(machine),
            this.besideKilled(machine),
            this.inRow(machine),
            this.withHeldPort(machine),
        ];
    }

    /** The successor starts while its predecessor still answers its last calls. */
    whileStopping(machine: Machine): OverlappingStart {
        // Mostly early in that time, since a machine with a disk is mostly gone within two seconds.
        const startMs = Math.round(this.random() ** 2 * maxStopMs);
        return this.fault(machine, `start ${machine.name} ${startMs} ms after its stop signal`, async () => {
            const stopped = this.stopNewest(machine);
            await delay(startMs);
            this.fleet.startProcess(machine);
            await stopped;
        });
    }

    private besideKilled(machine: Machine): OverlappingStart {
        const killMs = Math.round(this.random() * maxBesideMs);
        const name = `start ${machine.name} beside a process that is killed after ${killMs} ms`;
        const start = this.fault(machine, name, async () => {
            const predecessor = this.fleet.newest(machine);
            this.fleet.startProcess(machine);
            await delay(killMs);
            await predecessor?.stop("SIGKILL");
        });
        return { ...start, kills: true };
    }

    /** Each process but the last is told to stop as its successor starts. */
    private inRow(machine: Machine): OverlappingStart {
        const gapMs = Math.round(this.random() * rowMs / (processesInRow - 1));
        return this.fault(machine, `start ${machine.name} ${processesInRow} times, ${gapMs} ms apart`, async () => {
            const stops: Promise<void>[] = [];
            for (let started = 0; started < processesInRow; started++) {
                stops.push(this.stopNewest(machine));
                this.fleet.startProcess(machine);
                await delay(gapMs);
            }
            await Promise.all(stops);
        });
    }

    private withHeldPort(machine: Machine): OverlappingStart {
        const { front, ready, metrics, inner } = ports;
        const port = pick(machine.role === "front" ? [front, ready, metrics, inner[0]] : [inner[0]], this.random);
        const heldMs = Math.round(minHeldMs + this.random() * (maxHeldMs - minHeldMs));
        const name = `start ${machine.name} while its port ${port} is held for ${heldMs} ms`;
        return this.fault(machine, name, async () => {
            await this.stopNewest(machine);
            const release = await holdPort(machine.ip, port);
            this.fleet.startProcess(machine);
            await delay(heldMs);
            release();
        });
    }

    private async stopNewest(machine: Machine): Promise<void> {
        await this.fleet.newest(machine)?.stop("SIGTERM");
    }

    private fault(machine: Machine, name: string, start: () => Promise<void>): OverlappingStart {
        return { name, kills: false, inject: () => this.fleet.restarts.during([machine.name], start) };
    }
}
