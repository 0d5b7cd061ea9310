/** What a scripted case needs: a stand-in of the platform's store, raw workers and callers, and the project's processes. */
import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createHttpServer, get } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

export const withTrouble = process.env.TROUBLE !== "0";
export const exits = { held: 0, broken: 1, couldNotRun: 2 };

const root = resolve(import.meta.dirname, "../..");
const program = join(root, "target/marigolddrift.cjs");

export const sleep = ms => new Promise(done => setTimeout(done, ms));

export const until = async (condition, timeoutMs, pollMs = 20) => {
    const endsAt = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > endsAt) {
            return false;
        }
        await sleep(pollMs);
    }
    return true;
};

const freePort = host =>
    new Promise((done, fail) => {
        const server = createServer();
        server.once("error", fail);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => done(port));
        });
    });

/** Writes what was sent, answered and run, with the time since the start. */
export class Record {
    constructor(file) {
        this.file = file;
        this.startedAt = performance.now();
        writeFileSync(file, "");
    }

    add(text) {
        const ms = Math.round(performance.now() - this.startedAt);
        appendFileSync(this.file, `${String(ms).padStart(6)} ms  ${text}\n`);
    }
}

/** The platform's store, as PROTOCOL.md describes it. */
export class PlatformStore {
    items = new Map();
    events = [];
    revision = 1;
    waiting = new Set();
    nextLease = 1;
    /** Called with each call before it is served; may return "drop" to leave it without an answer. */
    onCall = () => undefined;

    async start() {
        this.server = createHttpServer((req, res) => void this.handle(req, res));
        this.server.keepAliveTimeout = 60_000;
        await new Promise(done => this.server.listen(0, "127.0.0.1", done));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    put(key, value) {
        this.write([{
            key,
            value: Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString("base64"),
        }], []);
    }

    remove(key) {
        this.write([], [key]);
    }

    write(writes, removals) {
        const rev = ++this.revision;
        for (const { key, value, lease = 0 } of writes) {
            const createdRev = this.items.get(key)?.createdRev ?? rev;
            const item = { key, value, rev, createdRev, lease };
            this.items.set(key, item);
            this.events.push(item);
        }
        for (const key of removals) {
            if (this.items.delete(key)) {
                this.events.push({ key, rev, deleted: true });
            }
        }
        this.waiting.forEach(wake => wake());
        return rev;
    }

    async handle(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        const url = new URL(req.url, "http://store");
        const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
        const verdict = await this.onCall(req, url, body);
        if (verdict === "drop") {
            return;
        }
        const [status, answer] = await this.serve(url, body, res);
        res.writeHead(status, { "Content-Type": "application/json" });
        res.end(JSON.stringify(answer));
    }

    async serve(url, body, res) {
        const query = url.searchParams;
        switch (url.pathname) {
            case "/api/kv-key": {
                const item = this.items.get(query.get("key"));
                return item === undefined ? [404, { at: this.revision }] : [200, { ...item, at: this.revision }];
            }
            case "/api/kv-range":
                return [200, this.range(query.get("prefix") ?? "", query.get("after") ?? "")];
            case "/api/kv-watch":
                return await this.watch(query, res);
            case "/api/kv-txn":
                return this.txn(body);
            case "/api/kv-lease":
                return [200, { lease: this.openLease(body.ttlMs), ttlMs: body.ttlMs }];
            default:
                return this.serveLease(url.pathname);
        }
    }

    leases = new Map();

    openLease(ttlMs) {
        const lease = this.nextLease++;
        this.leases.set(lease, { ttlMs, timer: setTimeout(() => this.endLease(lease), ttlMs) });
        return lease;
    }

    endLease(lease) {
        const keys = [...this.items.values()].filter(item => item.lease === lease).map(({ key }) => key);
        clearTimeout(this.leases.get(lease).timer);
        this.leases.delete(lease);
        if (keys.length > 0) {
            this.write([], keys);
        }
    }

    serveLease(path) {
        const [, call, id] = /^\/api\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(path) ?? [];
        const lease = this.leases.get(Number(id));
        if (lease === undefined) {
            return [404, {}];
        }
        if (call === "kv-lease-end") {
            this.endLease(Number(id));
            return [200, {}];
        }
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => this.endLease(Number(id)), lease.ttlMs);
        return [200, { ttlMs: lease.ttlMs }];
    }

