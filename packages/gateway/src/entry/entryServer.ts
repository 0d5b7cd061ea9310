/** HTTP server for callers: selects the route of each request and runs the filter chain. */
import { asError, listen, ProblemError, Progress, runChain, sendProblem, toProblemError } from "@marigolddrift/common";
import type { Filter, Logger } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import polka from "polka";
import type { Polka } from "polka";

import { fingerprintsOf } from "../crashes/fingerprint.js";
import type { Fingerprints } from "../crashes/fingerprint.js";
import type { CallContext, CallTrace } from "../filters/callContext.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { CallProtocol } from "../protocol.js";
import { chooseTarget } from "../routes.js";
import type { CallerLimits, Route, RouteTable } from "../routes.js";
import type { Workspace } from "../workspaces.js";
import { DrainableServer } from "./drainableServer.js";
import type { DrainSchedule } from "./drainSchedule.js";
import { RequestSequence } from "./requestSequence.js";

/** Maximum size of the request headers for the HTTP parser; the configured limit is checked after parsing. */
const parserHeaderBytes = 128 * 1024;

/** Time for which idle connections stay open beyond the configured idle timeout. */
const keepAliveSlackMs = 1_000;

/** Maximum time for receiving a complete request. */
const requestTimeoutMs = 30_000;

/** Time after which callers may retry if the instance has no configuration yet. */
const notReadyRetryAfterSeconds = 0.5;

/** Time for which a connection stays open after a refusal that ends it, so that the caller can read it. */
const refusalLingerMs = 1_000;

/** Settings and dependencies of an {@link EntryServer}. */
export interface EntryServerOptions {
    readonly filters: readonly Filter<CallContext>[];
    readonly protocol: CallProtocol;
    routes(): RouteTable | undefined;
    /** Set while the instance is stopping, so that callers should close their connections. */
    drainSchedule(): DrainSchedule | undefined;
    readonly random: () => number;
    readonly metrics: GatewayMetrics;
    readonly log: Logger;
}

/** Accepts the requests of callers and sends the errors that the filters raise. */
export class EntryServer {
    /** Number of requests whose responses have not been sent to their end. */
    active = 0;
    private readonly progresses = new Set<Progress>();
    private readonly server: DrainableServer;
    private readonly app: Polka;
    /** Open connections from callers, with the responses on them that have not been sent to their end: a refusal waits for these. */
    private readonly sockets = new Map<Socket, Set<ServerResponse>>();
    private readonly sequence = new RequestSequence();

    constructor(private readonly options: EntryServerOptions) {
        this.server = new DrainableServer({
            maxHeaderSize: parserHeaderBytes,
            requestTimeout: requestTimeoutMs,
            noDelay: true,
            keepAliveTimeout: 0,
        });
        this.server.on("clientError", (err, socket) => this.onClientError(err, socket as Socket));
        this.server.on("connection", socket => {
            this.sockets.set(socket, new Set());
            socket.on("close", () => this.sockets.delete(socket));
        });
        this.app = polka({ server: this.server, onNoMatch: (req, res) => void this.handle(req, res) });
    }

    listen(host: string, port: number): Promise<number> {
        return listen(this.app, this.server, host, port);
    }

    /** Number of open connections from callers. */
    get connections(): number {
        return this.sockets.size;
    }

    applyLimits(limits: CallerLimits): void {
        this.server.headersTimeout = limits.headersTimeoutMs;
        this.server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveSlackMs;
    }

    /** Refuses new connections and closes idle ones. Callers retry requests that were not read at another instance. */
    stopAccepting(): void {
        this.server.close();
    }

    /** Gives up all active calls: those that have not been sent to an upstream are refused, the others may have run. */
    abortCalls(): void {
        const reason = new ProblemError("draining", "notRun", "The instance is about to stop.", {
            retryAfterSeconds: 0,
        });
        this.progresses.forEach(progress => progress.abort(reason));
    }

