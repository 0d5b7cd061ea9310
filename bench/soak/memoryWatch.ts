/** Watches that no process of a soak uses more memory than its machine has. */
import { readFileSync } from "node:fs";

import type { Machine } from "./machine.js";

/** Memory of the machines, as their settings name it. */
export const memoryMbOf = ({ role }: Pick<Machine, "role">): number => role === "front" ? 200 : 220;

const sampleIntervalMs = 20;

/** What a {@link MemoryWatch} observes. */
export interface WatchedFleet {
    readonly machines: readonly Machine[];
    /** Ids of the processes of a machine. */
    processIds(machine: Machine): readonly number[];
}

/** Samples the resident size of each process. */
export class MemoryWatch {
    readonly violations: string[] = [];
    /** Most that a process has used, by its role. */
    readonly mostMb = new Map<Machine["role"], number>();
    /** Processes over their memory, so that each counts once. */
    private readonly over = new Set<number>();
    private readonly timer = setInterval(() => this.sample(), sampleIntervalMs).unref();

    constructor(private readonly fleet: WatchedFleet) {}

    stop(): void {
        clearInterval(this.timer);
    }

    private sample(): void {
        for (const machine of this.fleet.machines) {
            this.fleet.processIds(machine).forEach(pid => this.check(machine, pid));
        }
    }

    private check(machine: Machine, pid: number): void {
        const residentMb = residentMbOf(pid);
        this.mostMb.set(machine.role, Math.max(residentMb, this.mostMb.get(machine.role) ?? 0));
        const limitMb = memoryMbOf(machine);
        if (residentMb > limitMb && !this.over.has(pid)) {
            this.over.add(pid);
            this.violations.push(`${machine.name} used ${residentMb} MB of ${limitMb}`);
        }
    }
}

/** Returns 0 for a process that has ended. */
const residentMbOf = (pid: number): number => {
    try {
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024);
    }
    catch {
        return 0;
    }
};
