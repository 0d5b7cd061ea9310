/** Client of a front, on plain sockets, and the record of a test. */
import { writeFileSync } from "node:fs";
import { connect } from "node:net";

let nextId = 0;

/** A new id of a consumer attempt. */
export const newId = () => (BigInt(Date.now()) * 65_536n + BigInt(nextId++)).toString(16).padStart(16, "0");

/** Reads one answer from what has arrived; undefined if it is not whole. */
export const parseAnswer = (bytes, isClosed) => {
    const end = bytes.indexOf("\r\n\r\n");
    if (end < 0) {
        return undefined;
    }
    const [line, ...fields] = bytes.subarray(0, end).toString("latin1").split("\r\n");
    const status = Number(line.split(" ")[1]);
    const headers = Object.fromEntries(fields.map(field => {
        const colon = field.indexOf(":");
        return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
    }));
    const rest = bytes.subarray(end + 4);
    if (headers["content-length"] !== undefined) {
        const length = Number(headers["content-length"]);
        return rest.length < length ? undefined : { status, headers, body: rest.subarray(0, length).toString() };
    }
    if (headers["transfer-encoding"] === "chunked") {
        const parts = [];
        let offset = 0;
        for (;;) {
            const lineEnd = rest.indexOf("\r\n", offset);
            if (lineEnd < 0) {
                return undefined;
            }
            const size = Number.parseInt(rest.subarray(offset, lineEnd).toString(), 16);
            if (size === 0) {
                return { status, headers, body: Buffer.concat(parts).toString() };
            }
            if (rest.length < lineEnd + 2 + size + 2) {
                return undefined;
            }
            parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
            offset = lineEnd + 2 + size + 2;
        }
    }
    return isClosed ? { status, headers, body: rest.toString() } : undefined;
};

/**
 * Sends one request on a new connection. Resolves to the answer, or to `{ status: 0 }` if the connection ended without a whole one.
 */
export const send = ({ host, port }, { method = "POST", path, site, headers = {}, body = "", timeoutMs = 10_000 }) =>
    new Promise(resolve => {
        const id = headers["Request-Id"] ?? newId();
        const socket = connect({ host, port });
        const chunks = [];
        const startedAt = performance.now();
        let done = false;
        const finish = answer => {
            if (!done) {
                done = true;
                clearTimeout(timer);
                socket.destroy();
                resolve({
                    id,
                    ms: Math.round(performance.now() - startedAt),
                    partial: Buffer.concat(chunks).toString(),
                    ...answer,
                });
            }
        };
        const timer = setTimeout(() => finish({ status: 0, reason: "no answer in time" }), timeoutMs);
        socket.setNoDelay(true);
        const lines = { Host: site, "Request-Id": id, ...headers };
        const hasBody = method !== "GET";
        socket.write(
            [
                `${method} ${path} HTTP/1.1`,
                ...Object.entries(lines).map(([name, value]) => `${name}: ${value}`),
                ...(hasBody ? [`Content-Length: ${Buffer.byteLength(body)}`] : []),
                "",
                body,
            ].join("\r\n"),
        );
        socket.on("data", chunk => {
            chunks.push(chunk);
            const answer = parseAnswer(Buffer.concat(chunks), false);
            if (answer !== undefined) {
                finish(answer);
            }
        });
        const onEnd = () =>
            finish(parseAnswer(Buffer.concat(chunks), true) ?? { status: 0, reason: "the connection ended" });
        socket.on("end", onEnd);
        socket.on("close", onEnd);
        socket.on("error", err => finish({ status: 0, reason: err.message }));
    });

/** Collects lines with their times, and writes them to a file. */
export class Record {
    lines = [];
    startedAt = performance.now();
    add = text => {
        const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
        this.lines.push(`${at} s  ${text}`);
        if (process.env.VERBOSE !== undefined) {
            console.log(this.lines.at(-1));
        }
    };

    write(file) {
        writeFileSync(file, `${this.lines.join("\n")}\n`);
    }
}
