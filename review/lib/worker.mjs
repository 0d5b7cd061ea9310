/**
 * Stand-in of a worker, as PROTOCOL.md describes it. It speaks HTTP on plain sockets, so that a case can also let it write
 * what a faulty worker writes.
 */
import { createServer } from "node:net";

const signature = "3e1b.07.5a2.600.0.c9f2a4d1";
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

export class Worker {
    /** Requests that were begun: id, path, body, headers, time. */
    ran = [];
    running = 0;
    queue = [];
    refused = 0;
    sockets = new Set();
    workMs = () => 20;
    events = () => 7;
    gapMs = () => 20;
    dataOf = (id, event) => `${id}-${event}`;
    /** May write to the socket before the worker begins to work on a request. */
    onBegin = () => {};
    onRan = () => {};

    constructor({ id, service, zone, host, slots, queueLimit = 4, streams }) {
        Object.assign(this, { id, service, zone, host, slots, queueLimit, streams });
        this.server = createServer(socket => this.onConnection(socket));
        this.born = Date.now();
    }

    async start() {
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(0, this.host, resolve);
        });
        this.address = `${this.host}:${this.server.address().port}`;
    }

    close() {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    /** The entry that the worker writes into the store. */
    entry(changes = {}) {
        const { service, address, zone, slots, born } = this;
        return {
            service,
            address,
            zone,
            version: "v1",
            slots,
            state: "ready",
            coldLeftMs: 0,
            seq: 1,
            born,
            ...changes,
        };
    }

    onConnection(socket) {
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.sockets.delete(socket));
        let bytes = Buffer.alloc(0);
        let busy = Promise.resolve();
        socket.on("data", chunk => {
            bytes = Buffer.concat([bytes, chunk]);
            for (let parsed = parse(bytes); parsed !== undefined; parsed = parse(bytes)) {
                const { req, rest } = parsed;
                bytes = rest;
                busy = busy.then(() => this.serve(socket, req)).catch(() => socket.destroy());
            }
        });
    }

    async serve(socket, req) {
        const { headers } = req;
        if (req.path === "/health") {
            write(socket, 200, { "Instance-Id": this.id }, "");
            return;
        }
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== this.id) {
            write(socket, 421, { "Instance-Id": this.id }, "");
            return;
        }
        if (this.running >= this.slots && this.queue.length >= this.queueLimit) {
            this.refused += 1;
            socket.refusals = (socket.refusals ?? 0) + 1;
            write(socket, 503, { "Not-Executed": "1" }, "");
            return;
        }
        await this.enter();
        try {
            const request = { id: headers["request-id"], at: Date.now(), worker: this.id, ...req };
            this.ran.push(request);
            this.onRan(request);
            this.onBegin(socket, request);
            await (this.streams ? this.stream(socket, request) : this.answer(socket, request));
        }
        finally {
            this.leave();
        }
    }

    async enter() {
        if (this.running >= this.slots) {
            await new Promise(resolve => this.queue.push(resolve));
        }
        this.running += 1;
    }

    leave() {
        this.running -= 1;
        this.queue.shift()?.();
    }

    async answer(socket, { id }) {
        await sleep(this.workMs(id));
        write(socket, 200, { "Request-Id": id, "Response-Signature": signature }, `answer to ${id}`);
    }

    async stream(socket, { id }) {
        await sleep(this.workMs(id));
        socket.write(
            `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: ${signature}\r\n` +
                `Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
        );
        const events = this.events(id);
        for (let event = 0; event < events && !socket.destroyed; event++) {
            const text = `id: ${event}\ndata: ${this.dataOf(id, event)}\n\n`;
            socket.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`);
            await sleep(this.gapMs(id));
        }
        socket.write("0\r\n\r\n");
    }
}

const reasons = { 200: "OK", 421: "Misdirected Request", 503: "Service Unavailable" };

const write = (socket, status, headers, body) => {
    const lines = Object.entries({ ...headers, "Content-Length": Buffer.byteLength(body) }).map(([name, value]) =>
        `${name}: ${value}\r\n`
    );
    if (!socket.destroyed) {
        socket.write(`HTTP/1.1 ${status} ${reasons[status]}\r\n${lines.join("")}\r\n${body}`);
    }
};

/** Takes one request with a length from the front of the bytes; undefined if it is not whole yet. */
const parse = bytes => {
    const end = bytes.indexOf("\r\n\r\n");
    if (end < 0) {
        return undefined;
    }
    const [first, ...lines] = bytes.subarray(0, end).toString("latin1").split("\r\n");
    const [method, path] = first.split(" ");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const length = Number(headers["content-length"] ?? 0);
    if (bytes.length < end + 4 + length) {
        return undefined;
    }
    const body = bytes.subarray(end + 4, end + 4 + length);
    return { req: { method, path, headers, body: Buffer.from(body) }, rest: bytes.subarray(end + 4 + length) };
};
