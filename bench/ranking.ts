/** Ranks placements twice, on virtual time and on real daemons over HTTP, with the same programs. */
import { placementNames } from "@marigolddrift/policy";
import type { PlacementName } from "@marigolddrift/policy";
import { barbeDouceWorkload, HttpRunner, planPrograms } from "@marigolddrift/workload";
import type { RunReport, Workload } from "@marigolddrift/workload";

import { LocalFleet } from "./localFleet.js";
import { benchProfile, runBench } from "./policy/benchRun.js";
import { baselines, marigolddrift } from "./policy/policies.js";
import { benchUsers } from "./policy/users.js";
import { barbeDouce } from "./sampleBundle.js";

const seed = Number(process.argv[2] ?? 3);
const [short] = barbeDouceWorkload.kinds;
const zones = benchUsers[0]!.zones;

/** Short programs with long prompts, so that a run takes half a minute and the cache matters. */
const workload: Workload = {
    ...barbeDouceWorkload,
    durationSeconds: 25,
    programsPerSecond: 4,
    kinds: [{
        ...short!,
        calls: { min: 3, max: 6 },
        promptTokens: 2_500,
        answerTokens: 60,
        pauseMs: 700,
        order: false,
    }],
};
const benchNames: Readonly<Record<PlacementName, string>> = {
    expectedFinish: marigolddrift.name,
    expectedFinishSampled: `${marigolddrift.name}, sampled`,
    roundRobin: "round robin",
    leastOutstanding: "least outstanding",
    consistentHashing: "consistent hashing",
    cacheAffinity: "cache affinity",
};

const onDaemons = async (placement: PlacementName): Promise<RunReport> => {
    const { maxBatch, memoryTokens, prefillChunk, prefillMsPerToken } = benchProfile;
    const fleet = new LocalFleet({
        layout: barbeDouce,
        placement,
        engine: { maxBatch, memoryTokens, prefillChunk, prefillMsPerToken },
    });
    await fleet.start();
    const urls = fleet.daemons.map((_, index) => fleet.url(index));
    const runner = new HttpRunner({ urls, key: barbeDouce.callerKey, service: "", timeScale: 1 });
    await runner.run(planPrograms(workload, workload.programsPerSecond!, seed));
    await fleet.stop();
    return runner.recorder.report();
};

const onVirtualTime = (placement: PlacementName): Promise<RunReport> => {
    const policy = [marigolddrift, ...baselines].find(candidate => candidate.name === benchNames[placement])!;
    return runBench({ workload, zones, policy, load: 1, fault: "none", seed });
};

const rows: Record<string, Record<string, number>> = {};
for (const placement of placementNames) {
    const virtual = await onVirtualTime(placement);
    const real = await onDaemons(placement);
    rows[placement] = {
        "bench mean ms": virtual.allPrograms.mean,
        "daemons mean ms": real.allPrograms.mean,
        "bench first token p95 ms": virtual.firstToken.p95,
        "daemons first token p95 ms": real.firstToken.p95,
        "bench cached %": Math.round(virtual.cachedShare * 100),
        "daemons cached %": Math.round(real.cachedShare * 100),
        "daemons failed": real.failed,
    };
}
console.table(rows);
const order = (column: string): string =>
    Object.entries(rows).sort(([, a], [, b]) => a[column]! - b[column]!).map(([name]) => name).join(", ");
console.log(`By mean latency, bench:   ${order("bench mean ms")}`);
console.log(`By mean latency, daemons: ${order("daemons mean ms")}`);
process.exit(0);
