/** The `marigolddrift load` command: runs a workload file against real daemons. */
import { HttpRunner, planPrograms, readWorkload } from "@marigolddrift/workload";
import { SingleBar } from "cli-progress";

/** Options of the load command. */
export interface LoadOptions {
    readonly workload: string;
    readonly urls: readonly string[];
    readonly key: string;
    readonly seed: number;
    readonly rate: number | undefined;
    readonly timeScale: number;
    readonly showBar: boolean;
}

/** Runs the programs of a workload file and returns the report. */
export const runLoad = async (options: LoadOptions): Promise<unknown> => {
    const workload = readWorkload(options.workload);
    const rate = options.rate ?? workload.programsPerSecond ?? 1;
    const programs = planPrograms(workload, rate, options.seed);
    const bar = options.showBar ?
        new SingleBar({ format: "{bar} {value}/{total} programs, {duration_formatted}" }) :
        undefined;
    bar?.start(programs.length, 0);
    const runner = new HttpRunner({
        urls: options.urls,
        key: options.key,
        service: workload.service,
        timeScale: options.timeScale,
        onProgress: done => bar?.update(done),
    });
    await runner.run(programs);
    bar?.stop();
    return {
        workload: workload.name,
        seed: options.seed,
        programsPerSecond: rate,
        ...runner.recorder.report(),
        orders: runner.orders,
        problems: Object.fromEntries(runner.problems),
    };
};
