/** The main job on embedded stand-ins: programs of both users on a handful of daemons each. */
import { barbeDouceWorkload, brazosWorkload, HttpRunner, planPrograms } from "@marigolddrift/workload";
import type { ProgramKind, Workload } from "@marigolddrift/workload";

import { LocalFleet } from "./localFleet.js";
import { barbeDouce, brazos } from "./sampleBundle.js";
import type { FleetLayout } from "./sampleBundle.js";

const seed = 7;
const demoSeconds = 12;
const timeScale = 0.25;
const programsPerSecond = 2;
const maxCalls = 4;
const answerShare = 0.4;

/** Period of the progress line, on a terminal and elsewhere, in milliseconds. */
const progressMs = process.stdout.isTTY ? 250 : 5_000;

/** One user's part of the demo. */
interface Run {
    readonly layout: FleetLayout;
    readonly fleet: LocalFleet;
    readonly runner: HttpRunner;
    readonly total: number;
    done: number;
    readonly finished: Promise<void>;
}

/** A kind with shorter programs, so that the demo ends within a minute. */
const shorten = (kind: ProgramKind): Pick<ProgramKind, "calls" | "answerTokens"> => ({
    calls: { min: Math.min(maxCalls - 1, kind.calls.min), max: Math.min(maxCalls, kind.calls.max) },
    answerTokens: Math.round(kind.answerTokens * answerShare),
});

const startRun = async (layout: FleetLayout, sample: Workload): Promise<Run> => {
    const fleet = new LocalFleet({ layout });
    await fleet.start();
    const kinds = sample.kinds.map(kind => ({ ...kind, ...shorten(kind) }));
    const workload = { ...sample, kinds, durationSeconds: demoSeconds, bursts: [] };
    const programs = planPrograms(workload, programsPerSecond, seed);
    const urls = fleet.daemons.map((_, index) => fleet.url(index));
    const runner = new HttpRunner({
        urls,
        key: layout.callerKey,
        service: layout.service,
        timeScale,
        onProgress: done => run.done = done,
    });
    const run: Run = { layout, fleet, runner, total: programs.length, done: 0, finished: runner.run(programs) };
    return run;
};

const executions = (run: Run): { total: number; doubled: number; } => {
    const counters = [...run.fleet.standins.services.values()].map(service => service.executionsByKey());
    const byKey = new Map<string, number>();
    for (const [key, count] of counters.flatMap(counter => [...counter])) {
        byKey.set(key, (byKey.get(key) ?? 0) + count);
    }
    return { total: byKey.size, doubled: [...byKey.values()].filter(count => count > 1).length };
};

const wastedShare = (run: Run): number => {
    const caches = [...run.fleet.standins.engines.values()].map(engine => engine.core.cache);
    caches.forEach(cache => cache.chargeRemainingIdleTime());
    const held = caches.reduce((sum, cache) => sum + cache.heldTokenMs, 0);
    return caches.reduce((sum, cache) => sum + cache.wastedTokenMs, 0) / Math.max(1, held);
};

const percent = (share: number): string => `${(share * 100).toFixed(1)} %`;

const rows = (run: Run): Record<string, string | number>[] => {
    const report = run.runner.recorder.report();
    const { total, doubled } = executions(run);
    return Object.entries(report.programs).map(([agent, latency]) => ({
        "user": run.layout.user,
        "agent": agent,
        "programs": latency.count,
        "mean ms": latency.mean,
        "p50 ms": latency.p50,
        "p95 ms": latency.p95,
        "cached prefix": percent(report.cachedShare),
        "wasted cache": percent(wastedShare(run)),
        "side effects": total,
        "doubled": doubled,
    }));
};

const showProgress = (runs: readonly Run[]): void => {
    const parts = runs.map(run => `${run.layout.user}: ${run.done}/${run.total} programs`);
    process.stdout.write(process.stdout.isTTY ? `\r${parts.join("   ")}   ` : `${parts.join("   ")}\n`);
};

const isClean = (run: Run): boolean =>
    run.runner.recorder.failed === 0 && executions(run).doubled === 0 &&
    run.runner.orders.answered === run.runner.orders.sent;

const main = async (): Promise<number> => {
    const runs = await Promise.all([startRun(barbeDouce, barbeDouceWorkload), startRun(brazos, brazosWorkload)]);
    const timer = setInterval(() => showProgress(runs), progressMs);
    await Promise.all(runs.map(run => run.finished));
    clearInterval(timer);
    showProgress(runs);
    process.stdout.write("\n");
    console.table(runs.flatMap(rows));
    const clean = runs.every(isClean);
    runs.flatMap(run => [...run.runner.problems]).forEach(([code, count]) =>
        console.log(`${count} programs failed: ${code}`)
    );
    await Promise.all(runs.map(run => run.fleet.stop()));
    console.log(clean ? "All programs finished, and no side effect ran twice." : "Something went wrong; see above.");
    return clean ? 0 : 1;
};

process.exit(await main());
