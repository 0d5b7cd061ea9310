/** Stand-in of a worker: a server on plain sockets, which answers as its handler says. */
import { createServer } from "node:net";

const headEnd = Buffer.from("\r\n\r\n");

/** Takes the next whole request from a buffer; undefined if it has not arrived whole. */
const takeRequest = buffer => {
    const end = buffer.indexOf(headEnd);
    if (end < 0) {
        return undefined;
    }
    const [line, ...fields] = buffer.subarray(0, end).toString("latin1").split("\r\n");
    const [method, path] = line.split(" ");
    const headers = Object.fromEntries(fields.map(field => {
        const colon = field.indexOf(":");
        return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
    }));
    const length = Number(headers["content-length"] ?? 0);
    const bodyStart = end + headEnd.length;
    if (buffer.length < bodyStart + length) {
        return undefined;
    }
    return {
        request: {
            method,
            path,
            headers,
            id: headers["request-id"],
            body: buffer.subarray(bodyStart, bodyStart + length),
        },
        rest: buffer.subarray(bodyStart + length),
    };
};

/** Returns the bytes of an answer with a length. */
export const answerBytes = (status, headers, body = "") =>
    [
        `HTTP/1.1 ${status} Status`,
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
        `Content-Length: ${Buffer.byteLength(body)}`,
        "",
        body,
    ].join("\r\n");

export const signature = "3e1b.07.5a2.600.0.c9f2a4d1";

export class Worker {
    /** Requests that the worker began to run: `{ id, path, body, at }`. */
    ran = [];
    address = "";
    seq = 1;
    born = Date.now();
    version = "v1";
    slots = 4;
    #sockets = new Set();
    #server;

    /** @param handle Called with each request and its connection; resolves when the answer has been written. */
    constructor(id, service, zone, handle, record = () => {}) {
        Object.assign(this, { id, service, zone, handle, record });
    }

    async start(host = "127.0.0.1", port = 0) {
        this.#server = createServer(socket => this.#onConnection(socket));
        await new Promise((resolve, reject) => this.#server.once("error", reject).listen(port, host, resolve));
        this.address = `${host}:${this.#server.address().port}`;
    }

    /** Ends all connections and refuses new ones until it is started again. */
    crash() {
        this.born = undefined;
        this.close();
    }

    close() {
        this.#server?.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
    }

    entry(state = "ready") {
        const { service, address, zone, version, slots, born } = this;
        return { service, address, zone, version, slots, state, coldLeftMs: 0, seq: this.seq++, born };
    }

    /** Notes that a request begins to run. */
    run(request) {
        const { id, path, body } = request;
        this.ran.push({ id, path, body: body.toString(), at: performance.now() });
        this.record(`worker ${this.id} runs ${id} ${path}`);
    }

    timesRun(id) {
        return this.ran.filter(request => request.id === id).length;
    }

    #onConnection(socket) {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        let buffer = Buffer.alloc(0);
        let isBusy = false;
        const next = async () => {
            const taken = isBusy || socket.destroyed ? undefined : takeRequest(buffer);
            if (taken === undefined) {
                return;
            }
            isBusy = true;
            buffer = taken.rest;
            const { request } = taken;
            if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== this.id) {
                socket.write(answerBytes(421, { "Instance-Id": this.id }));
            }
            else {
                await this.handle(request, socket, this);
            }
            isBusy = false;
            void next();
        };
        socket.on("data", chunk => {
            buffer = Buffer.concat([buffer, chunk]);
            void next();
        });
        socket.on("error", () => {});
        socket.on("close", () => this.#sockets.delete(socket));
    }
}
