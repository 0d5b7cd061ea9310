/** Compares the policies at a few loads, for rounds of work on the policy. */
import { barbeDouceWorkload, brazosWorkload } from "@marigolddrift/workload";

import { runBench } from "./benchRun.js";
import { ablations, baselines, marigolddrift } from "./policies.js";
import { benchUsers } from "./users.js";

const [loads = "0.8,0.95", seeds = "1", which = ""] = process.argv.slice(2);
const samples = { "barbe-douce": barbeDouceWorkload, "brazos": brazosWorkload };
const policies = [marigolddrift, ...baselines, ...ablations].filter(policy => policy.name.includes(which));
for (const user of benchUsers) {
    for (const load of loads.split(",").map(Number)) {
        for (const policy of policies) {
            for (const seed of seeds.split(",").map(Number)) {
                const result = await runBench({
                    workload: samples[user.name],
                    zones: user.zones,
                    policy,
                    load,
                    fault: "none",
                    seed,
                });
                const {
                    allPrograms,
                    failed,
                    firstToken,
                    betweenTokens,
                    goodput,
                    refused,
                    wastedShare,
                    wastedTokenSeconds,
                    cachedShare,
                } = result;
                console.log(
                    `${user.name} ${load} ${
                        policy.name.padEnd(18)
                    } p50 ${allPrograms.p50} p95 ${allPrograms.p95} mean ${allPrograms.mean}`,
                    `ttft95 ${firstToken.p95} itl95 ${betweenTokens.p95} wasted ${(wastedShare * 100).toFixed(0)}% ${
                        Math.round(wastedTokenSeconds / 1e6)
                    }M`,
                    `cached ${(cachedShare * 100).toFixed(0)}% good ${
                        goodput.toFixed(2)
                    } failed ${failed} refused ${refused}`,
                );
            }
        }
    }
}
