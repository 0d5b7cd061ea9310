/** Runs the built front as a process of its own, against stand-ins of the store and the workers, and watches its resources. */
import { delay } from "@marigolddrift/common";
import { PlatformStandin, WorkerStandin } from "@marigolddrift/platform";
import { execFileSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { TestContext } from "node:test";
import { fileURLToPath } from "node:url";

import { machineSettings } from "../platform/machineSettings.js";
import { ChildProgram } from "../processes/childProgram.js";

const root = fileURLToPath(new URL("../../../", import.meta.url));

/** The program as deployments run it. */
export const bundledProgram = join(root, "target/marigolddrift.cjs");

/** Options of the start command in deploy/system.toml. */
const nodeOptions = ["--max-old-space-size=96", "--max-semi-space-size=4"];

const frontPort = 8149;
const readyPort = 8141;

/** Time after which a front that is not ready, or a request that is not answered, counts as failed. */
const giveUpMs = 30_000;
const sampleIntervalMs = 25;

/** Route timeout far beyond what a test takes: these tests check no times. */
const timeoutMs = 25_000;

/** Host name of all routes. */
export const hostileHost = "hostile.example";
const engine = { slots: 64, kvCapacity: 90_000_000, tokensPerEvent: 10 };

/** Limits on callers in the configuration, as deployments have them. */
export const callerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4 * 1024 * 1024,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

const route = (name: string, prefix: string, changes: Record<string, unknown>) => ({
    name,
    host: hostileHost,
    prefix,
    timeoutMs,
    latencyGoalMs: 300,
    priority: 0,
    maxAttempts: 1,
    ...changes,
});

/** What a test allows the process. */
export interface HostileSettings {
    /** Memory of the machine; the process must stay below it. */
    readonly memoryMb: number;
    /** Descriptors that the process may have open. */
    readonly fds: number;
    readonly limits?: Partial<typeof callerLimits>;
    /** Address in place of that of the stand-in for a worker without streams. */
    readonly plainWorkerAddress?: string;
}

/** Resources of the process, as the kernel reports them. */
export interface Usage {
    readonly residentMb: number;
    readonly peakMb: number;
    readonly descriptors: number;
}

/** Returns the memory that a process uses, and the most that it has used. */
export const memoryOf = (pid: number): Pick<Usage, "residentMb" | "peakMb"> => {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const megabytes = (name: string): number =>
        Math.round(Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / 1024);
    return { residentMb: megabytes("VmRSS"), peakMb: megabytes("VmHWM") };
};

/** Builds the bundle that deployments run, so that the tests play against the present sources. */
export const buildBundle = (): void => {
    execFileSync(process.execPath, ["tools/bundle.mjs"], { cwd: root, stdio: "ignore" });
};

/** Returns the text of a request's head; without a blank line at its end if `isOpen`. */
export const headOf = (method: string, path: string, headers: readonly string[] = [], isOpen = false): string => {
    const lines = [`${method} ${path} HTTP/1.1`, `Host: ${hostileHost}`, `Request-Id: id-${nextId++}`, ...headers];
    return `${lines.join("\r\n")}\r\n${isOpen ? "" : "\r\n"}`;
};

let nextId = 1;

/** A front process and its surroundings. */
export class HostileFront {
    readonly plainWorker = new WorkerStandin("i-ops", "ops", false);
    readonly streamingWorker = new WorkerStandin("i-brain", "brain", true);
    readonly ip = `127.${20 + process.pid % 200}.7.1`;
    /** Most descriptors that were open at any sample. */
    peakDescriptors = 0;
    private readonly store = new PlatformStandin();
    private readonly dir = mkdtempSync(join(tmpdir(), "hostile-"));
    private process: ChildProgram | undefined;
    private sampler: NodeJS.Timeout | undefined;

    private constructor(readonly settings: HostileSettings) {}

    static async start(settings: HostileSettings): Promise<HostileFront> {
        const front = new HostileFront(settings);
        await front.store.start();
        await front.plainWorker.start();
        await front.streamingWorker.start();
        front.store.put("op/config", configOf(settings));
        const { plainWorkerAddress = front.plainWorker.address } = settings;
        const plainEntry = { ...front.plainWorker.entry(), address: plainWorkerAddress, slots: engine.slots };
        front.store.put("servers/i-ops", plainEntry);
        front.store.put("servers/i-brain", { ...front.streamingWorker.entry(), slots: engine.slots });
        await front.startProcess();
        return front;
    }

    get address(): { readonly host: string; readonly port: number; } {
        return { host: this.ip, port: frontPort };
    }

    /**
     * Answers an ordinary request and returns what went wrong, as a list of lines; an empty list if the process is alive,
     * within its bounds, and answered 200. Reports what the process used with the test.
     */
    async findFaults(test: Pick<TestContext, "diagnostic">): Promise<string[]> {
        const status = await this.callOnce();
        const faults: string[] = [];
        if (this.process?.exit !== undefined) {
            return [`the process ended with ${this.process.exit}`, `an ordinary request: ${status}`];
        }
        test.diagnostic(JSON.stringify({ ...this.usage(), peakDescriptors: this.peakDescriptors, status }));
        const { memoryMb, fds } = this.settings;
        const { residentMb, peakMb, descriptors } = this.usage();
        if (Math.max(peakMb, residentMb) >= memoryMb) {
            faults.push(`resident memory: ${peakMb} MB at most, ${residentMb} MB now; the machine has ${memoryMb}`);
        }
        if (Math.max(descriptors, this.peakDescriptors) > fds) {
            faults.push(`descriptors: ${this.peakDescriptors} at most, ${descriptors} now; the limit is ${fds}`);
        }
        if (status !== 200) {
            faults.push(`an ordinary request: ${status}`);
        }
        return faults;
    }

    /** Sends one ordinary request on a connection of its own; resolves to its status, or the reason why there is none. */
    callOnce(path = "/look/1"): Promise<number | string> {
        return new Promise(resolve => {
            const headers = {
                "Host": hostileHost,
                "Request-Id": `ordinary-${nextId++}`,
                "Deadline-Ms": String(timeoutMs),
            };
            const req = request({ ...this.address, method: "GET", path, headers, agent: false }, res => {
                res.on("error", err => resolve(err.message));
                res.on("end", () => resolve(res.statusCode!));
                res.resume();
            });
            req.setTimeout(giveUpMs, () => req.destroy(new Error("no answer")));
            req.on("error", err => resolve(err.message));
            req.end();
        });
    }

    usage(): Usage {
        const { pid } = this.process!;
        return { ...memoryOf(pid), descriptors: readdirSync(`/proc/${pid}/fd`).length };
    }

    /** Whether the process has ended by itself. */
    get hasEnded(): boolean {
        return this.process?.exit !== undefined;
    }

    /** Lines of the process's log with the given event. */
    logLines(event: string): string[] {
        return this.process!.logLines(event);
    }

    async close(): Promise<void> {
        clearInterval(this.sampler);
        await this.process?.kill();
        this.plainWorker.close();
        this.streamingWorker.close();
        this.store.close();
        rmSync(this.dir, { recursive: true, force: true });
    }

    private async startProcess(): Promise<void> {
        const file = join(this.dir, "front.toml");
        writeFileSync(file, this.settingsText());
        this.process = new ChildProgram([...nodeOptions, bundledProgram, "front"], file);
        const startedAt = performance.now();
        while (!await this.isReady()) {
            if (this.hasEnded || performance.now() - startedAt > giveUpMs) {
                throw new Error(`the front did not start: ${this.process.lastOutput}`);
            }
            await delay(50);
        }
        // The first call loads code and opens the connection to the worker.
        await this.callOnce();
        this.sampler = setInterval(() => this.sample(), sampleIntervalMs);
    }

    private sample(): void {
        try {
            this.peakDescriptors = Math.max(this.peakDescriptors, this.usage().descriptors);
        }
        catch {
            // The process has ended; `findFaults` reports that.
        }
    }

    private isReady(): Promise<boolean> {
        return new Promise(resolve => {
            get({ host: this.ip, port: readyPort, path: "/api/ready", agent: false }, res => {
                res.resume();
                resolve(res.statusCode === 200);
            }).on("error", () => resolve(false));
        });
    }

    private settingsText(): string {
        const { ip, settings } = this;
        return machineSettings({
            node: "front-1",
            ip,
            store: this.store.address,
            listen: [`front = "${ip}:${frontPort}"`, `ready = "${ip}:${readyPort}"`],
            limits: [`memoryMb = ${settings.memoryMb}`, `fds = ${settings.fds}`],
        });
    }
}

const configOf = (settings: HostileSettings) => ({
    version: 1,
    routes: [
        route("look", "/look/", { kind: "safe", service: "ops" }),
        route("order", "/order/", { kind: "unsafe", service: "ops" }),
        route("talk", "/talk/", { kind: "stream", service: "brain" }),
        route("chat", "/chat/", { kind: "stream", service: "brain", retain: true, keepS: 60 }),
    ],
    services: [{ name: "brain", maxConns: 1_200, engine }, { name: "ops", maxConns: 1_200 }],
    limits: { ...callerLimits, ...settings.limits },
});