    closeIdle(): void {
        this.server.closeIdleConnections();
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        this.active += 1;
        const isSent = new Promise(resolve => res.once("close", resolve));
        const unsent = this.sockets.get(req.socket);
        unsent?.add(res);
        const arrivedAt = performance.now();
        if (await this.sequence.enter(req, res)) {
            await this.serve(req, res, arrivedAt);
            await isSent;
        }
        else {
            const waitedMs = Math.round(performance.now() - arrivedAt);
            this.options.log.info("request dropped", { method: req.method, path: req.url, waitedMs });
        }
        this.active -= 1;
        unsent?.delete(res);
    }

    private async serve(req: IncomingMessage, res: ServerResponse, arrivedAt: number): Promise<void> {
        const trace: CallTrace = {};
        let progress: Progress | undefined;
        try {
            if (this.options.drainSchedule() !== undefined && this.sequence.isNewest(req, res)) {
                res.setHeader("Connection", "close");
            }
            const ctx = this.createContext(req, res, arrivedAt, trace);
            progress = ctx.progress;
            this.progresses.add(progress);
            await pendingInputRead();
            ctx.checkCaller();
            await runChain(this.options.filters, ctx);
        }
        catch (err) {
            this.onFailed(req, res, trace, toProblem(err, progress));
        }
        finally {
            progress?.dispose();
            this.progresses.delete(progress!);
            this.recordCall(req, arrivedAt, trace);
        }
    }

    private createContext(
        req: IncomingMessage,
        res: ServerResponse,
        arrivedAt: number,
        trace: CallTrace,
    ): CallContext {
        const table = this.options.routes();
        if (table === undefined) {
            const detail = "This instance has not read the configuration yet.";
            throw new ProblemError("not_configured", "notRun", detail, {
                retryAfterSeconds: notReadyRetryAfterSeconds,
            });
        }
        checkHeaderBytes(req, table.config.limits.maxHeaderBytes);
        const head = this.options.protocol.parseCall(req.headers);
        const { program } = head;
        Object.assign(trace, { request: head.id, program: program?.id, turnOf: program?.previousTurnId });
        trace.config = table.config.version;
        const route = table.match(req.headers.host ?? "", req.url ?? "");
        const service = route && table.service(chooseTarget(route, this.options.random()));
        if (route === undefined || service === undefined) {
            throw new ProblemError("unknown_route", "notRun", "No route matches the host and path.");
        }
        if (head.id === undefined) {
            throw new ProblemError("invalid_request", "notRun", "The request has no id.");
        }
        const workspace = identifyWorkspace(table, route, this.options.protocol.readApiKey(req.headers));
        const limitMs = Math.min(head.leftMs ?? Infinity, route.timeoutMs);
        Object.assign(trace, { route: route.name, service: service.name, workspace: workspace?.name, limitMs });
        if (this.options.drainSchedule()?.takes(limitMs, arrivedAt) === false) {
            throw new ProblemError("draining", "notRun", "The instance is stopping.", { retryAfterSeconds: 0 });
        }
        const progress = new Progress(limitMs - (performance.now() - arrivedAt));
        res.on("close", () => {
            if (!res.writableFinished && (route.isStreaming || route.idempotent)) {
                progress.abort(new ProblemError("caller_gone", "mayHaveRun", "The caller closed the connection."));
            }
        });
        let fingerprints: Fingerprints | undefined;
        const ctx: CallContext = {
            req,
            res,
            head,
            id: head.id,
            route,
            service,
            workspace,
            caller: table.workspaces && { workspace: workspace?.name },
            priority: workspace?.priority ?? route.priority,
            arrivedAt,
            progress,
            body: Buffer.alloc(0),
            conversation: undefined,
            reservation: undefined,
            permit: undefined,
            trace,
            checkCaller: () => checkCaller(req, res),
            fingerprints: () => fingerprints ??= fingerprintsOf(req, ctx.body, workspace?.name),
        };
        return ctx;
    }

    private onFailed(
        req: IncomingMessage,
        res: ServerResponse,
        trace: CallTrace,
        err: ProblemError,
    ): void {
        Object.assign(trace, { status: err.status, error: err.code, verdict: err.verdict, detail: err.message });
        if (res.headersSent) {
            // Part of the response has been sent; only closing the connection can signal that it is incomplete.
            res.destroy();
            return;
        }
        if (!req.complete) {
            res.setHeader("Connection", "close");
            req.resume();
        }
        sendProblem(res, err);
    }

