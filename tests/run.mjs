// Runs all tests. Those listed in KNOWN-RED.txt are run and printed, but do not affect the exit code.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const root = "dist/tests";
const files = readdirSync(root, { recursive: true }).filter(file => file.endsWith(".test.js")).map(file =>
    join(root, file)
).sort();
const knownFailures = existsSync("KNOWN-RED.txt") ?
    readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter(line => line.startsWith("test: ")).map(line =>
        line.slice(6).trim()
    ) :
    [];
/** Timeout of a test, and of a test file's exit after its tests, so that a hung one fails and is reported by name. */
const testTimeoutMs = 180_000;
const options = ["--test", "--test-concurrency=4", `--test-timeout=${testTimeoutMs}`];
const run = args => spawnSync(process.execPath, [...options, ...args, ...files], { stdio: "inherit" }).status ?? 1;
const escape = text => text.replace(/[.*+?^${}()|[\]\\/]/g, "\\$&");

if (knownFailures.length === 0) {
    process.exit(run([]));
}
const pattern = `^(${knownFailures.map(escape).join("|")})$`;
console.log(`Known red, not deciding:\n${knownFailures.map(name => `  ${name}`).join("\n")}`);
run([`--test-name-pattern=/${pattern}/`]);
process.exit(run([`--test-skip-pattern=/${pattern}/`]));
