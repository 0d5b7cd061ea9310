/**
 * Starts the project's programs as separate processes with the commands of the deploy file, on loopback addresses, against
 * stand-ins of the platform's store, the platform's entry and the workers.
 */
import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { createWriteStream, existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, get, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const root = fileURLToPath(new URL("../../", import.meta.url));
const ports = { front: 8149, ready: 8141, inner: 7380, metrics: 9464 };

export const host = "carts.example";
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Bounds of the sheet of bdm-carts. */
export const bounds = {
    seedLagS: 3,
    reuseS: 2,
    contactMs: 4000,
    ackMs: 5000,
    catchupS: 4.4,
    drainMs: 2500,
    graceS: 8,
    lossSlackMs: 200,
    configApplyMs: 2500,
    rollbackSlackMs: 250,
    outerMs: 6000,
    recoverS: 12,
    passMs: 300,
    againS: 0,
    finishS: 10,
    settleMs: 1000,
};

/** Routes and services of the sheet of bdm-carts. */
export const config = version => {
    const route = (name, kind, service, timeoutMs, latencyGoalMs, priority, more = {}) => ({
        name,
        host,
        prefix: `/${name}/`,
        kind,
        timeoutMs,
        latencyGoalMs,
        priority,
        service,
        maxAttempts: 1,
        retain: false,
        keepS: 60,
        sticky: kind === "stream",
        resumable: false,
        ...more,
    });
    const engine = { slots: 12, kvCapacity: 98048, kvTokenBytes: 163840, tokensPerEvent: 10, models: [{ name: "m" }] };
    return {
        version,
        routes: [
            route("restock-chat", "stream", "floss-brain", 4000, 300, 1, { retain: true, gapAimMs: 200 }),
            route("route-plan", "stream", "floss-brain", 4000, 300, 0, { resumable: true, gapAimMs: 200 }),
            route("stock-check", "safe", "cart-ops", 1200, 150, 2, { maxAttempts: 2 }),
            route("supplier-order", "unsafe", "cart-ops", 2000, 250, 2),
            route("vendor-payout", "unsafe", "cart-ops", 1200, 200, 2),
        ],
        services: [
            { name: "floss-brain", healthPath: "/health", maxConns: 150, protocol: "h1", tls: false, engine },
            { name: "cart-ops", healthPath: "/health", maxConns: 96, protocol: "h1", tls: false },
        ],
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    };
};

const zones = { "tunis-a": "tunis-north", "tunis-b": "tunis-north", "sfax-a": "sfax-south" };

/** The command of a role in the deploy file. */
const commandOf = role => {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const section = text.split(/^\[roles\./m).find(part => part.startsWith(`${role}]`));
    return /^run = "(.*)"$/m.exec(section)[1].split(" ");
};

const isFree = (address, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, address, () => server.close(() => resolve(true)));
    });

/** Finds a loopback network on which the ports of all machines are free. */
const findNetwork = async count => {
    for (;;) {
        const network = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
        const checks = [];
        for (let index = 1; index <= count; index++) {
            Object.values(ports).forEach(port => checks.push(isFree(`${network}.${index}`, port)));
        }
        if ((await Promise.all(checks)).every(free => free)) {
            return network;
        }
    }
};

export class Fleet {
    startedAt = performance.now();
    machines = [];
    workers = [];
    processes = new Map();
    nextId = 0;

    /** @param folder Folder of the case, for record.txt. */
    constructor(folder) {
        this.dir = mkdtempSync(join(tmpdir(), "review-"));
        this.lines = [];
        this.recordFile = join(folder, "record.txt");
    }

    /** Adds a line to record.txt. */
    note(text) {
        this.lines.push(`${this.now().toFixed(3)} s  ${text}`);
    }

    /** Seconds since the start of the script. */
    now() {
        return (performance.now() - this.startedAt) / 1000;
    }

