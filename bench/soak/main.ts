/** `npm run soak -- --seed N --minutes M`: soaks with consecutive seeds; with `--variants`, those of the broken variants. */
import { cac } from "cac";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { runSoak } from "./soak.js";
import type { SoakResult } from "./soak.js";
import { buildVariant, variants } from "./variants.js";

const defaultMinutes = 1;

/** Length of the soak of a variant. */
const variantSeconds = 25;

const maxShown = 20;

const print = (line: string): void => void process.stdout.write(`${line}\n`);

const printResult = (seed: number, { violations, counts, faults, dir }: SoakResult): void => {
    print(`seed ${seed}: ${violations.length} broken promises, ${faults.length} faults`);
    const ordered = Object.entries(counts).sort(([a], [b]) => a < b ? -1 : 1);
    print(`  ${ordered.map(([name, count]) => `${name}: ${count}`).join("; ")}`);
    violations.slice(0, maxShown).forEach(violation => print(`  ${violation}`));
    if (violations.length > 0) {
        print(`  logs and faults: ${dir}`);
    }
};

/** Returns the number of runs in which a promise was broken. */
const soak = async (
    firstSeed: number,
    runs: number,
    seconds: number,
    scale: number,
    checksQuotas: boolean,
    mixesVersions: boolean,
    hasLargePrograms: boolean,
): Promise<number> => {
    let failed = 0;
    for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
        const result = await runSoak({
            seed,
            seconds,
            scale,
            checksQuotas,
            overlapsStarts: true,
            mixesVersions,
            hasLargePrograms,
        });
        failed += result.violations.length > 0 ? 1 : 0;
        printResult(seed, result);
    }
    return failed;
};

/** Returns the number of variants that were not caught. */
const soakVariants = async (namePart: string): Promise<number> => {
    const dir = mkdtempSync(join(tmpdir(), "variants-"));
    let missed = 0;
    for (const variant of variants.filter(({ name }) => name.includes(namePart))) {
        const program = join(dir, "variant.cjs");
        await buildVariant(variant, program);
        const { seed, overlapsStarts = false, mixesVersions = false } = variant;
        const faults = { losesPower: true, overlapsStarts, mixesVersions };
        const result = await runSoak({ seed, seconds: variantSeconds, program, ...faults });
        const isCaught = result.violations.length > 0;
        missed += isCaught ? 0 : 1;
        print(
            `${isCaught ? "caught" : "MISSED"}: ${variant.name} (seed ${variant.seed}): ${result.violations[0] ?? ""}`,
        );
        rmSync(result.dir, { recursive: true, force: true });
    }
    rmSync(dir, { recursive: true });
    return missed;
};

const cli = cac("soak");
cli.option("--seed <n>", "Seed of the first run", { default: 1 });
cli.option("--runs <n>", "Number of runs, with consecutive seeds", { default: 1 });
cli.option("--minutes <m>", "Length of a run", { default: defaultMinutes });
cli.option("--scale <n>", "Machines, workers and callers, as a multiple of the usual number", { default: 1 });
cli.option("--quotas", "Let a workspace send more than its quota, and check what runs in each window");
cli.option("--versions", "Let workers of several software versions serve streams, which callers take up");
cli.option("--large", "Let many programs have large inputs and sub-agents");
cli.option("--variants [text]", "Run the broken variants whose names contain the text; each must be caught");
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
    const { variants: chosen } = options as { variants?: string | true; };
    const failed = chosen !== undefined ?
        await soakVariants(chosen === true ? "" : chosen) :
        await soak(
            Number(options["seed"]),
            Number(options["runs"]),
            Number(options["minutes"]) * 60,
            Number(options["scale"]),
            options["quotas"] === true,
            options["versions"] === true,
            options["large"] === true,
        );
    process.exitCode = failed > 0 ? 1 : 0;
}