    range(prefix, after) {
        const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const page = keys.slice(0, 500);
        return { items: page.map(key => this.items.get(key)), more: keys.length > page.length, at: this.revision };
    }

    async watch(query, res) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const endsAt = performance.now() + Number(query.get("waitMs") ?? 0);
        const found = () => this.events.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
        while (found().length === 0 && performance.now() < endsAt && !res.destroyed) {
            await new Promise(done => {
                const timer = setTimeout(() => wake(), endsAt - performance.now());
                const wake = () => {
                    clearTimeout(timer);
                    this.waiting.delete(wake);
                    done();
                };
                this.waiting.add(wake);
            });
        }
        return [200, { events: found(), at: this.revision }];
    }

    txn({ expectedRev = [], writes = [], remove = [] }) {
        const isFit = ({ key, rev }) => (this.items.get(key)?.rev ?? 0) === rev;
        if (!expectedRev.every(isFit)) {
            return [412, {
                items: expectedRev.map(({ key }) => this.items.get(key)).filter(item => item !== undefined),
            }];
        }
        if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
            return [404, {}];
        }
        return [200, { rev: this.write(writes, remove) }];
    }

    close() {
        this.leases.forEach(({ timer }) => clearTimeout(timer));
        this.waiting.forEach(wake => wake());
        this.server.close();
        this.server.closeAllConnections();
    }
}

/** Reads HTTP/1.1 requests with a length from a socket, one after the other. */
export const readRequests = (socket, onRequest) => {
    let input = Buffer.alloc(0);
    socket.on("data", chunk => {
        input = Buffer.concat([input, chunk]);
        for (;;) {
            const end = input.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            const [first, ...lines] = input.subarray(0, end).toString("latin1").split("\r\n");
            const headers = Object.fromEntries(
                lines.map(
                    line => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()],
                ),
            );
            const length = Number(headers["content-length"] ?? 0);
            if (input.length < end + 4 + length) {
                return;
            }
            const body = input.subarray(end + 4, end + 4 + length);
            input = input.subarray(end + 4 + length);
            const [method, path] = first.split(" ");
            onRequest({ method, path, headers, body, socket });
        }
    });
};

/** The receipt of an answer. */
export const signatureOf = id => createHash("sha256").update(id).digest("hex").slice(0, 24);

/** A worker whose answers the case writes byte for byte. Refuses calls that are meant for another worker. */
export class RawWorker {
    ran = [];
    sockets = new Set();

    /** @param answer Called with each request that begins to run. */
    constructor(id, service, answer, fields = {}) {
        Object.assign(this, { id, service, answer, fields, born: Date.now() });
    }

    async start() {
        this.server = createServer(socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
            socket.on("error", () => {});
            readRequests(socket, request => this.onRequest(request));
        });
        await new Promise(done => this.server.listen(0, "127.0.0.1", done));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    /** What the worker says of itself; undefined for calls of callers. */
    ownAnswer(path) {
        const { born, isDraining = false } = this;
        if (path === "/health") {
            return [isDraining ? 503 : 200, { born }];
        }
        if (path === "/api/report") {
            const models = [{ name: "m", version: 1, adapters: [] }];
            const load = { queued: 0, active: 0, kvUsed: 0, kvTotal: 98_048, handles: 0, pinned: 0, held: 0, runs: [] };
            const state = isDraining ? "draining" : "ready";
            return [200, { stage: "both", models, busy: false, seq: 0, state, born, ...load }];
        }
        if (path === "/api/kv-events") {
            return [200, { epoch: born, next: 0, lost: false, events: [], born }];
        }
        if (path === "/api/kv-list") {
            return [200, { epoch: born, next: 0, held: [], born }];
        }
        if (path === "/api/hold-take") {
            return [503, { born }];
        }
        return path.startsWith("/api/") ? [404, { born }] : undefined;
    }