    /** @param fronts, stores Zones of the machines. @param workers Options of the workers. */
    async start({ fronts, stores, workers }) {
        if (!existsSync(join(root, "target/marigolddrift.cjs"))) {
            throw new Error("the build of the deploy file is missing");
        }
        const network = await findNetwork(fronts.length + stores.length + 1);
        this.store = new Store(`${network}.${fronts.length + stores.length + 1}`);
        await this.store.start();
        this.store.put("op/config", config(3));
        for (const options of workers) {
            const worker = new Worker({ host: this.store.host, ...options });
            worker.onRan = ({ id }) => this.note(`worker ${worker.id} runs ${id}`);
            await worker.start();
            this.workers.push(worker);
            this.store.put(`servers/${worker.id}`, worker.entry());
        }
        const add = (role, zone) => {
            const index = this.machines.length + 1;
            const number = this.machines.filter(machine => machine.role === role && machine.zone === zone).length + 1;
            this.machines.push({ name: `${role}-${zone}-${number}`, role, zone, ip: `${network}.${index}` });
        };
        fronts.forEach(zone => add("front", zone));
        stores.forEach(zone => add("store", zone));
        this.machines.forEach(machine => this.spawn(machine, true));
        this.pollReady();
        await this.until(() => this.fronts.every(({ ready }) => ready), 20, "the fronts are not ready");
        await sleep(2500); // Connections between machines are opened in the background.
        this.note("all machines are ready");
    }

    get fronts() {
        return this.machines.filter(({ role }) => role === "front");
    }

    get stores() {
        return this.machines.filter(({ role }) => role === "store");
    }

    async until(condition, seconds, problem) {
        const endsAt = this.now() + seconds;
        while (!condition()) {
            if (this.now() > endsAt) {
                throw new Error(problem);
            }
            await sleep(25);
        }
    }

