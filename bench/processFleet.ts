/** Runs a fleet as separate processes, with the real commands. */
import { delay } from "@marigolddrift/common";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";

import { sampleAdminKey } from "./fleetFiles.js";
import type { DaemonFile, FleetFiles } from "./fleetFiles.js";

const root = fileURLToPath(new URL("../..", import.meta.url));
const commands = {
    daemon: join(root, "packages/daemon/dist/main.js"),
    cli: join(root, "packages/cli/dist/main.js"),
    standins: join(root, "packages/standins/dist/main.js"),
};
const startTimeoutMs = 30_000;
const pollMs = 50;

/** Result of a command. */
export interface CommandResult {
    readonly code: number;
    readonly stdout: string;
    readonly stderr: string;
}

/** Runs `marigolddrift` with arguments. */
export const runCli = (args: readonly string[]): Promise<CommandResult> => {
    const child = spawn(process.execPath, [commands.cli, ...args], { stdio: ["ignore", "pipe", "pipe"] });
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", chunk => stdout += String(chunk));
    child.stderr.on("data", chunk => stderr += String(chunk));
    return new Promise(resolve => child.on("close", code => resolve({ code: code ?? -1, stdout, stderr })));
};

/** Stand-ins and daemons, each daemon in a process of its own. */
export class ProcessFleet {
    private readonly processes = new Map<string, ChildProcess>();

    constructor(readonly files: FleetFiles) {}

    /** Starts everything, installs the bundle by the command line, and waits until all slots are owned. */
    async start(): Promise<void> {
        this.files.write();
        this.spawn("standins", commands.standins, this.files.standinsFile);
        await this.waitFor(async () => (await this.get(this.files.store, "counters")) !== undefined);
        await this.installBundle();
        this.files.daemons.forEach(daemon => this.startDaemon(daemon));
        await this.waitUntilSettled();
    }

    startDaemon(daemon: DaemonFile): void {
        this.spawn(daemon.id, commands.daemon, daemon.file);
    }

    url(index: number): string {
        const daemons = this.files.daemons;
        return `http://127.0.0.1:${daemons[index % daemons.length]!.http}`;
    }

    /** Sends a signal to a daemon, or to the stand-ins. */
    kill(id: string, signal: NodeJS.Signals): void {
        this.processes.get(id)?.kill(signal);
    }

    /** Waits until a process has ended; returns its exit code. */
    async ended(id: string): Promise<number | undefined> {
        const child = this.processes.get(id);
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
            return child?.exitCode ?? undefined;
        }
        return await new Promise(resolve => child.once("exit", code => resolve(code ?? undefined)));
    }

    async stop(): Promise<void> {
        for (const [id, child] of this.processes) {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
            await this.ended(id);
        }
    }

    /** Sets a fault on a stand-in. */
    async fault(address: string, fault: object): Promise<void> {
        const res = await request(`http://${address}/faults`, { method: "POST", body: JSON.stringify(fault) });
        await res.body.dump();
    }

    /** Reads a document of a stand-in or an admin port. */
    async get<T>(address: string, path: string): Promise<T | undefined> {
        try {
            const res = await request(`http://${address}/${path}`, {
                headers: { authorization: `Bearer ${sampleAdminKey}` },
            });
            return res.statusCode === 200 ? await res.body.json() as T : undefined;
        }
        catch {
            return undefined;
        }
    }

    /** Executions of service calls by idempotency key, over all upstreams. */
    async executions(): Promise<Map<string, number>> {
        const byKey = new Map<string, number>();
        for (const { address } of this.files.services()) {
            const counters = await this.get<{ executions: Record<string, number>; }>(address, "counters");
            for (const [key, count] of Object.entries(counters?.executions ?? {})) {
                byKey.set(key, (byKey.get(key) ?? 0) + count);
            }
        }
        byKey.delete("");
        return byKey;
    }

    /** Waits until the daemons know each other and own all slots. */
    async waitUntilSettled(): Promise<void> {
        await this.waitFor(async () => {
            const views = await Promise.all(
                this.files.daemons.map(daemon =>
                    this.get<{ slots: number; peers: readonly { state: string; }[]; }>(
                        `127.0.0.1:${daemon.admin}`,
                        "status",
                    )
                ),
            );
            const slots = views.reduce((sum, view) => sum + (view?.slots ?? 0), 0);
            const others = this.files.daemons.length - 1;
            return slots === 64 &&
                views.every(view => view?.peers.filter(peer => peer.state === "live").length === others);
        });
    }

    async waitFor(condition: () => Promise<boolean>): Promise<void> {
        const until = Date.now() + startTimeoutMs;
        while (!await condition()) {
            if (Date.now() > until) {
                throw new Error(`the fleet in ${this.files.folder} did not get ready; look at its log files`);
            }
            await delay(pollMs);
        }
    }

    private async installBundle(): Promise<void> {
        const store = ["--store", this.files.store];
        const as = (
            operator: "amira" | "basil",
        ): string[] => ["--operator", operator, "--key-file", this.files.keyFile(operator)];
        const regions = [...new Set(this.files.layout.zones.map(zone => zone.region))];
        const steps = [
            ["bundle", "propose", this.files.bundleFile, ...store, ...as("amira")],
            ["bundle", "review", ...store, ...as("basil")],
            ["bundle", "sign-off", ...store, ...as("basil")],
            ...regions.map(region => ["bundle", "rollout", "--region", region, ...store, ...as("amira")]),
        ];
        for (const step of steps) {
            const result = await runCli(step);
            if (result.code !== 0) {
                throw new Error(`marigolddrift ${step.join(" ")} failed: ${result.stderr}`);
            }
        }
    }

    private spawn(id: string, command: string, file: string): void {
        const child = spawn(process.execPath, [command, "--config", file], { stdio: ["ignore", "pipe", "pipe"] });
        const log = createWriteStream(join(this.files.folder, `${id}.log`), { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        this.processes.set(id, child);
    }
}
