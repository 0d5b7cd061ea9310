/** A server that sends bytes as they are, also such as are no whole reply. */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** How a connection goes on after the bytes of a reply: in order, by a reset, closed for sending only, or kept. */
export type ConnectionEnd = "close" | "reset" | "half" | "keep";

/** What the server sends in reply to a request. */
export interface RawReply {
    readonly bytes: string;
    readonly end: ConnectionEnd;
    /** Time between the bytes and the end of the connection. */
    readonly endDelayMs?: number;
    /** Sent some time after the reply, on the same connection. */
    readonly lateBytes?: string;
    /** Sent on the same connection once the next request has arrived there, before the reply to it. */
    readonly bytesBeforeNext?: string;
}

const requestEnd = "\r\n\r\n";

/** Takes requests without a body, or with one that ends with their head's length. */
export class RawServer {
    address = "";
    /** Heads of all requests that have arrived whole. */
    readonly heads: string[] = [];
    private readonly sockets = new Set<Socket>();
    private readonly server = createServer({ allowHalfOpen: true, noDelay: true }, socket => this.onConnection(socket));

    constructor(private readonly reply: (id: string, head: string, body: string) => RawReply) {}

    async start(): Promise<void> {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Returns the entry of a worker at this address. */
    entry(service: string): Record<string, unknown> {
        const { address } = this;
        return {
            service,
            address,
            zone: "north-a",
            version: "v1",
            slots: 64,
            state: "ready",
            coldLeftMs: 0,
            seq: 1,
            born: 1,
        };
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private onConnection(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        socket.on("end", () => socket.end());
        let received = "";
        let bytesBeforeNext = "";
        socket.on("data", (data: Buffer) => {
            received += data.toString("latin1");
            const headEnd = received.indexOf(requestEnd);
            const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
            if (headEnd >= 0 && received.length >= headEnd + requestEnd.length + length) {
                const head = received.slice(0, headEnd);
                const body = received.slice(headEnd + requestEnd.length);
                received = "";
                this.heads.push(head);
                socket.write(bytesBeforeNext, "latin1");
                const reply = this.reply(/request-id: (\S+)/i.exec(head)?.[1] ?? "", head, body);
                bytesBeforeNext = reply.bytesBeforeNext ?? "";
                this.answer(socket, reply);
            }
        });
    }

    private answer(socket: Socket, { bytes, end, endDelayMs = 0, lateBytes }: RawReply): void {
        if (bytes !== "") {
            socket.write(bytes, "latin1");
        }
        if (lateBytes !== undefined) {
            setImmediate(() => socket.write(lateBytes, "latin1"));
        }
        if (end === "keep") {
            return;
        }
        const close = (): void => endConnection(socket, end);
        if (endDelayMs === 0) {
            close();
            return;
        }
        setTimeout(close, endDelayMs);
    }
}

const endConnection = (socket: Socket, end: ConnectionEnd): void => {
    if (end === "reset") {
        // `resetAndDestroy` ends the connection in order first, which its other side may notice before the reset.
        Object.assign(socket, { resetAndClosing: true }).destroy();
        return;
    }
    socket.end();
    if (end === "close") {
        socket.once("finish", () => socket.destroy());
    }
};
