/** HTTP server of a stand-in, with `POST /faults` and `GET /counters`. */
import { asError } from "@marigolddrift/common";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import type { Polka } from "polka";

import { faultChangeSchema, Faults, sendJson } from "./faults.js";

const maxBodyBytes = 64 * 1024 * 1024;

/** Reads a request body of limited size. */
export const readBody = async (req: IncomingMessage): Promise<Buffer> => {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of req) {
        size += (chunk as Buffer).length;
        if (size > maxBodyBytes) {
            throw new Error(`the request body exceeds ${maxBodyBytes} bytes`);
        }
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
};

/** Reads a JSON body; an empty body yields an empty object. */
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

    /** @param counters Returns the body of `GET /counters`. */
    constructor(counters: () => unknown) {
        this.server = createServer();
        this.server.keepAliveTimeout = 60_000;
        this.app = polka({ server: this.server, onNoMatch: (_, res) => sendJson(res, 404, { error: "no such path" }) });
        this.app.get("/counters", (_, res) => sendJson(res, 200, counters()));
        this.app.post("/faults", (req, res) => void this.setFault(req, res));
    }

    /** Adds a route that injected faults affect. */
    route(method: "GET" | "POST" | "DELETE", path: string, handler: Handler): void {
        this.app.add(method, path, (req, res) => void this.handle(req, res, handler));
    }

    /** Adds a control route that injected faults do not affect. */
    routeWithoutFaults(method: "GET" | "POST", path: string, handler: Handler): void {
        this.app.add(method, path, (req, res) => void handler(req, res, req.path));
    }

    /** Listens on a loopback port and returns it; port 0 selects a free one. */
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
            if (await this.faults.beforeRequest(req)) {
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
            const change = faultChangeSchema.parse(await readJson(req));
            this.faults.apply(change);
            sendJson(res, 200, change);
        }
        catch (err) {
            sendJson(res, 400, { error: asError(err).message });
        }
    }
}
