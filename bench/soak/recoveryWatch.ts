/** Checks while a soak runs that each machine is back in time after it was disturbed. */
import { delay } from "@marigolddrift/common";

import type { Machine } from "./machine.js";
import type { SoakFleet } from "./soakFleet.js";
import type { SoakRecord } from "./soakRecord.js";
import { bounds } from "./soakSettings.js";

const pollMs = 200;
const recoverMs = bounds.recoverS * 1_000;

/** What the watch sees of the machines. */
export type WatchedFleet = Pick<SoakFleet, "machines" | "restarts" | "hasEndedByItself" | "isServing">;

/** Watches all machines whose process was not told to stop. */
export class RecoveryWatch {
    /** When each machine that is not ready has to be; -Infinity once it was late. */
    private readonly dueAt = new Map<string, number>();
    /** When the disturbances of each machine were looked at last. */
    private readonly checkedAt = new Map<string, number>();
    private isOver = false;

    constructor(
        private readonly fleet: WatchedFleet,
        private readonly record: Pick<SoakRecord, "disturbances" | "violations">,
    ) {}

    async run(): Promise<void> {
        while (!this.isOver) {
            await this.checkAll();
            await delay(pollMs);
        }
    }

    stop(): void {
        this.isOver = true;
    }

    /** Resolves once each machine is ready or was late. */
    async settled(): Promise<void> {
        while (!await this.checkAll()) {
            await delay(pollMs);
        }
    }

    /** Returns whether no machine is waited for. */
    private async checkAll(): Promise<boolean> {
        const areDone = await Promise.all(this.fleet.machines.map(machine => this.check(machine)));
        return areDone.every(isDone => isDone);
    }

    private async check(machine: Machine): Promise<boolean> {
        const { name } = machine;
        const now = performance.now();
        const isDisturbed = this.isDisturbed(name, this.checkedAt.get(name) ?? now, now);
        this.checkedAt.set(name, now);
        // A process that ended by itself is a broken promise of its own.
        const isDone = this.fleet.hasEndedByItself(machine) || await this.fleet.isServing(machine);
        if (isDone || isDisturbed) {
            this.dueAt.set(name, now + recoverMs);
            return isDone;
        }
        const dueAt = this.dueAt.get(name) ?? now + recoverMs;
        if (now < dueAt) {
            this.dueAt.set(name, dueAt);
            return false;
        }
        if (dueAt !== -Infinity) {
            this.record.violations.push(`${name} was not ready ${bounds.recoverS} s after its last disturbance`);
        }
        this.dueAt.set(name, -Infinity);
        return true;
    }

    private isDisturbed(name: string, from: number, to: number): boolean {
        const { disturbances } = this.record;
        return disturbances.overlaps(from, to, name) || disturbances.overlaps(from, to, "store") ||
            this.fleet.restarts.overlaps(from, to, name);
    }
}