    spawn(machine, firstStart) {
        const folder = join(this.dir, machine.name);
        mkdirSync(folder, { recursive: true });
        const file = join(folder, "settings.toml");
        writeFileSync(file, this.settings(machine, firstStart, join(folder, "data")));
        const [program, ...args] = commandOf(machine.role);
        const child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C", MARIGOLDDRIFT_SETTINGS: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(folder, "log.txt"), { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.on("exit", (code, signal) => {
            this.note(`${machine.name} (process ${child.pid}) ended: ${signal ?? code}`);
            if (this.processes.get(machine.name) === child) {
                this.processes.delete(machine.name);
            }
        });
        this.processes.set(machine.name, child);
        this.note(`${machine.name} started (process ${child.pid})`);
    }

    settings({ name, role, zone, ip }, firstStart, dataDir) {
        const text = value => JSON.stringify(value);
        const table = values => Object.entries(values).map(([key, value]) => `${key} = ${text(value)}\n`).join("");
        const listen = role === "front" ?
            { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}` } :
            {};
        const top = {
            node: name,
            role,
            class: role,
            serves: [role],
            ip,
            zone,
            region: zones[zone],
            innerPorts: [ports.inner, ports.inner + 15],
            seeds: [],
            firstStart,
            inTolerance: role === "store",
            ...(role === "store" ? { dataDir } : {}),
            discovery: "platform",
            entry: "vip",
            beatIntervalMs: 1200,
            contracts: ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"],
        };
        const limits = role === "front" ?
            { cpuShare: 0.675, cores: 1, memoryMb: 200, fds: 4100, linkMbps: 1000, diskMb: 0 } :
            { cpuShare: 0.675, cores: 2, memoryMb: 220, fds: 8200, linkMbps: 600, diskMb: 390 };
        const platform = {
            address: this.store.address,
            form: "kv",
            writesPerS: 400,
            readsPerS: 2000,
            historyS: 20,
            valueBytes: 1048576,
            ttlMinMs: 1000,
        };
        return `${table(top)}[zones]\n${table(zones)}[listen]\n${table(listen)}[limits]\n${table(limits)}` +
            `[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n${table(bounds)}[platform]\n${
                table(platform)
            }`;
    }

    /** Sends a signal to the process of a machine. */
    signal(machine, signal) {
        this.note(`${signal} to ${machine.name}`);
        this.processes.get(machine.name)?.kill(signal);
    }

    async ended(machine, seconds = 10) {
        await this.until(() => !this.processes.has(machine.name), seconds, `${machine.name} does not end`);
    }

    /** Asks each front once a second whether it is ready, as the platform does. */
    pollReady() {
        const ask = machine => {
            const req = get({ host: machine.ip, port: ports.ready, path: "/api/ready", timeout: 900 }, res => {
                res.resume();
                this.setReady(machine, res.statusCode === 200);
            });
            req.on("timeout", () => req.destroy());
            req.on("error", () => this.setReady(machine, false));
        };
        this.readyTimer = setInterval(() => this.fronts.forEach(ask), 1000);
    }

    /** Two misses take a front out of rotation. */
    setReady(machine, isReady) {
        machine.misses = isReady ? 0 : (machine.misses ?? 0) + 1;
        const before = machine.ready === true;
        machine.ready = isReady || (before && machine.misses < 2);
        if (machine.ready !== before) {
            this.note(`${machine.name} is ${machine.ready ? "ready" : "not ready"}`);
        }
    }

    newId() {
        return (0x5e00000000000000n + BigInt(++this.nextId)).toString(16);
    }

    /**
     * Sends one consumer attempt to a front, on a connection of its own unless an agent is given. Resolves to its outcome;
     * `status` is missing if the connection ended without a complete answer.
     */
    send(front, { route, method = "POST", headers = {}, body = "", agent, deadlineMs = 4000, id = this.newId() }) {
        const sentAt = this.now();
        this.note(`${id} ${route} sent to ${front.name}`);
        return new Promise(resolve => {
            const finish = outcome => {
                clearTimeout(timer);
                const how = outcome.status === undefined ?
                    `no complete answer (${outcome.error})` :
                    `${outcome.status}${outcome.whole ? "" : ", broken off"}`;
                this.note(`${id} ${route} answered: ${how}`);
                resolve({ id, front, sentAt, endedAt: this.now(), ...outcome });
            };
            const chunks = [];
            const req = request({
                host: front.ip,
                port: ports.front,
                method,
                path: `/${route}/${id}`,
                agent: agent ?? new Agent({ keepAlive: false }),
                headers: {
                    "Host": host,
                    "Request-Id": id,
                    "Deadline-Ms": String(deadlineMs),
                    ...(method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }),
                    ...headers,
                },
            }, res => {
                res.on("data", chunk => chunks.push(chunk));
                const outcome = whole => ({
                    status: res.statusCode,
                    whole,
                    signed: res.headers["response-signature"] !== undefined,
                    retryAfter: res.headers["retry-after"],
                    body: Buffer.concat(chunks).toString(),
                });
                res.on("end", () => finish(outcome(res.complete)));
                res.on("error", () => finish(outcome(false)));
            });
            req.on("error", err => finish({ error: err.code ?? err.message, reused: req.reusedSocket }));
            const timer = setTimeout(() => req.destroy(new Error("the consumer has left")), deadlineMs + 1000);
            req.end(method === "GET" ? undefined : body);
        });
    }

    /** Sends a turn of a program. */
    turn(front, { program, previous, body, budget = 4000, maxTokens = 290, promptTokens = 1200, agent, route }) {
        return this.send(front, {
            route: route ?? "restock-chat",
            body,
            agent,
            headers: {
                "Model": "m",
                "Token-Usage": `${promptTokens},${maxTokens}`,
                "Program-Id": program,
                "Session-Id": program,
                "Finish-Ms": "60000",
                "Token-Budget": String(budget),
                ...(previous === undefined ? {} : { "Previous-Turn": previous }),
            },
        });
    }

    /** Ends all processes and writes record.txt. */
    async stop() {
        clearInterval(this.readyTimer);
        for (const child of this.processes.values()) {
            child.kill("SIGKILL");
        }
        await this.until(() => this.processes.size === 0, 5, "a process does not end").catch(() => {});
        this.workers.forEach(worker => worker.close());
        this.store?.close();
        writeFileSync(this.recordFile, `${this.lines.join("\n")}\n`);
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.dir, { recursive: true, force: true });
        }
        else {
            process.stderr.write(`logs in ${this.dir}\n`);
        }
    }
}

/** Workers of the sheet, a few of each service. */
export const sheetWorkers = () =>
    ["tunis-a", "tunis-b", "sfax-a"].flatMap((zone, index) => [
        { id: `i-7f3a91c${index}`, service: "floss-brain", zone, slots: 12, queueLimit: 36, streams: true },
        { id: `i-b20d45e${index}`, service: "cart-ops", zone, slots: 6, queueLimit: 24, streams: false },
    ]);

/**
 * Runs a case. `play` gets the fleet and whether to make the disruption, and returns what breaks the rule, as a list of
 * lines; an error means that the case could not run.
 */
export const runCase = async (file, play) => {
    const folder = dirname(fileURLToPath(file));
    const hasTrouble = process.env.TROUBLE !== "0";
    const fleet = new Fleet(folder);
    let code = 2;
    try {
        const broken = await play(fleet, hasTrouble);
        broken.forEach(line => fleet.note(`BROKEN: ${line}`));
        fleet.note(broken.length > 0 ? "result: the rule was broken" : "result: the rule held");
        process.stdout.write(`${broken.length > 0 ? `broken: ${broken[0]} (${broken.length})` : "held"}\n`);
        code = broken.length > 0 ? 1 : 0;
    }
    catch (err) {
        fleet.note(`could not run: ${err.stack}`);
        process.stdout.write(`could not run: ${err.message}\n`);
    }
    await fleet.stop();
    process.exit(code);
};
