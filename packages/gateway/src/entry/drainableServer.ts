/** HTTP server that closes idle connections without cutting answers that are still being sent. */
import { Server } from "node:http";
import type { IncomingMessage, ServerOptions, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** What is known about a connection that has been used. */
interface ConnectionUse {
    /** Number of requests whose responses have not been sent to their end. */
    open: number;
    /** Bytes that had been read when the last response had been sent. */
    readBytes: number;
}

/**
 * HTTP server whose idle connections are those on which all requests have been answered to the end. For Node.js a
 * connection is idle from the end of the response on, although its caller may have read only a part by then.
 *
 * @example
 * const server = new DrainableServer({ noDelay: true });
 * server.close(); // Also closes idle connections.
 */
export class DrainableServer extends Server {
    private readonly uses = new Map<Socket, ConnectionUse>();

    constructor(options: ServerOptions) {
        super(options);
        this.on("request", (req: IncomingMessage, res: ServerResponse) => this.onRequest(req.socket, res));
    }

    /** Closes connections that have been used and on which nothing is to be sent or has begun to arrive. */
    override closeIdleConnections(): void {
        for (const [socket, { open, readBytes }] of this.uses) {
            if (open === 0 && socket.bytesRead === readBytes) {
                socket.destroy();
            }
        }
    }

    private onRequest(socket: Socket, res: ServerResponse): void {
        const use = this.useOf(socket);
        use.open += 1;
        res.once("close", () => {
            use.open -= 1;
            use.readBytes = socket.bytesRead;
        });
    }

    private useOf(socket: Socket): ConnectionUse {
        let use = this.uses.get(socket);
        if (use === undefined) {
            use = { open: 0, readBytes: 0 };
            this.uses.set(socket, use);
            socket.once("close", () => this.uses.delete(socket));
        }
        return use;
    }
}
