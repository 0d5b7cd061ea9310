/** HTTP server for callers. */
import {
    asError,
    attachRouter,
    openPort,
    ProblemError,
    Progress,
    runChain,
    sendProblem,
    toProblemError,
} from "@marigolddrift/common";
import type { Bundle, Filter, Logger, Metrics } from "@marigolddrift/common";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import polka from "polka";
import type { Polka } from "polka";

import type { EdgeContext, EdgeRoute } from "../filters/edgeContext.js";

const maxHeaderBytes = 32 * 1024;
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;
const keepAliveTimeoutMs = 65_000;

/** Timeout of a call without a Request-Timeout header. */
const defaultCallTimeoutMs = 300_000;
const maxCallTimeoutMs = 3_600_000;

/** What the server needs from the rest of the daemon. */
export interface CallerServerDependencies {
    readonly filters: readonly Filter<EdgeContext>[];
    bundle(): Bundle | undefined;
    isLeaving(): boolean;
    readonly log: Logger;
    readonly metrics: Metrics;
}

/** Serves callers' requests. */
export class CallerServer {
    /** Requests in progress. */
    active = 0;
    private readonly app: Polka;
    private readonly server: Server;

    constructor(private readonly deps: CallerServerDependencies) {
        this.server = createServer({
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: headersTimeoutMs,
            requestTimeout: requestTimeoutMs,
            keepAliveTimeout: keepAliveTimeoutMs,
            noDelay: true,
        });
        this.server.on("clientError", onClientError);
        this.app = polka({
            onNoMatch: (req, res) => sendProblem(res, notFound(req.method ?? "", req.path)),
        });
        attachRouter(this.server, this.app);
        this.addRoutes();
    }

    listen(host: string, port: number): Promise<number> {
        return openPort(this.server, { name: "callers", host, ports: [port], log: this.deps.log });
    }

    /** Stops accepting connections; requests in progress continue. */
    stopAccepting(): void {
        this.server.close();
        this.server.closeIdleConnections();
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private addRoutes(): void {
        this.addRoute("POST", "/v1/programs", () => ({ kind: "open" }));
        this.addRoute("GET", "/v1/programs/:id", params => ({ kind: "inspect", program: params["id"] ?? "" }));
        this.addRoute("DELETE", "/v1/programs/:id", params => ({ kind: "end", program: params["id"] ?? "" }));
        this.addRoute(
            "GET",
            "/v1/programs/:id/decisions",
            params => ({ kind: "explain", program: params["id"] ?? "" }),
        );
        this.addRoute("POST", "/v1/chat/completions", () => ({ kind: "chat" }));
        const toService = (params: Record<string, string>, req: IncomingMessage): EdgeRoute => ({
            kind: "service",
            service: params["name"] ?? "",
            path: (req.url ?? "").split("/").slice(4).join("/"),
        });
        for (const method of ["GET", "POST", "PUT", "PATCH", "DELETE"] as const) {
            this.addRoute(method, "/v1/services/:name", toService);
            this.addRoute(method, "/v1/services/:name/*", toService);
        }
    }

    private addRoute(
        method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE",
        path: string,
        toRoute: (params: Record<string, string>, req: IncomingMessage) => EdgeRoute,
    ): void {
        this.app.add(
            method,
            path,
            (req, res) => void this.handle(req, res, toRoute(req.params as Record<string, string>, req)),
        );
    }

    private async handle(req: IncomingMessage, res: ServerResponse, route: EdgeRoute): Promise<void> {
        const startedAt = performance.now();
        this.active += 1;
        const progress = new Progress(callTimeoutOf(req));
        res.on("close", () => {
            if (!res.writableFinished) {
                progress.abort(new ProblemError("caller_gone", "mayHaveRun", "The caller closed the connection."));
            }
        });
        try {
            if (this.deps.isLeaving()) {
                res.setHeader("connection", "close");
            }
            await runChain(this.deps.filters, this.createContext(req, res, route, progress));
        }
        catch (err) {
            this.onError(req, res, err);
        }
        finally {
            this.active -= 1;
            progress.dispose();
            this.deps.metrics.timing(`request.${route.kind}`, performance.now() - startedAt);
        }
    }

    private createContext(
        req: IncomingMessage,
        res: ServerResponse,
        route: EdgeRoute,
        progress: Progress,
    ): EdgeContext {
        const bundle = this.deps.bundle();
        if (bundle === undefined) {
            throw new ProblemError("draining", "notRun", "No bundle is in force on this instance yet.", {
                retryAfterSeconds: 1,
            });
        }
        return {
            req,
            res,
            route,
            progress,
            bundle,
            workspace: "",
            body: Buffer.alloc(0),
            request: undefined,
            slot: undefined,
            stream: false,
        };
    }

    private onError(req: IncomingMessage, res: ServerResponse, err: unknown): void {
        const problem = toProblemError(err, "mayHaveRun");
        if (problem.code === "internal") {
            this.deps.log.error("request failed", {
                path: req.url,
                error: asError(err).message,
                stack: asError(err).stack,
            });
        }
        this.deps.metrics.count(`problem.${problem.code}`);
        if (problem.code === "body_too_large" || !req.complete) {
            res.setHeader("connection", "close");
        }
        if (res.headersSent && !res.destroyed) {
            res.write(`event: error\ndata: ${JSON.stringify(problem.toProblem())}\n\n`);
            res.end();
        }
        sendProblem(res, problem);
    }
}

const notFound = (method: string, path: string): ProblemError =>
    new ProblemError("not_found", "notRun", `There is no ${method} ${path}.`);

/** Timeout of a call, from the Request-Timeout header in seconds. */
const callTimeoutOf = (req: IncomingMessage): number => {
    const seconds = Number(req.headers["request-timeout"]);
    return seconds > 0 ? Math.min(maxCallTimeoutMs, seconds * 1000) : defaultCallTimeoutMs;
};

/** Answers a request that is not valid HTTP, arrives too slowly, or has headers that are too large. */
const onClientError = (err: Error & { code?: string; }, socket: Socket): void => {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const tooLarge = err.code === "HPE_HEADER_OVERFLOW";
    const problem = new ProblemError(
        tooLarge ? "headers_too_large" : "invalid_request",
        "notRun",
        tooLarge ?
            `The headers exceed ${maxHeaderBytes} bytes.` :
            `The request is no valid HTTP, or came too slowly: ${err.message}.`,
    );
    const body = JSON.stringify(problem.toProblem());
    const head = [
        `HTTP/1.1 ${problem.status} ${problem.code}`,
        "content-type: application/problem+json",
        `content-length: ${Buffer.byteLength(body)}`,
        "connection: close",
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
};
