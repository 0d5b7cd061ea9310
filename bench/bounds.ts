/** Regression bounds of the policy, from the stated targets; seeded and on virtual time. */
import { barbeDouceWorkload, brazosWorkload } from "@marigolddrift/workload";
import { existsSync, readFileSync } from "node:fs";

import { benchFaults, runBench } from "./policy/benchRun.js";
import type { BenchFault, BenchResult } from "./policy/benchRun.js";
import { baselines, marigolddrift } from "./policy/policies.js";
import type { BenchPolicy } from "./policy/policies.js";
import { benchUsers } from "./policy/users.js";
import type { BenchUser } from "./policy/users.js";

const seed = 11;
const seconds = 90;
const maxLatencyShare = 0.7;
const maxWasteShare = 0.5;
const maxFirstTokenMs = 1_400;
const maxBetweenTokensMs = 34;
const minGoodput = 0.95;
const maxFaultFactor = 1.5;
const faults = benchFaults.filter(fault => fault !== "none");

/** A bound with what was measured. */
interface Bound {
    readonly name: string;
    readonly measured: number;
    readonly limit: number;
    readonly holds: boolean;
}

const samples = { "barbe-douce": barbeDouceWorkload, "brazos": brazosWorkload };

const run = (user: BenchUser, policy: BenchPolicy, load: number, fault: BenchFault = "none"): Promise<BenchResult> =>
    runBench({
        workload: { ...samples[user.name], durationSeconds: seconds },
        zones: user.zones,
        policy,
        load,
        fault,
        seed,
    });

const atMost = (name: string, measured: number, limit: number): Bound => ({
    name,
    measured,
    limit,
    holds: measured <= limit,
});

const boundsAgainstBaselines = async (
    user: BenchUser,
    load: number,
): Promise<{ bounds: Bound[]; own: BenchResult; }> => {
    const own = await run(user, marigolddrift, load);
    let latency = Infinity;
    let waste = Infinity;
    let wasteShare = Infinity;
    for (const policy of baselines) {
        const result = await run(user, policy, load);
        latency = Math.min(latency, result.allPrograms.p95);
        waste = Math.min(waste, result.wastedTokenSeconds);
        wasteShare = Math.min(wasteShare, result.wastedShare);
    }
    const at = `${user.name} at ${load * 100} %`;
    return {
        own,
        bounds: [
            atMost(
                `${at}: program latency, 95th percentile, ms`,
                own.allPrograms.p95,
                Math.round(latency * maxLatencyShare),
            ),
            atMost(`${at}: wasted cache, token-seconds`, own.wastedTokenSeconds, Math.round(waste * maxWasteShare)),
            atMost(`${at}: wasted cache, share of memory held`, own.wastedShare, wasteShare * maxWasteShare),
        ],
    };
};

const userBounds = async (user: BenchUser): Promise<Bound[]> => {
    const normal = await boundsAgainstBaselines(user, 0.8);
    const busy = await boundsAgainstBaselines(user, 0.95);
    const over = await run(user, marigolddrift, 1.2);
    const bounds = [
        ...normal.bounds,
        ...busy.bounds,
        atMost(`${user.name} at 80 %: first token, 95th percentile, ms`, normal.own.firstToken.p95, maxFirstTokenMs),
        atMost(
            `${user.name} at 80 %: between tokens, 95th percentile, ms`,
            normal.own.betweenTokens.p95,
            maxBetweenTokensMs,
        ),
        {
            name: `${user.name} at 120 %: goodput, share of capacity`,
            measured: over.goodput,
            limit: minGoodput,
            holds: over.goodput >= minGoodput,
        },
    ];
    for (const fault of faults) {
        const result = await run(user, marigolddrift, 0.8, fault);
        const name = `${user.name}, ${fault}: program latency after 10 s, 95th percentile, ms`;
        bounds.push(atMost(name, result.p95AfterFault, Math.round(normal.own.p95AfterFault * maxFaultFactor)));
        bounds.push(atMost(`${user.name}, ${fault}: programs that failed`, result.failed, 0));
    }
    return bounds;
};

const knownRed = existsSync("KNOWN-RED.txt") ?
    readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter(line => line.startsWith("bound: ")).map(line =>
        line.slice(7)
    ) :
    [];

const bounds: Bound[] = [];
for (const user of benchUsers) {
    bounds.push(...await userBounds(user));
}
let failed = 0;
for (const { holds, limit, measured, name } of bounds) {
    const isKnown = knownRed.includes(name);
    failed += holds || isKnown ? 0 : 1;
    const word = holds ? "holds" : isKnown ? "KNOWN RED" : "BROKEN";
    console.log(
        `${word.padEnd(9)} ${name}: ${Math.round(measured * 1000) / 1000}, bound ${Math.round(limit * 1000) / 1000}`,
    );
}
const red = bounds.filter(({ holds, name }) => !holds && knownRed.includes(name)).length;
console.log(`${bounds.length - failed - red} bounds hold, ${red} are known to be red, ${failed} are broken`);
process.exit(failed === 0 ? 0 : 1);
