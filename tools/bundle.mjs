// Bundles the platform's program into a single file, which starts faster and uses less memory than separate modules. It
// is built from the sources, so that nothing is written outside target/.
import { build } from "esbuild";
import { readdirSync } from "node:fs";
import { resolve } from "node:path";

const alias = Object.fromEntries(
    readdirSync("packages").map(name => [`@marigolddrift/${name}`, resolve("packages", name, "src/index.ts")]),
);

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/marigolddrift.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    alias,
    tsconfig: "tsconfig.base.json",
});
