import { delay } from "@marigolddrift/common";
import { PlatformStandin } from "@marigolddrift/platform";
import { expect } from "earl";
import { execFileSync, spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";

import { waitUntil } from "./deployment.js";
import { machineSettings } from "./machineSettings.js";

/** Times after the program's first statements at which signals are sent; the modules are loaded within these. */
const signalTimesMs = Array.from({ length: 16 }, (_, index) => index * 20);

/** Processes that start at the same time. */
const concurrency = 4;

const timeoutMs = 15_000;

/** Reports when the program asks for its first module, which its entry point does after its first statements. */
const probe = `
const Module = require("node:module");
const load = Module._load;
let isReported = false;
Module._load = function (request, parent, isMain) {
    if (!isMain && !isReported) {
        isReported = true;
        require("node:fs").writeSync(1, "loading\\n");
    }
    return load.apply(this, arguments);
};`;

type Role = "front" | "store";

/** One process of the bundled program. */
class StartingProcess {
    output = "";
    readonly child: ChildProcess;
    private readonly ended: Promise<unknown[]>;

    constructor(dir: string, role: Role, index: number, store: string) {
        const name = `${role}-${index}`;
        const ip = `127.${120 + process.pid % 100}.${role === "front" ? 1 : 2}.${index + 1}`;
        const file = join(dir, `${name}.toml`);
        writeFileSync(file, settings(name, role, ip, join(dir, `${name}.disk`), store));
        const args = ["--require", join(dir, "probe.cjs"), join(dir, "marigolddrift.cjs"), role];
        this.child = spawn(process.execPath, args, {
            env: { ...process.env, MARIGOLDDRIFT_SETTINGS: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child.stdout!.on("data", (chunk: Buffer) => this.output += chunk.toString());
        this.child.stderr!.on("data", (chunk: Buffer) => this.output += chunk.toString());
        this.ended = once(this.child, "exit");
    }

    get hasEnded(): boolean {
        return this.child.exitCode !== null || this.child.signalCode !== null;
    }

    /** Returns how the process ended. */
    async end(): Promise<string> {
        const timer = setTimeout(() => this.child.kill("SIGKILL"), timeoutMs);
        await this.ended;
        clearTimeout(timer);
        return String(this.child.exitCode ?? this.child.signalCode);
    }
}

const settings = (node: string, role: Role, ip: string, dataDir: string, store: string): string =>
    machineSettings({
        node,
        ip,
        store,
        fields: ["firstStart = true", ...(role === "store" ? [`dataDir = "${dataDir}"`] : [])],
        listen: role === "front" ? [`front = "${ip}:8149"`, `ready = "${ip}:8141"`] : [],
        graceS: 4,
    });

// Guards against processes that end because a signal comes while their modules are loaded.
describe("a signal that comes while the program is loading", () => {
    const store = new PlatformStandin();
    let dir: string;
    let nextIndex = 0;
    before(async () => {
        dir = mkdtempSync(join(tmpdir(), "early-signals-"));
        execFileSync(process.execPath, ["tools/bundle.mjs", dir]);
        writeFileSync(join(dir, "probe.cjs"), probe);
        await store.start();
    });
    after(() => {
        store.close();
        rmSync(dir, { recursive: true });
    });

    const signalAt = async (role: Role, signal: NodeJS.Signals, ms: number): Promise<string> => {
        const started = new StartingProcess(dir, role, nextIndex++, store.address);
        await waitUntil(() => started.output.includes("loading") || started.hasEnded, timeoutMs);
        await delay(ms);
        started.child.kill(signal);
        if (signal === "SIGHUP") {
            await waitUntil(() => started.output.includes("\"reload\"") || started.hasEnded, timeoutMs);
            await waitUntil(() => started.output.includes("\"started\"") || started.hasEnded, timeoutMs);
            const outcome = started.hasEnded ? "ended" : "reloaded";
            started.child.kill("SIGKILL");
            return `${ms} ms: ${outcome} ${outcome === "ended" ? await started.end() : ""}`.trim();
        }
        return `${ms} ms: ended ${await started.end()}`;
    };
    const signalAtAllTimes = async (role: Role, signal: NodeJS.Signals): Promise<string[]> => {
        const outcomes: string[] = [];
        const remaining = [...signalTimesMs];
        await Promise.all(Array.from({ length: concurrency }, async () => {
            for (let ms = remaining.shift(); ms !== undefined; ms = remaining.shift()) {
                outcomes.push(await signalAt(role, signal, ms));
            }
        }));
        return outcomes.sort((a, b) => parseInt(a) - parseInt(b));
    };

    for (const role of ["front", "store"] as const) {
        it(`should make a process of the role ${role} read its settings at a SIGHUP`, async () => {
            expect(await signalAtAllTimes(role, "SIGHUP")).toEqual(signalTimesMs.map(ms => `${ms} ms: reloaded`));
        });

        it(`should make a process of the role ${role} stop with exit code 0 at a SIGTERM`, async () => {
            expect(await signalAtAllTimes(role, "SIGTERM")).toEqual(signalTimesMs.map(ms => `${ms} ms: ended 0`));
        });
    }
});
