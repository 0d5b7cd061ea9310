/** Runs the program as real processes on loopback, against stand-ins of the store and the workers. */
import { delay } from "@marigolddrift/common";
import { PlatformStandin, WorkerStandin } from "@marigolddrift/platform";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

import { machineSettings } from "../platform/machineSettings.js";
import { ChildProgram } from "./childProgram.js";

const program = fileURLToPath(new URL("../../../platform/dist/main.js", import.meta.url));

/** Ports of a process; a front tries its inner ports from the last one on. */
export const ports = { front: 8149, ready: 8141, metrics: 9464, inner: 7380, lastInner: 7395 };

const giveUpMs = 12_000;
const pollMs = 25;
const host = "carts.example";

const configOf = (version: number) => {
    const route = { host, timeoutMs: 4_000, latencyGoalMs: 300, priority: 0, maxAttempts: 1, service: "ops" };
    return {
        version,
        routes: [{ ...route, name: "look", prefix: "/look/", kind: "safe" }],
        services: [{ name: "ops", maxConns: 96 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
};

/** What the settings of a process say. */
export interface ProcessSettings {
    readonly role: "front" | "store";
    readonly ip: string;
    /** Added to each port but that of the metrics, as for a second process at one address. */
    readonly portOffset?: number;
    readonly dataDir?: string;
    readonly firstStart?: boolean;
}

/** Stand-ins of what surrounds the processes. */
export class Surroundings {
    readonly store = new PlatformStandin();
    readonly worker = new WorkerStandin("i-ops", "ops", false);
    readonly dir = mkdtempSync(join(tmpdir(), "processes-"));
    private readonly processes: ProgramProcess[] = [];
    private readonly takenPorts: (() => void)[] = [];
    private nextAddress = 1;

    static async start(): Promise<Surroundings> {
        const surroundings = new Surroundings();
        await surroundings.store.start();
        await surroundings.worker.start();
        surroundings.store.put("op/config", configOf(1));
        surroundings.store.put("servers/i-ops", { ...surroundings.worker.entry(), slots: 64 });
        return surroundings;
    }

    /** An address of loopback that no other test uses. */
    newAddress(): string {
        return `127.${20 + process.pid % 200}.11.${this.nextAddress++}`;
    }

    /** Takes a port, as another process would. Returns what gives it back. */
    async takePort(ip: string, port: number): Promise<() => void> {
        const server = createServer(socket => socket.destroy());
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, ip, () => resolve());
        });
        const giveBack = (): void => void server.close();
        this.takenPorts.push(giveBack);
        return giveBack;
    }

    startProcess(settings: ProcessSettings, text = this.settingsText(settings)): ProgramProcess {
        const file = join(this.dir, `${this.processes.length}.toml`);
        const started = new ProgramProcess(settings, file, text);
        this.processes.push(started);
        return started;
    }

    settingsText(settings: ProcessSettings): string {
        const { role, ip, portOffset = 0, firstStart = true } = settings;
        const name = `${role}-${ip}-${portOffset}`;
        const inner = ports.inner + portOffset;
        const dataDir = settings.dataDir ?? join(this.dir, `${name}.disk`);
        const isFront = role === "front";
        return machineSettings({
            node: name,
            ip,
            innerPorts: [inner, inner + 15],
            store: this.store.address,
            fields: [`firstStart = ${firstStart}`, ...(isFront ? [] : [`dataDir = "${dataDir}"`])],
            listen: isFront ?
                [`front = "${ip}:${ports.front + portOffset}"`, `ready = "${ip}:${ports.ready + portOffset}"`] :
                [],
        });
    }

    async close(): Promise<void> {
        await Promise.all(this.processes.map(started => started.kill()));
        this.takenPorts.forEach(giveBack => giveBack());
        this.worker.close();
        this.store.close();
        rmSync(this.dir, { recursive: true, force: true });
    }
}

/** One process. */
export class ProgramProcess {
    private readonly child: ChildProgram;

    constructor(private readonly settings: ProcessSettings, readonly settingsFile: string, text: string) {
        writeFileSync(settingsFile, text);
        this.child = new ChildProgram(["--max-old-space-size=96", program, settings.role], settingsFile);
    }

    get pid(): number {
        return this.child.pid;
    }

    /** How the process ended; undefined while it runs. */
    get exit(): string | undefined {
        return this.child.exit;
    }

    signal(signal: NodeJS.Signals): void {
        this.child.signal(signal);
    }

    async kill(): Promise<void> {
        await this.child.kill();
    }

    /** Lines of the log with an event. */
    lines(event: string): Record<string, unknown>[] {
        return this.child.logLines(event).map(line => JSON.parse(line) as Record<string, unknown>);
    }

    /** Resolves to whether the ready address answers 200 within some time. */
    async becomesReady(timeoutMs = giveUpMs): Promise<boolean> {
        const { ip, portOffset = 0 } = this.settings;
        const isReady = async (): Promise<boolean> =>
            await statusOf(ip, ports.ready + portOffset, "/api/ready") === 200;
        await until(async () => this.exit !== undefined || await isReady(), timeoutMs);
        return this.exit === undefined && await isReady();
    }

    /** Resolves to whether the log gets a line with an event before the process ends. */
    async logs(event: string, timeoutMs = giveUpMs): Promise<boolean> {
        await until(() => this.exit !== undefined || this.lines(event).length > 0, timeoutMs);
        return this.lines(event).length > 0;
    }

    /** Reads no more of the log, as a reader that hangs. */
    stopReading(): void {
        this.child.stopReading();
    }

    /** Sends one call; resolves to its status, or the code of the error. */
    call(path = "/look/1"): Promise<number | string> {
        const { ip, portOffset = 0 } = this.settings;
        return statusOf(ip, ports.front + portOffset, path);
    }
}

let nextId = 1;

const statusOf = (ip: string, port: number, path: string): Promise<number | string> =>
    new Promise(resolve => {
        const headers = { "Host": host, "Request-Id": `id-${nextId++}`, "Deadline-Ms": "3500" };
        const req = get({ host: ip, port, path, headers, agent: false }, res => {
            res.resume();
            res.on("end", () => resolve(res.statusCode!));
            res.on("error", err => resolve(err.message));
        });
        req.on("error", (err: NodeJS.ErrnoException) => resolve(err.code ?? err.message));
    });

/** Polls until a condition holds. Resolves to whether it held in time. */
export const until = async (
    condition: () => boolean | Promise<boolean>,
    timeoutMs = giveUpMs,
): Promise<boolean> => {
    const endsAt = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > endsAt) {
            return false;
        }
        await delay(pollMs);
    }
    return true;
};