    private recordCall(req: IncomingMessage, arrivedAt: number, trace: CallTrace): void {
        const ms = Math.round(performance.now() - arrivedAt);
        const { metrics, log } = this.options;
        metrics.onCall(trace.route ?? "none", trace.error ?? String(trace.status ?? "gone"), ms);
        log.info("call", { method: req.method, path: req.url, ...trace, ms });
    }

    private onClientError(err: Error, socket: Socket): void {
        const { code } = err as { code?: string; };
        if (code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        const status = code === "HPE_HEADER_OVERFLOW" ?
            "431 Request Header Fields Too Large" :
            code === "ERR_HTTP_REQUEST_TIMEOUT" ?
            "408 Request Timeout" :
            "400 Bad Request";
        this.options.log.info("request refused", { error: asError(err).message, code, status });
        void this.refuse(socket, status);
    }

    /** Answers what is no request, after the whole requests before it: a caller takes answers in the order of its requests. */
    private async refuse(socket: Socket, status: string): Promise<void> {
        const unsent = [...this.sockets.get(socket) ?? []].filter(res => res.req.complete);
        await Promise.all(unsent.map(res => new Promise(resolve => res.once("close", resolve))));
        if (socket.writable) {
            socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
            // The caller may keep its side open, with a request on it that waits.
            setTimeout(() => socket.destroy(), refusalLingerMs).unref();
        }
    }
}

/**
 * Resolves once the input has been read that was pending when the request was. Load pattern: more requests than the process can
 * read at once, so that they wait, and the callers of many have left when their turn comes. The end of a connection is read only
 * in the turn of the event loop after its last data.
 */
const pendingInputRead = async (): Promise<void> => {
    await nextCheckPhase();
    await nextCheckPhase();
};

const nextCheckPhase = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Nobody waits for the answer any more, and to run the call would take time from those that others wait for. */
const checkCaller = (req: IncomingMessage, res: ServerResponse): void => {
    const { socket } = req;
    // A connection that is half closed counts as closed; one that has been refused gets no further answer.
    const isClosed = socket.destroyed || socket.readableEnded || socket.writableEnded;
    const isGone = isClosed || (res.closed && !res.writableFinished);
    if (isGone) {
        throw new ProblemError("caller_gone", "notRun", "The caller closed the connection before its call was sent.");
    }
};

/**
 * Assigns a call to the workspace that has its API key; undefined for callers that need none.
 *
 * @throws ProblemError `unauthorized` if the route needs a key, and this one is missing or unknown.
 */
const identifyWorkspace = (table: RouteTable, route: Route, key: string | undefined): Workspace | undefined => {
    const workspace = table.workspaces?.identify(key);
    if (table.workspaces !== undefined && workspace === undefined && !route.isPublic) {
        throw new ProblemError("unauthorized", "notRun", "The API key is missing or unknown.");
    }
    return workspace;
};

const checkHeaderBytes = (req: IncomingMessage, maxBytes: number): void => {
    const headerBytes = req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
    if (headerBytes + (req.url?.length ?? 0) > maxBytes) {
        throw new ProblemError(
            "headers_too_large",
            "notRun",
            `The head is larger than ${maxBytes} bytes.`,
        );
    }
};

/** Prefers the reason for which the call was aborted over the error that the abort caused. */
const toProblem = (err: unknown, progress: Progress | undefined): ProblemError => {
    const reason: unknown = progress?.signal.aborted ? progress.signal.reason : undefined;
    const mayHaveRun = err instanceof ProblemError && err.verdict !== "notRun";
    // The status of a refusal would promise that the call has not run.
    if (reason instanceof ProblemError && mayHaveRun && reason.code !== "draining") {
        return new ProblemError(reason.code, "mayHaveRun", reason.message);
    }
    return toProblemError(err, "mayHaveRun");
};
