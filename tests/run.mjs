// Runs all tests. Those listed in KNOWN-RED.txt are run and printed, but do not affect the exit code.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join, resolve, sep } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const root = process.argv[2] ?? "dist/tests";
const knownFailuresFile = process.argv[3] ?? "KNOWN-RED.txt";

/** Number of test files that run at once. */
const concurrency = 4;

/** Directory of tests that measure the memory of a process under load, and so run after all others, one file at a time. */
const aloneDirectory = "hostile";

/** Timeout of a test, and of a test file's exit after its tests, so that a hung one fails and is reported by name. */
const testTimeoutMs = 180_000;

const knownFailureNames = existsSync(knownFailuresFile) ?
    readFileSync(knownFailuresFile, "utf8").split("\n").filter(line => line.startsWith("test: ")).map(line =>
        line.slice("test: ".length).trim()
    ) :
    [];
const files = readdirSync(root, { recursive: true }).filter(file => file.endsWith(".test.js")).map(file =>
    resolve(join(root, file))
).sort();

const ended = new Set();
const failed = new Set();
// A suite or file whose only fault is a failed test of its own is not counted a second time.
const isOwnFailure = ({ details }) => details.error?.failureType !== "subtestsFailed";

const isAlone = file => file.split(sep).at(-2) === aloneDirectory;
const groups = [
    { files: files.filter(file => !isAlone(file)), concurrency },
    { files: files.filter(isAlone), concurrency: 1 },
];

const runGroup = group =>
    new Promise(resolve => {
        const stream = run({ ...group, timeout: testTimeoutMs });
        stream.on("test:pass", test => ended.add(test.name));
        stream.on("test:fail", test => {
            ended.add(test.name);
            if (isOwnFailure(test)) {
                failed.add(test.name);
            }
        });
        stream.on("end", resolve);
        stream.compose(spec).pipe(process.stdout, { end: false });
    });

for (const group of groups.filter(({ files }) => files.length > 0)) {
    await runGroup(group);
}
const known = new Set(knownFailureNames);
const unexpected = [...failed].filter(name => !known.has(name));
const missing = [...known].filter(name => !ended.has(name));
for (const name of known) {
    console.log(`known red, not deciding: ${name}: ${failed.has(name) ? "failed" : "did not fail"}`);
}
missing.forEach(name => console.log(`listed in ${knownFailuresFile}, but there is no such test: ${name}`));
unexpected.forEach(name => console.log(`failed: ${name}`));
process.exitCode = ended.size === 0 || unexpected.length > 0 || missing.length > 0 ? 1 : 0;
