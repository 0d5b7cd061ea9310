/** Runs front and store machines as separate processes against stand-ins of the platform and the workers. */
import { delay } from "@marigolddrift/common";
import { NarrowLink, PlatformStandin, WorkerStandin } from "@marigolddrift/platform";
import { mkdirSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

import { Disturbances } from "./disturbances.js";
import { isReady, ports } from "./machine.js";
import type { Machine } from "./machine.js";
import { delayOfPath } from "./soakCalls.js";
import { configOf, engine } from "./soakConfig.js";
import { SoakProcess } from "./soakProcess.js";
import { settingsText } from "./soakSettings.js";
import { SoakWorkspaces } from "./soakWorkspaces.js";

/** The program as it is built. */
export const builtProgram = fileURLToPath(new URL("../../../platform/dist/main.js", import.meta.url));

/** The link between the regions, 21 Mbit/s each way. */
const link = { bytesPerMs: 2_600, delayMs: 20 };

const readyTimeoutMs = 20_000;

/** The processes and stand-ins of one run. */
export class SoakFleet {
    readonly store = new PlatformStandin();
    readonly machines: readonly Machine[];
    readonly workspaces: SoakWorkspaces;
    /** When processes were told to end, until they were started again. */
    readonly restarts = new Disturbances();
    /** Processes that exited without having been stopped. */
    readonly unexpectedExits: string[] = [];
    /** All workers that have been started, also those that have left. */
    readonly workers: WorkerStandin[] = [];
    private readonly link = new NarrowLink(link);
    /** Processes of each machine, by its name, in the order of their starts; those that have ended are left out at a start. */
    private readonly processes = new Map<string, readonly SoakProcess[]>();
    private farStoreAddress = "";
    private version = 0;
    private closing = false;

    /**
     * @param dir Directory for settings, disks and logs.
     * @param program File that the processes run.
     * @param scale Number of machines and workers, as a multiple of the usual one.
     * @param withQuotas Whether there is a workspace with a low quota.
     */
    constructor(
        private readonly dir: string,
        private readonly program: string,
        private readonly scale = 1,
        private readonly withQuotas = false,
    ) {
        this.workspaces = new SoakWorkspaces(withQuotas);
        // Each machine has an address of its own on loopback, since ports are the same on all machines.
        const network = `127.${20 + process.pid % 200}.0`;
        const zones = ["north-a", "north-b", "south-a"];
        const fronts = times(scale, [...zones, "south-a"]).map(zone => ({ role: "front" as const, zone }));
        const stores = times(Math.ceil(scale / 4), zones).map(zone => ({ role: "store" as const, zone }));
        this.machines = [...fronts, ...stores].map(({ role, zone }, index) => ({
            name: `${role}-${index + 1}`,
            role,
            zone,
            ip: `${network}.${index + 1}`,
        }));
    }

    get fronts(): readonly Machine[] {
        return this.machines.filter(({ role }) => role === "front");
    }

    /** Machines with a disk. */
    get stores(): readonly Machine[] {
        return this.machines.filter(({ role }) => role === "store");
    }

    async start(): Promise<void> {
        await this.store.start();
        this.farStoreAddress = await this.link.open(this.store.address);
        this.changeConfig();
        for (const [index, zone] of times(this.scale, ["north-a", "north-b", "south-a"]).entries()) {
            await this.addWorker(`i-brain-${index}`, "brain", zone);
            await this.addWorker(`i-ops-${index}`, "ops", zone);
        }
        this.machines.forEach(machine => this.startProcess(machine, true));
        await this.waitUntilAllReady();
        await delay(2_000); // Connections between the machines are opened in the background.
    }

    /** Writes a newer configuration, in which a key may have been replaced. */
    changeConfig(): void {
        this.version += 1;
        this.workspaces.replaceKey();
        this.store.put("op/config", configOf(this.version, this.workspaces.tenants()));
    }

    async addWorker(id: string, service: "brain" | "ops", zone: string): Promise<WorkerStandin> {
        const worker = new WorkerStandin(id, service, service === "brain");
        worker.delayOf = path => delayOfPath(path, worker.events);
        await worker.start();
        this.workers.push(worker);
        this.store.put(`servers/${id}`, { ...worker.entry(), zone, slots: engine.slots });
        return worker;
    }

    /** Address for callers. */
    frontAddress({ ip }: Machine): { readonly host: string; readonly port: number; } {
        return { host: ip, port: ports.front };
    }

    signal(machine: Machine, signal: NodeJS.Signals): void {
        this.newest(machine)?.signal(signal);
    }

    /** Ends a process and starts it again a moment after its end; with `wipe` it comes back with an empty disk. */
    async restart(machine: Machine, signal: "SIGKILL" | "SIGTERM", downMs: number, wipe = false): Promise<void> {
        await this.restarts.during([machine.name], () => this.endAndStart(machine, signal, downMs, wipe));
    }

    private async endAndStart(
        machine: Machine,
        signal: "SIGKILL" | "SIGTERM",
        downMs: number,
        wipe: boolean,
    ): Promise<void> {
        await this.newest(machine)?.stop(signal);
        await delay(downMs);
        if (wipe) {
            rmSync(this.dataDir(machine), { recursive: true, force: true });
        }
        this.startProcess(machine);
    }

    /** Ends all processes at once and starts them again; one machine comes back with an empty disk. */
    async losePower(wiped: Machine, downMs: number): Promise<void> {
        await Promise.all(
            this.machines.map(machine => this.restart(machine, "SIGKILL", downMs, machine === wiped)),
        );
    }

    /** Ids of the processes of a machine that have not ended. */
    processIds({ name }: Machine): readonly number[] {
        const running = (this.processes.get(name) ?? []).filter(({ hasEnded }) => !hasEnded);
        return running.map(({ pid }) => pid).filter(pid => pid !== undefined);
    }

    /** Process of a machine that was started last. */
    newest({ name }: Machine): SoakProcess | undefined {
        return this.processes.get(name)?.at(-1);
    }

    /** Whether the newest process of a machine has been told to end, or is away. */
    isStopping(machine: Machine): boolean {
        return this.newest(machine)?.isStopping === true;
    }

    /** Whether the newest process of a machine ended without having been told to. */
    hasEndedByItself(machine: Machine): boolean {
        return this.newest(machine)?.hasEnded === true && !this.isStopping(machine);
    }

    /** Whether a front says that it takes calls, or a machine with a disk has opened its journal. */
    async isServing(machine: Machine): Promise<boolean> {
        return machine.role === "front" ? isReady(machine.ip) : this.newest(machine)?.isJournalOpen === true;
    }

    /** Sends SIGHUP to a front once it is ready, since it would end a process whose runtime has only been started. */
    async hangUp(front: Machine): Promise<void> {
        const newest = this.newest(front);
        // While another process of the machine runs, it may be the other one that says that it is ready.
        const isAlone = this.processes.get(front.name)?.every(other => other === newest || other.hasEnded) === true;
        if (this.isStopping(front) || isAlone && await isReady(front.ip)) {
            newest?.signal("SIGHUP");
        }
    }

    /** Whether the process of a machine has reported that the machine is empty. */
    isRetired({ name }: Machine): boolean {
        return this.store.state.get(`status/retire/${name}`) !== undefined;
    }

    /** Asks for a machine with a disk to be emptied; with `false` withdraws that, as for a new machine of the name. */
    requestRetirement({ name }: Machine, isWanted: boolean): void {
        if (isWanted) {
            this.store.put(`op/retire/${name}`, { durationS: 10 });
            return;
        }
        this.store.remove(`op/retire/${name}`);
        this.store.remove(`status/retire/${name}`);
    }

    async close(): Promise<void> {
        this.closing = true;
        await Promise.all([...this.processes.values()].flat().map(running => running.stop("SIGKILL")));
        this.link.close();
        this.workers.forEach(worker => worker.close());
        this.store.close();
        await delay(100);
    }

    private dataDir({ name }: Machine): string {
        return join(this.dir, `${name}.disk`);
    }

    /** Starts a process of a machine, also while others of the machine still run. */
    startProcess(machine: Machine, firstStart = false): void {
        if (this.closing) {
            return;
        }
        const { name, role } = machine;
        const settings = join(this.dir, `${name}.toml`);
        const dataDir = this.dataDir(machine);
        const addresses = { near: this.store.address, far: this.farStoreAddress };
        mkdirSync(dataDir, { recursive: true });
        const text = settingsText(machine, { dataDir, firstStart, withQuotas: this.withQuotas, addresses });
        // A process that is still starting must not read a file that is half written.
        writeFileSync(`${settings}.new`, text);
        renameSync(`${settings}.new`, settings);
        const files = { program: this.program, settings, log: join(this.dir, `${name}.log`) };
        const started = new SoakProcess(role, files, outcome => {
            this.unexpectedExits.push(`${name} ended by itself with ${outcome}`);
        });
        const running = (this.processes.get(name) ?? []).filter(({ hasEnded }) => !hasEnded);
        this.processes.set(name, [...running, started]);
    }

    private async waitUntilAllReady(): Promise<void> {
        await Promise.all(this.fronts.map(front => this.waitUntilReady(front)));
    }

    private async waitUntilReady({ ip, name }: Machine): Promise<void> {
        const endsAt = performance.now() + readyTimeoutMs;
        while (!await isReady(ip)) {
            if (performance.now() > endsAt) {
                throw new Error(`${name} is not ready after ${readyTimeoutMs} ms`);
            }
            await delay(100);
        }
    }
}

const times = <T>(count: number, items: readonly T[]): T[] => Array.from({ length: count }, () => items).flat();
