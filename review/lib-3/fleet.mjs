/** Starts the project's processes as the deploy file does, on loopback addresses, and ends them. */
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** The command that the deploy file names for a role. */
const commandOf = role => {
    const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1];
    return /^run = "(.*)"$/m.exec(section)[1].split(" ");
};

const canListen = (host, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/** Ports that are free on all addresses of the test. */
const findPorts = async (hosts, count) => {
    for (;;) {
        const first = 20_000 + Math.floor(Math.random() * 10_000);
        const ports = Array.from({ length: count }, (_, index) => first + index);
        const free = await Promise.all(hosts.flatMap(host => ports.map(port => canListen(host, port))));
        if (free.every(Boolean)) {
            return ports;
        }
    }
};

export class Fleet {
    machines = new Map();
    dir = mkdtempSync(join(tmpdir(), "review-"));
    #children = new Set();

    constructor(storeAddress, record, settings = {}) {
        this.storeAddress = storeAddress;
        this.record = record;
        this.settings = settings;
        // Its own part of the loopback range, so that two tests do not share addresses.
        this.net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    }

    /** @param machines List of `{ name, role, zone }`. */
    async prepare(machines) {
        const hosts = machines.map((_, index) => `${this.net}.${index + 1}`);
        this.ports = await findPorts(hosts, 20);
        machines.forEach((machine, index) => {
            const region = machine.zone.split("-")[0];
            this.machines.set(machine.name, { ...machine, ip: hosts[index], region, child: undefined, starts: 0 });
        });
        const zones = new Set(machines.map(({ zone }) => zone));
        this.zones = [...zones].map(zone => `${zone} = "${zone.split("-")[0]}"`);
    }

    front(name) {
        return { host: this.machines.get(name).ip, port: this.ports[0] };
    }

    settingsOf({ name, role, zone, region, ip }, firstStart) {
        const [front, ready, ...inner] = this.ports;
        const { bounds = {}, limits = {}, tolerate = 1, tolerateZones = 0, contracts } = this.settings;
        const allBounds = {
            contactMs: 4000,
            ackMs: 5000,
            catchupS: 4.4,
            drainMs: 2500,
            graceS: 8,
            lossSlackMs: 200,
            configApplyMs: 2500,
            recoverS: 12,
            ...bounds,
        };
        return [
            `node = "${name}"`,
            `role = "${role}"`,
            `class = "${role}"`,
            `serves = ["${role}"]`,
            `ip = "${ip}"`,
            `zone = "${zone}"`,
            `region = "${region}"`,
            `innerPorts = [${inner[0]}, ${inner.at(-1)}]`,
            `firstStart = ${firstStart}`,
            `inTolerance = ${role === "store"}`,
            "discovery = \"platform\"",
            "entry = \"vip\"",
            "beatIntervalMs = 1200",
            `contracts = ${
                JSON.stringify(
                    contracts ??
                        ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"],
                )
            }`,
            ...(role === "store" ? [`dataDir = "${join(this.dir, name)}"`] : []),
            "[zones]",
            ...this.zones,
            "[listen]",
            ...(role === "front" ? [`front = "${ip}:${front}"`, `ready = "${ip}:${ready}"`] : []),
            "[limits]",
            "cpuShare = 0.675",
            "cores = 1",
            `memoryMb = ${limits.memoryMb ?? 200}`,
            `fds = ${limits.fds ?? 4100}`,
            "linkMbps = 1000.0",
            "[tolerate]",
            `machines = ${tolerate}`,
            `zones = ${tolerateZones}`,
            "regions = 0",
            "[bounds]",
            ...Object.entries(allBounds).map(([key, value]) => `${key} = ${value}`),
            "[platform]",
            `address = "${this.storeAddress}"`,
            "form = \"kv\"",
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
            "",
        ].join("\n");
    }

    start(name, firstStart = true) {
        const machine = this.machines.get(name);
        if (machine.role === "store") {
            mkdirSync(join(this.dir, name), { recursive: true });
        }
        const file = join(this.dir, `${name}.toml`);
        writeFileSync(file, this.settingsOf(machine, firstStart));
        const [program, ...args] = commandOf(machine.role);
        const child = spawn(program, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: this.dir, LANG: "C", MARIGOLDDRIFT_SETTINGS: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.dir, `${name}.log`), { flags: "a" });
        child.stdout.on("data", chunk => log.write(chunk));
        child.stderr.on("data", chunk => log.write(chunk));
        this.#children.add(child);
        child.on("exit", (code, signal) => {
            this.#children.delete(child);
            this.record(`process ${name} ended: code ${code}, signal ${signal}`);
        });
        machine.child = child;
        machine.starts += 1;
        this.record(`process ${name} started at ${machine.ip}`);
    }

    signal(name, signal) {
        this.record(`${signal} to ${name}`);
        this.machines.get(name).child.kill(signal);
    }

    async exited(name) {
        const { child } = this.machines.get(name);
        if (child.exitCode === null && child.signalCode === null) {
            await new Promise(resolve => child.once("exit", resolve));
        }
    }

    async kill(name) {
        this.signal(name, "SIGKILL");
        await this.exited(name);
    }

    wipe(name) {
        this.record(`disk of ${name} wiped`);
        rmSync(join(this.dir, name), { recursive: true, force: true });
    }

    async isReady(name) {
        const { ip } = this.machines.get(name);
        return await fetch(`http://${ip}:${this.ports[1]}/api/ready`).then(res => res.status === 200, () => false);
    }

    async whenReady(names, timeoutMs = 15_000) {
        const endsAt = performance.now() + timeoutMs;
        for (const name of names) {
            while (!await this.isReady(name)) {
                if (performance.now() > endsAt) {
                    throw new Error(`${name} is not ready; its log ends with ${this.log(name).slice(-500)}`);
                }
                await sleep(50);
            }
        }
    }

    log(name) {
        return readFileSync(join(this.dir, `${name}.log`), "utf8");
    }

    async close() {
        const children = [...this.#children];
        children.forEach(child => {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        });
        await Promise.all(children.map(child =>
            child.exitCode === null && child.signalCode === null ?
                new Promise(resolve => child.once("exit", resolve)) :
                undefined
        ));
        if (process.env.KEEP === undefined) {
            rmSync(this.dir, { recursive: true, force: true });
        }
        else {
            console.log(`logs in ${this.dir}`);
        }
    }
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
