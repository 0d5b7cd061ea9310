/** An HTTP server for one stand-in, with `POST /faults` and `GET /counters`. */
import { asError } from "@marigolddrift/common";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import type { Polka } from "polka";

import { faultOrderSchema, Faults, sendJson } from "./faults.js";

const maxBodyBytes = 64 * 1024 * 1024;

/** Reads a request body. */
export const readBody = async (req: IncomingMessage): Promise<Buffer> => {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of req) {
        size += (chunk as Buffer).length;
        if (size > maxBodyBytes) {
            throw new Error(`the body exceeds ${maxBodyBytes} bytes`);
        }
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
};

/** Reads a JSON body; an empty one counts as an empty object. */
export const readJson = async (req: IncomingMessage): Promise<unknown> => {
    const body = await readBody(req);
    return body.length === 0 ? {} : JSON.parse(body.toString());
};

export type Handler = (req: IncomingMessage, res: ServerResponse, path: string) => Promise<void>;

/** A stand-in that listens on a loopback port. */
export class StandinServer {
    readonly faults = new Faults();
    private readonly app: Polka;
    private readonly server: Server;

    /** @param counters Returns what `GET /counters` shows. */
    constructor(counters: () => unknown) {
        this.server = createServer();
        this.server.keepAliveTimeout = 60_000;
        this.app = polka({ server: this.server, onNoMatch: (_, res) => sendJson(res, 404, { error: "no such path" }) });
        this.app.get("/counters", (_, res) => sendJson(res, 200, counters()));
        this.app.post("/faults", (req, res) => void this.setFault(req, res));
    }

    /** Adds a route that is subject to the faults. */
    route(method: "GET" | "POST" | "DELETE", path: string, handler: Handler): void {
        this.app.add(method, path, (req, res) => void this.handle(req, res, handler));
    }

    /** Adds a route that faults do not touch, for observers. */
    observerRoute(method: "GET" | "POST", path: string, handler: Handler): void {
        this.app.add(method, path, (req, res) => void handler(req, res, req.path));
    }

    /** Listens on a loopback port, or on any free one for port 0; returns the port. */
    async listen(port: number): Promise<number> {
        const app = this.app;
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            app.listen(port, "127.0.0.1", () => resolve());
        });
        return (this.server.address() as AddressInfo).port;
    }

    async close(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private async handle(
        req: IncomingMessage & { path: string; },
        res: ServerResponse,
        handler: Handler,
    ): Promise<void> {
        try {
            if (await this.faults.before(req)) {
                await handler(req, res, req.path);
            }
        }
        catch (err) {
            if (!res.headersSent && !res.destroyed) {
                sendJson(res, 400, { error: asError(err).message });
            }
        }
    }

    private async setFault(req: IncomingMessage, res: ServerResponse): Promise<void> {
        try {
            const order = faultOrderSchema.parse(await readJson(req));
            this.faults.apply(order);
            sendJson(res, 200, order);
        }
        catch (err) {
            sendJson(res, 400, { error: asError(err).message });
        }
    }
}