    onRequest(request) {
        const { headers, socket, path } = request;
        const id = headers["request-id"] ?? "";
        const own = this.ownAnswer(path.split("?")[0]);
        if (own !== undefined) {
            const [status, answer] = own;
            const body = JSON.stringify(answer);
            socket.write(
                `HTTP/1.1 ${status} OK\r\nInstance-Id: ${this.id}\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
            );
            return;
        }
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== this.id) {
            socket.write(
                `HTTP/1.1 421 Misdirected\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
            );
            return;
        }
        this.answer({ ...request, id, worker: this });
    }

    /** Ends as a process does: its connections are reset, and new ones are refused. */
    crash() {
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    /** Starts again at its address, under its id. */
    async restart() {
        this.born = Date.now();
        const [host, port] = this.address.split(":");
        await new Promise(done => this.server.listen(Number(port), host, done));
    }

    entry(state = "ready") {
        this.isDraining = state === "draining";
        const { service, address, born, fields } = this;
        return {
            service,
            address,
            zone: "north-a",
            version: "1",
            slots: 8,
            state,
            coldLeftMs: 0,
            seq: 1,
            born,
            ...fields,
        };
    }

    close() {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }
}

/** A way to a worker whose open connections can go silent: nothing passes any more, and nobody is told. New ones work. */
export class Proxy {
    pairs = new Set();

