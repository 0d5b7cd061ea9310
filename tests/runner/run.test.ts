import { expect } from "earl";
import { spawnSync } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { after, before, describe, it } from "node:test";

const runner = resolve("tests/run.mjs");
const failingTest = `import { describe, it } from "node:test";
describe("suite", () => {
    it("should pass", () => {});
    it("should (sometimes) fail?", () => { throw new Error("red"); });
});`;

describe("test runner", () => {
    let root = "";
    before(() => root = mkdtempSync(join(tmpdir(), "runner-")));
    after(() => rmSync(root, { recursive: true }));

    const runTests = (source: string, knownFailures: string): { status: number | undefined; output: string; } => {
        writeFileSync(join(root, "one.test.js"), source);
        writeFileSync(join(root, "package.json"), JSON.stringify({ type: "module" }));
        writeFileSync(join(root, "known.txt"), knownFailures);
        const env = { ...process.env };
        // Set by the runner of this test; it would make the inner runner skip its files.
        delete env["NODE_TEST_CONTEXT"];
        const result = spawnSync(process.execPath, [runner, root, join(root, "known.txt")], { env, encoding: "utf8" });
        return { status: result.status ?? undefined, output: result.stdout };
    };

    it("should pass over a listed test that fails, and print it", () => {
        const { status, output } = runTests(failingTest, "test: should (sometimes) fail?\n");
        expect(status).toEqual(0);
        expect(output).toInclude("known red, not deciding: should (sometimes) fail?: failed");
    });

    it("should fail for a test that fails and is not listed", () => {
        expect(runTests(failingTest, "").status).toEqual(1);
    });

    it("should fail for a test file that cannot be loaded", () => {
        expect(runTests("import 'no-such-module';", "").status).toEqual(1);
    });

    it("should fail if a listed test does not exist", () => {
        const passing = failingTest.replace("throw new Error(\"red\")", "");
        expect(runTests(passing, "test: should be gone\n").status).toEqual(1);
        expect(runTests(passing, "").status).toEqual(0);
    });

    // Guards against tests that measure a process's memory beside others that take the machine's processors.
    it("should run tests in hostile/ after all others, one file at a time", () => {
        const journal = join(root, "journal.txt");
        const writing = (name: string): string =>
            `import { appendFileSync } from "node:fs";
            import { it } from "node:test";
            const write = text => appendFileSync(${JSON.stringify(journal)}, text);
            it("should write ${name}", async () => {
                write("<${name}");
                await new Promise(resolve => setTimeout(resolve, 300));
                write("${name}>");
            });`;
        mkdirSync(join(root, "hostile"));
        ["a", "b"].forEach(name => writeFileSync(join(root, "hostile", `${name}.test.js`), writing(name)));
        expect(runTests(writing("z"), "").status).toEqual(0);
        rmSync(join(root, "hostile"), { recursive: true });
        expect(readFileSync(journal, "utf8")).toEqual("<zz><aa><bb>");
    });
});
