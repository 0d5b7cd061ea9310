// Runs all tests; those listed in KNOWN-RED.txt are run and printed, but do not decide the verdict.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const root = "dist/tests";
const files = readdirSync(root, { recursive: true }).filter(file => file.endsWith(".test.js")).map(file =>
    join(root, file)
).sort();
const red = existsSync("KNOWN-RED.txt") ?
    readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter(line => line.startsWith("test: ")).map(line =>
        line.slice(6).trim()
    ) :
    [];
/** Time for a test, and for a file of tests to end after them, in milliseconds: a hung one fails by its name. */
const testTimeoutMs = 180_000;
const options = ["--test", "--test-concurrency=4", `--test-timeout=${testTimeoutMs}`];
const run = args => spawnSync(process.execPath, [...options, ...args, ...files], { stdio: "inherit" }).status ?? 1;
const escape = text => text.replace(/[.*+?^${}()|[\]\\/]/g, "\\$&");

if (red.length === 0) {
    process.exit(run([]));
}
const pattern = `^(${red.map(escape).join("|")})$`;
console.log(`Known red, not deciding:\n${red.map(name => `  ${name}`).join("\n")}`);
run([`--test-name-pattern=/${pattern}/`]);
process.exit(run([`--test-skip-pattern=/${pattern}/`]));