    async open(target) {
        const [host, port] = target.split(":");
        this.server = createServer(near => {
            const far = connect(Number(port), host);
            const pair = { near, far, isSilent: false };
            this.pairs.add(pair);
            for (const [from, to] of [[near, far], [far, near]]) {
                from.on("data", chunk => pair.isSilent || to.write(chunk));
                from.on("end", () => pair.isSilent || to.end());
                from.on("error", () => pair.isSilent || to.destroy());
                from.on("close", () => {
                    if (!pair.isSilent) {
                        to.destroy();
                        this.pairs.delete(pair);
                    }
                });
            }
        });
        await new Promise(done => this.server.listen(0, "127.0.0.1", done));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    /** Returns how many connections have gone silent. */
    silence() {
        this.pairs.forEach(pair => pair.isSilent = true);
        return this.pairs.size;
    }

    close() {
        this.server.close();
        this.pairs.forEach(({ near, far }) => {
            near.destroy();
            far.destroy();
        });
    }
}

/** Sends a request on a connection of its own and returns the answer as it came, and how its framing ended. */
export const sendCall = (
    { address, method = "POST", path, headers, body = "", host = "carts.example" },
    timeoutMs = 8_000,
    silenceMs = Infinity,
) => new Promise(done => {
    const [ip, port] = address.split(":");
    const socket = connect(Number(port), ip);
    let input = Buffer.alloc(0);
    let ending = "timeout";
    const timer = setTimeout(() => socket.destroy(), timeoutMs);
    const lines = Object.entries({ Host: host, ...headers, "Content-Length": Buffer.byteLength(body) }).map((
        [name, value],
    ) => `${name}: ${value}\r\n`);
    socket.on("connect", () => socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`));
    let silence;
    socket.on("data", chunk => {
        input = Buffer.concat([input, chunk]);
        clearTimeout(silence);
        silence = silenceMs === Infinity ? undefined : setTimeout(() => socket.destroy(), silenceMs);
        const answer = parseAnswer(input);
        if (answer?.isWhole) {
            ending = "framing";
            socket.destroy();
        }
    });
    socket.on("end", () => ending = "closed");
    socket.on("error", err => ending = err.code ?? err.message);
    socket.on("close", () => {
        clearTimeout(timer);
        clearTimeout(silence);
        const answer = parseAnswer(input);
        const isUnframed = answer !== undefined && !answer.isFramed;
        done({
            status: 0,
            headers: {},
            body: Buffer.alloc(0),
            ...answer,
            ending,
            isComplete: answer?.isWhole === true || (isUnframed && ending === "closed"),
        });
    });
});

const parseAnswer = input => {
    const end = input.indexOf("\r\n\r\n");
    if (end < 0) {
        return undefined;
    }
    const [first, ...lines] = input.subarray(0, end).toString("latin1").split("\r\n");
    const status = Number(first.split(" ")[1]);
    const rest = input.subarray(end + 4);
    if (status < 200) {
        return parseAnswer(rest);
    }
    const headers = Object.fromEntries(
        lines.map(line => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]),
    );
    if (headers["transfer-encoding"] === "chunked") {
        return { status, headers, isFramed: true, ...readChunks(rest) };
    }
    if (headers["content-length"] !== undefined) {
        const length = Number(headers["content-length"]);
        return { status, headers, isFramed: true, body: rest.subarray(0, length), isWhole: rest.length >= length };
    }
    return { status, headers, isFramed: false, body: rest, isWhole: false };
};

const readChunks = input => {
    const parts = [];
    for (let offset = 0;;) {
        const lineEnd = input.indexOf("\r\n", offset);
        if (lineEnd < 0) {
            return { body: Buffer.concat(parts), isWhole: false };
        }
        const length = parseInt(input.subarray(offset, lineEnd).toString(), 16);
        const start = lineEnd + 2;
        if (input.length < start + length + 2) {
            parts.push(input.subarray(start, start + length));
            return { body: Buffer.concat(parts), isWhole: false };
        }
        if (length === 0) {
            return { body: Buffer.concat(parts), isWhole: true };
        }
        parts.push(input.subarray(start, start + length));
        offset = start + length + 2;
    }
};

/** A process of the project, started with a command of the deploy file. */
class Process {
    constructor(rig, role, node, options) {
        Object.assign(this, { rig, role, node, options });
    }

    async prepare(ip) {
        this.ip = ip;
        const [front, ready] = [await freePort(ip), await freePort(ip)];
        const inner = 20_000 + Math.floor(Math.random() * 20_000);
        this.address = `${ip}:${front}`;
        this.ready = `${ip}:${ready}`;
        this.file = join(this.rig.dir, `${this.node}.toml`);
        this.inner = [inner, inner + 15];
        writeFileSync(this.file, this.settings());
    }

    settings() {
        const { role, node, ip, options, rig } = this;
        const { fields = [], memoryMb = 200 } = options;
        const own = role === "front" ? [] : [`dataDir = "${join(rig.dir, `${node}.disk`)}"`];
        return [
            `node = "${node}"`,
            `role = "${role}"`,
            `class = "${role}"`,
            `serves = ["${role}"]`,
            `ip = "${ip}"`,
            `zone = "${options.zone ?? "north-a"}"`,
            `region = "north"`,
            `innerPorts = [${this.inner.join(",")}]`,
            `firstStart = ${options.firstStart ?? true}`,
            `inTolerance = ${role === "store"}`,
            `discovery = "platform"`,
            `beatIntervalMs = 1200`,
            `contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]`,
            "seeds = []",
            ...own,
            ...fields,
            "[zones]",
            `north-a = "north"`,
            `north-b = "north"`,
            `south-a = "south"`,
            "[listen]",
            ...(role === "front" ? [`front = "${this.address}"`, `ready = "${this.ready}"`] : []),
            "[limits]",
            "cpuShare = 0.675",
            "cores = 1",
            `memoryMb = ${memoryMb}`,
            "fds = 4100",
            "[tolerate]",
            `machines = ${rig.toleratedLosses}`,
            `zones = ${rig.toleratedZones}`,
            "regions = 0",
            "[bounds]",
            "seedLagS = 3",
            "reuseS = 2",
            "contactMs = 4000",
            "ackMs = 5000",
            "catchupS = 4.4",
            "drainMs = 2500",
            "graceS = 8",
            "lossSlackMs = 200",
            "configApplyMs = 2500",
            "rollbackSlackMs = 250",
            "outerMs = 6000",
            "recoverS = 12",
            "passMs = 300",
            "againS = 0",
            "finishS = 10",
            "settleMs = 1000",
            "[platform]",
            `address = "${this.options.storeAddress ?? rig.store.address}"`,
            `form = "kv"`,
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
            "",
        ].join("\n");
    }

    start() {
        const heap = this.role === "front" ?
            ["--max-old-space-size=96", "--max-semi-space-size=4"] :
            ["--max-old-space-size=96"];
        const { PATH, HOME, LANG } = process.env;
        this.log = "";
        this.exit = undefined;
        this.child = spawn(process.execPath, [...heap, program, this.role], {
            cwd: root,
            env: { PATH, HOME, LANG, MARIGOLDDRIFT_SETTINGS: this.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child.stdout.on("data", chunk => this.log += chunk);
        this.child.stderr.on("data", chunk => this.log += chunk);
        this.ended = new Promise(done =>
            this.child.on("exit", (code, signal) => {
                this.exit = signal ?? code;
                done();
            })
        );
    }

    /** Starts again after a loss; the system no longer starts for the first time. */
    restart() {
        this.options.firstStart = false;
        writeFileSync(this.file, this.settings());
        this.start();
    }

    signal(name) {
        this.child.kill(name);
    }

    async isReady() {
        return await new Promise(done => {
            const req = get(`http://${this.ready}/api/ready`, { agent: false, timeout: 500 }, res => {
                res.resume();
                done(res.statusCode === 200);
            });
            req.on("error", () => done(false));
            req.on("timeout", () => req.destroy());
        });
    }

    lines(event) {
        return this.log.split("\n").filter(line => line.includes(`"event":"${event}"`));
    }
}

