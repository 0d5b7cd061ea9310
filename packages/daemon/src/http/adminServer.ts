/** HTTP server for operators: health checks, status and commands. */
import { asError, attachRouter, openPort, sendJson } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import polka from "polka";

import { macEquals } from "../peers/handshake.js";

const maxBodyBytes = 64 * 1024;

/** Admin keys; the previous one is still accepted while keys are rotated. */
export interface AdminKeys {
    readonly key: string;
    readonly previousKey?: string | undefined;
}

/** Views and commands that the server offers. */
export interface AdminActions {
    isReady(): boolean;
    /** Status documents by path, for example `status`. */
    readonly views: Readonly<Record<string, (query: URLSearchParams) => unknown>>;
    /** Commands by path, for example `drain`. */
    readonly orders: Readonly<Record<string, (body: unknown) => unknown>>;
}

/** Serves operators' requests. */
export class AdminServer {
    private readonly server: Server = createServer();

    constructor(private readonly keys: AdminKeys, private readonly actions: AdminActions) {
        const app = polka({
            onNoMatch: (_, res) => sendJson(res, 404, { error: "There is no such path." }),
        });
        app.get("/health", (_, res) => sendJson(res, 200, { healthy: true }));
        app.get("/ready", (_, res) => sendJson(res, actions.isReady() ? 200 : 503, { ready: actions.isReady() }));
        for (const [path, view] of Object.entries(actions.views)) {
            app.get(`/${path}`, (req, res) => void this.handle(req, res, () => view(queryOf(req))));
        }
        for (const [path, order] of Object.entries(actions.orders)) {
            app.post(
                `/${path}`,
                (req, res) => void this.handle(req, res, async () => await order(await readJson(req))),
            );
        }
        attachRouter(this.server, app);
    }

    listen(host: string, port: number, log: Logger): Promise<number> {
        return openPort(this.server, { name: "admin", host, ports: [port], log });
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(req: IncomingMessage, res: ServerResponse, action: () => unknown): Promise<void> {
        if (!this.isAuthorized(req)) {
            sendJson(res, 401, {
                error: "The Authorization header does not hold the admin key of this instance's settings.",
            });
            return;
        }
        try {
            sendJson(res, 200, await action());
        }
        catch (err) {
            sendJson(res, 400, { error: asError(err).message });
        }
    }

    private isAuthorized(req: IncomingMessage): boolean {
        const token = (req.headers.authorization ?? "").replace(/^bearer /i, "");
        return [this.keys.key, this.keys.previousKey].some(key => key !== undefined && macEquals(key, token));
    }
}

const queryOf = (req: IncomingMessage): URLSearchParams => new URL(req.url ?? "/", "http://localhost").searchParams;

const readJson = async (req: IncomingMessage): Promise<unknown> => {
    let text = "";
    for await (const chunk of req) {
        text += String(chunk);
        if (text.length > maxBodyBytes) {
            throw new Error(`the body exceeds ${maxBodyBytes} bytes`);
        }
    }
    return text === "" ? {} : JSON.parse(text);
};
