/** The bench: policies and baselines over loads and faults; prints a table or JSON, and draws a report. */
import { barbeDouceWorkload, brazosWorkload, readWorkload } from "@marigolddrift/workload";
import type { Workload } from "@marigolddrift/workload";
import { cac } from "cac";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";

import { benchFaults, runBench } from "./policy/benchRun.js";
import type { BenchFault, BenchResult, BenchZone } from "./policy/benchRun.js";
import { ablations, baselines, marigolddrift } from "./policy/policies.js";
import { drawReport } from "./policy/report.js";
import { benchUsers } from "./policy/users.js";

const reportFolder = "bench/report";

/** One line of the results. */
export interface BenchLine {
    readonly user: string;
    readonly policy: string;
    readonly load: number;
    readonly fault: BenchFault;
    readonly seed: number;
    readonly decisionMicros: number;
    readonly result: BenchResult;
}

interface Options {
    readonly workload?: string;
    readonly seed: number | string;
    readonly loads: number | string;
    readonly faults: string;
    readonly policies: string;
    readonly json?: boolean;
    readonly seconds?: number;
}

const samples: Readonly<Record<string, Workload>> = { "barbe-douce": barbeDouceWorkload, "brazos": brazosWorkload };

const chosenWorkloads = (options: Options): { workload: Workload; zones: readonly BenchZone[]; }[] => {
    const workloads = options.workload === undefined ? Object.values(samples) : [readWorkload(options.workload)];
    return workloads.map(workload => ({
        workload: options.seconds === undefined ? workload : { ...workload, durationSeconds: Number(options.seconds) },
        zones: (benchUsers.find(user => user.name === workload.user) ?? benchUsers[0]!).zones,
    }));
};

const row = ({ fault, load, policy, result, seed, user }: BenchLine) => ({
    user,
    policy,
    "load": `${Math.round(load * 100)} %`,
    fault,
    seed,
    "p50 s": result.allPrograms.p50 / 1000,
    "p95 s": result.allPrograms.p95 / 1000,
    "p99 s": result.allPrograms.p99 / 1000,
    "mean s": Math.round(result.allPrograms.mean / 100) / 10,
    "first token p95 ms": result.firstToken.p95,
    "between p95 ms": result.betweenTokens.p95,
    "wasted %": Math.round(result.wastedShare * 100),
    "wasted Mtoken-s": Math.round(result.wastedTokenSeconds / 1e5) / 10,
    "goodput": Math.round(result.goodput * 100) / 100,
    "failed": result.failed,
    "refused": result.refused,
});

const run = async (options: Options): Promise<void> => {
    const lines: BenchLine[] = [];
    const policies = [marigolddrift, ...baselines, ...ablations]
        .filter(policy => options.policies === "all" || options.policies.split(",").includes(policy.name));
    const faults = benchFaults.filter(fault => options.faults === "all" || options.faults.split(",").includes(fault));
    for (const { workload, zones } of chosenWorkloads(options)) {
        for (const seed of String(options.seed).split(",").map(Number)) {
            for (const load of String(options.loads).split(",").map(Number)) {
                for (const fault of faults) {
                    for (const policy of policies) {
                        const cpu = process.cpuUsage();
                        const result = await runBench({ workload, zones, policy, load, fault, seed });
                        const micros = process.cpuUsage(cpu).user / Math.max(1, result.firstToken.count);
                        lines.push({
                            user: workload.user,
                            policy: policy.name,
                            load,
                            fault,
                            seed,
                            decisionMicros: Math.round(micros),
                            result,
                        });
                        process.stderr.write(".");
                    }
                }
            }
        }
    }
    process.stderr.write("\n");
    mkdirSync(reportFolder, { recursive: true });
    writeFileSync(join(reportFolder, "results.json"), JSON.stringify(lines, undefined, 2));
    await drawReport(lines, reportFolder);
    if (options.json) {
        process.stdout.write(`${JSON.stringify(lines)}\n`);
    }
    else {
        console.table(lines.map(row));
        console.log(`Plots: ${join(reportFolder, "index.html")}`);
    }
};

const cli = cac("bench");
cli.command("", "Measure the policy against baselines on virtual time")
    .option("--workload <file>", "Workload file; the two users' by default")
    .option("--seed <numbers>", "Seeds, separated by commas", { default: "1" })
    .option("--loads <numbers>", "Shares of the capacity", { default: "0.5,0.8,0.95,1.2" })
    .option("--faults <names>", "Faults, separated by commas, or all", { default: "none" })
    .option("--policies <names>", "Policies, separated by commas, or all", {
        default: [marigolddrift, ...baselines].map(policy => policy.name).join(","),
    })
    .option("--seconds <number>", "Seconds during which programs begin; the workload's by default")
    .option("--json", "Print JSON")
    .action(run);
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