/** A small deployment on loopback. */
export class Rig {
    processes = [];
    workers = [];
    store = new PlatformStore();
    nextAddress = 1;
    nextId = 1;

    constructor(dir, { toleratedLosses = 1, toleratedZones = 0 } = {}) {
        this.record = new Record(join(dir, "record.txt"));
        this.toleratedLosses = toleratedLosses;
        this.toleratedZones = toleratedZones;
        this.dir = mkdtempSync(join(tmpdir(), "case-"));
        this.net = 20 + process.pid % 200;
    }

    newId() {
        return createHash("sha256").update(`${process.pid} ${this.nextId++}`).digest("hex").slice(0, 16);
    }

    async add(role, node, options = {}) {
        const process = new Process(this, role, node, options);
        await process.prepare(`127.${this.net}.17.${this.nextAddress++}`);
        this.processes.push(process);
        process.start();
        return process;
    }

    async addWorker(worker) {
        await worker.start();
        this.workers.push(worker);
        this.store.put(`servers/${worker.id}`, worker.entry());
        return worker;
    }

    async close() {
        for (const { child } of this.processes) {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        }
        await Promise.all(this.processes.map(({ ended }) => ended));
        this.workers.forEach(worker => worker.close());
        this.store.close();
        rmSync(this.dir, { recursive: true, force: true });
    }
}

export const route = (name, prefix, fields) => ({
    name,
    host: "carts.example",
    prefix,
    timeoutMs: 4_000,
    latencyGoalMs: 300,
    priority: 0,
    maxAttempts: 1,
    retain: false,
    keepS: 60,
    sticky: false,
    resumable: false,
    gapAimMs: 200,
    ...fields,
});

export const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

/** Runs a case, and ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export const runCase = async (dir, options, play) => {
    const rig = new Rig(dir, options);
    let code = exits.couldNotRun;
    try {
        await rig.store.start();
        code = await play(rig);
    }
    catch (err) {
        rig.record.add(`the case could not run: ${err.stack}`);
    }
    finally {
        await rig.close();
    }
    rig.record.add(code === exits.broken ? "BROKEN" : code === exits.held ? "held" : "could not run");
    process.exit(code);
};
