/** Runs real programs under overlapping faults and checks the promises to callers, from what callers and workers see. */
import { delay } from "@marigolddrift/common";
import { createRandom } from "@marigolddrift/workload";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { Intruder } from "./intruder.js";
import { MemoryWatch } from "./memoryWatch.js";
import { OverlappingStarts } from "./overlappingStarts.js";
import { pick } from "./pick.js";
import { PowerLoss } from "./powerLoss.js";
import { RecoveryWatch } from "./recoveryWatch.js";
import { SoakCaller } from "./soakCallers.js";
import { SoakChecks } from "./soakChecks.js";
import { SoakFaults } from "./soakFaults.js";
import { builtProgram, SoakFleet } from "./soakFleet.js";
import { SoakRecord } from "./soakRecord.js";
import { workspaceNames } from "./soakWorkspaces.js";
import { VersionedStreams } from "./versionedStreams.js";
import { WorkspaceChecks } from "./workspaceChecks.js";

const callerCount = 12;

/** Share of the programs that begin with a large input. */
const fewLargeShare = 0.02;
const manyLargeShare = 0.25;

/** Callers without rights, and those of a workspace that sends more than its quota. */
const intruderCount = 2;
const crowdCount = 12;

/** Share of the runs at whose end all machines lose power. */
const powerLossShare = 0.5;

/** Callers whose conversations go on for longer than their turns are kept. */
const visitorCount = 2;

/** Time for which callers go on after the last fault, so that recovery is seen. */
const recoveryMs = 6_000;

/** Time in which calls that were given up may still reach a worker. */
const settleMs = 4_500;

/** Distance between the seeds of the callers, which draw in an order that depends on timing. */
const seedStride = 100_000;

/** Settings of a run. */
export interface SoakOptions {
    readonly seed: number;
    readonly seconds: number;
    /** File that the processes run; the built program if missing. */
    readonly program?: string;
    /** Number of machines, workers and callers, as a multiple of the usual one. */
    readonly scale?: number;
    /** Whether all machines lose power at the end; drawn if missing. */
    readonly losesPower?: boolean;
    /** Whether a workspace sends more than its quota, and what runs of it is counted; off if missing. */
    readonly checksQuotas?: boolean;
    /** Whether processes are started beside others of their machine, or while a port is taken; off if missing. */
    readonly overlapsStarts?: boolean;
    /** Whether workers of several software versions serve streams that callers take up; off if missing. */
    readonly mixesVersions?: boolean;
    /** Whether many programs have large inputs and sub-agents; off if missing. */
    readonly hasLargePrograms?: boolean;
}

/** Result of a run. */
export interface SoakResult {
    readonly violations: readonly string[];
    readonly counts: Readonly<Record<string, number>>;
    readonly faults: readonly string[];
    /** Logs of the processes; removed if no promise was broken. */
    readonly dir: string;
}

/**
 * Runs one soak.
 *
 * @example
 * const { violations } = await runSoak({ seed: 7, seconds: 60 });
 */
export const runSoak = async (
    {
        seed,
        seconds,
        program = builtProgram,
        scale = 1,
        losesPower,
        checksQuotas = false,
        overlapsStarts = false,
        mixesVersions = false,
        hasLargePrograms = false,
    }: SoakOptions,
): Promise<SoakResult> => {
    const dir = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
    mkdirSync(dir, { recursive: true });
    const fleet = new SoakFleet(dir, program, scale, checksQuotas);
    const record = new SoakRecord();
    const random = createRandom(seed);
    const isPowerLost = losesPower ?? random() < powerLossShare;
    const starts = overlapsStarts ? new OverlappingStarts(fleet, random) : undefined;
    const faults = new SoakFaults(fleet, record, random, starts);
    const recovery = new RecoveryWatch(fleet, record);
    const memory = new MemoryWatch(fleet);
    try {
        await fleet.start();
        const callers = Array.from(
            { length: callerCount * scale },
            (_, index) => {
                const workspace = workspaceNames[index % workspaceNames.length]!;
                const random = createRandom(seed + index * seedStride);
                const largeShare = hasLargePrograms ? manyLargeShare : fewLargeShare;
                return new SoakCaller(`c${index}`, workspace, fleet, record, random, largeShare);
            },
        );
        const createIntruders = (name: string, count: number): Intruder[] =>
            Array.from(
                { length: count },
                (_, index) =>
                    new Intruder(`${name}${index}`, fleet, record, createRandom(seed + index + seedStride / 2)),
            );
        const intruders = createIntruders("intruder", intruderCount);
        const crowd = createIntruders("crowd", checksQuotas ? crowdCount : 0);
        const versionedStreams = new VersionedStreams(fleet, record, createRandom(seed + seedStride / 4));
        const running = [
            ...(mixesVersions ? [versionedStreams.run()] : []),
            ...callers.map((caller, index) => index < visitorCount ? caller.visit() : caller.run()),
            ...intruders.map(intruder => intruder.run()),
            ...crowd.map(intruder => intruder.press()),
            recovery.run(),
        ];
        await faults.run(seconds * 1_000);
        // A machine with a disk counts as lost for some seconds after it is back, and power is lost only after that.
        await recovery.settled();
        await delay(recoveryMs);
        if (isPowerLost) {
            await new PowerLoss(fleet, record, random, pick(fleet.stores, random)).run();
            await recovery.settled();
        }
        [...callers, ...intruders, ...crowd, recovery, versionedStreams].forEach(started => started.stop());
        await Promise.all(running);
        await delay(settleMs);
        const workspaceChecks = new WorkspaceChecks(record, fleet);
        record.violations.push(
            ...new SoakChecks(record, fleet.workers).violations(),
            ...workspaceChecks.violations(),
            ...versionedStreams.violations(),
            ...(checksQuotas ? workspaceChecks.quotaViolations() : []),
        );
    }
    finally {
        memory.stop();
        record.stalls.stop();
        await fleet.close();
    }
    const violations = [...record.violations, ...memory.violations, ...fleet.unexpectedExits];
    memory.mostMb.forEach((mb, role) => record.counts[`most MB of a ${role}`] = mb);
    writeFileSync(join(dir, "faults.txt"), faults.injected.concat(violations).join("\n"));
    if (violations.length === 0) {
        rmSync(dir, { recursive: true });
    }
    return { violations, counts: record.counts, faults: faults.injected, dir };
};
