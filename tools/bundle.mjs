// Bundles the platform's program into a single file, which starts faster and uses less memory than separate modules, and
// its entry point, which handles signals before that file is read. They are built from the sources, so that nothing is
// written outside target/, or the directory that is given as an argument.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { createHash } from "node:crypto";
import { readdirSync, readFileSync } from "node:fs";
import { resolve } from "node:path";

const digestLength = 12;

const git = args => execFileSync("git", args, { encoding: "utf8", stdio: ["ignore", "pipe", "ignore"] }).trim();

/** The commit, with a mark if sources differ from it; without a repository, a digest of all sources. */
const createBuildId = () => {
    try {
        const commit = git(["rev-parse", `--short=${digestLength}`, "HEAD"]);
        const changes = git(["status", "--porcelain", "--", "packages", "platform", "tools", "package-lock.json"]);
        return changes === "" ? commit : `${commit}-modified`;
    }
    catch {
        return `sources-${digestSources()}`;
    }
};

const digestSources = () => {
    const hash = createHash("sha256");
    const files = ["packages", "platform"].flatMap(root =>
        readdirSync(root, { recursive: true }).map(file => `${root}/${file}`)
    );
    const sources = files.filter(file => /\/src\/.*\.ts$/.test(file) && !file.includes("node_modules")).sort();
    sources.forEach(file => hash.update(file).update(readFileSync(file)));
    return hash.digest("hex").slice(0, digestLength);
};

const alias = Object.fromEntries(
    readdirSync("packages").map(name => [`@marigolddrift/${name}`, resolve("packages", name, "src/index.ts")]),
);

const outputDir = process.argv[2] ?? "target";
const programFile = "marigolddrift-program.cjs";

/** Leaves the program out of the entry point, which loads it from the file beside it. */
const programBeside = {
    name: "program-beside",
    setup: bundler =>
        bundler.onResolve(
            { filter: /^\.\/program\.js$/ },
            () => ({ path: `./${programFile}`, external: true }),
        ),
};

const options = {
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    alias,
    define: { bundledBuildId: JSON.stringify(createBuildId()) },
    tsconfig: "tsconfig.base.json",
};

await build({ ...options, entryPoints: ["platform/src/program.ts"], outfile: `${outputDir}/${programFile}` });
await build({
    ...options,
    entryPoints: ["platform/src/main.ts"],
    outfile: `${outputDir}/marigolddrift.cjs`,
    plugins: [programBeside],
    // An import would be resolved by the loader of ES modules, which first reads the whole file for its exports.
    supported: { "dynamic-import": false },
});
