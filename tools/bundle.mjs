// Bundles the program for the platform into one file, which starts faster and takes less memory than many modules.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/marigolddrift.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
});
