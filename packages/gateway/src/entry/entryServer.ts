/** HTTP server for callers: selects the route of each request and runs the filter chain. */
import { attachRouter, openPort, ProblemError, Progress, runChain, sendProblem } from "@marigolddrift/common";
import type { Filter, Logger } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import polka from "polka";

import { fingerprintsOf } from "../crashes/fingerprint.js";
import type { Fingerprints } from "../crashes/fingerprint.js";
import type { CallContext, CallTrace } from "../filters/callContext.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { CallProtocol } from "../protocol.js";
import { chooseTarget } from "../routes.js";
import type { CallerLimits, RouteTable } from "../routes.js";
import { BodyReader } from "./bodyReader.js";
import { checkCaller, checkHeaderBytes, identifyWorkspace, pendingInputRead, toProblem } from "./callChecks.js";
import { CallerConnections } from "./callerConnections.js";
import { ConnectionRefuser } from "./connectionRefuser.js";
import { DrainableServer } from "./drainableServer.js";
import type { DrainSchedule } from "./drainSchedule.js";
import type { InputBounds } from "./inputBounds.js";
import { lingerAfterAnswer } from "./lingeringClose.js";
import { RequestSequence } from "./requestSequence.js";
import { stoppableRequest } from "./stoppableRequest.js";
import { UnsentAnswer } from "./unsentAnswer.js";

/** Maximum size of the request headers for the HTTP parser until there is a configuration. */
const maxParserHeaderBytes = 128 * 1024;

/** The parser's limit as a multiple of the configured one, which is checked after parsing. */
const parserHeaderFactor = 2;

/** Time for which idle connections stay open beyond the configured idle timeout. */
const keepAliveSlackMs = 1_000;

/** Maximum time for receiving a complete request. */
const requestTimeoutMs = 30_000;

/** Time after which callers may retry if the instance has no configuration yet. */
const notReadyRetryAfterSeconds = 0.5;

/** Time within which a head must be complete until there is a configuration. */
const defaultHeadersTimeoutMs = 3_000;

/** Settings and dependencies of an {@link EntryServer}. */
export interface EntryServerOptions {
    readonly filters: readonly Filter<CallContext>[];
    readonly protocol: CallProtocol;
    routes(): RouteTable | undefined;
    /** Set while the instance is stopping, so that callers should close their connections. */
    drainSchedule(): DrainSchedule | undefined;
    readonly input: InputBounds;
    /** Maximum size of a body. */
    maxBodyBytes(): number;
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
    private readonly callers: CallerConnections;
    private readonly refuser: ConnectionRefuser;
    private readonly sequence = new RequestSequence();
    private headLimits = { timeoutMs: defaultHeadersTimeoutMs, maxBytes: maxParserHeaderBytes };

    constructor(private readonly options: EntryServerOptions) {
        this.server = new DrainableServer({
            maxHeaderSize: maxParserHeaderBytes,
            requestTimeout: requestTimeoutMs,
            noDelay: true,
            keepAliveTimeout: 0,
            IncomingMessage: stoppableRequest(socket => this.callers.get(socket)?.isFull ?? true),
        });
        this.server.on("clientError", (err, socket) => this.refuser.onClientError(err, socket as Socket));
        const { memory, maxConnections, refusals } = options.input;
        this.callers = new CallerConnections({
            memory,
            maxConnections,
            limits: () => this.headLimits,
            refuseHead: (socket, refusal) => this.refuser.onHead(socket, refusal),
            onTooMany: heldMs => refusals.add("connections", { connections: this.connections, heldMs }),
        });
        this.refuser = new ConnectionRefuser(this.callers, refusals, options.log);
        this.server.on("connection", socket => this.callers.add(socket));
        // Without a listener the server closes the connection before the calls on it have been answered.
        this.server.on("connect", (_, socket) => this.refuser.onTunnel(socket as Socket));
        this.server.on("upgrade", (_, socket) => this.refuser.onTooManyRequests(socket as Socket));
        const app = polka({ onNoMatch: (req, res) => void this.handle(req, res) });
        attachRouter(this.server, app);
    }

    /** @param signal Ends the wait for the port. */
    listen(host: string, port: number, signal?: AbortSignal): Promise<number> {
        return openPort(this.server, { name: "callers", host, ports: [port], log: this.options.log, signal });
    }

    /** Number of open connections from callers. */
    get connections(): number {
        return this.callers.size;
    }

    applyLimits(limits: CallerLimits): void {
        const maxBytes = Math.min(maxParserHeaderBytes, limits.maxHeaderBytes * parserHeaderFactor);
        this.headLimits = { timeoutMs: limits.headersTimeoutMs, maxBytes };
        // The server reads the property for each new connection; its types have only the option.
        Object.assign(this.server, { maxHeaderSize: maxBytes });
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
        this.callers.close();
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const connection = this.callers.get(req.socket);
        if (connection === undefined || req.socket.destroyed) {
            // The parser goes on with what had been read when the connection was closed.
            return;
        }
        this.active += 1;
        const isSent = new Promise(resolve => res.once("close", resolve));
        connection.enter(res);
        const arrivedAt = performance.now();
        const { memory, pacer } = this.options.input;
        const body = new BodyReader(req, memory, pacer, this.options.maxBodyBytes());
        if (res.socket === null || isChunked(req)) {
            // Read ahead: only a connection that is read tells that its caller has left, and only chunks that are read are counted.
            body.start();
        }
        if (await this.sequence.enter(req, res)) {
            await this.serve(req, res, body, arrivedAt);
            await isSent;
        }
        else if (!connection.isRefused) {
            const waitedMs = Math.round(performance.now() - arrivedAt);
            this.options.log.info("request dropped", { method: req.method, path: req.url, waitedMs });
        }
        body.release();
        this.active -= 1;
        connection.leave(res);
    }

    private async serve(
        req: IncomingMessage,
        res: ServerResponse,
        body: BodyReader,
        arrivedAt: number,
    ): Promise<void> {
        const trace: CallTrace = {};
        let progress: Progress | undefined;
        try {
            if (this.options.drainSchedule() !== undefined && this.sequence.isNewest(req, res)) {
                res.setHeader("Connection", "close");
            }
            const ctx = this.createContext(req, res, body, arrivedAt, trace);
            progress = ctx.progress;
            this.progresses.add(progress);
            await pendingInputRead();
            ctx.checkCaller();
            await runChain(this.options.filters, ctx);
        }
        catch (err) {
            body.release();
            this.onFailed(req, res, body, trace, toProblem(err, progress));
        }
        finally {
            body.release();
            progress?.dispose();
            this.progresses.delete(progress!);
            this.recordCall(req, arrivedAt, trace);
        }
    }

    private createContext(
        req: IncomingMessage,
        res: ServerResponse,
        body: BodyReader,
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
        trace.resumes = head.resumption?.callId;
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
            readBody: () => body.read(),
            unsent: new UnsentAnswer(res, this.options.input.memory),
            conversation: undefined,
            reservation: undefined,
            permit: undefined,
            candidates: undefined,
            trace,
            checkCaller: () => checkCaller(req, res),
            fingerprints: () => fingerprints ??= fingerprintsOf(req, ctx.body, workspace?.name),
        };
        return ctx;
    }

    private onFailed(
        req: IncomingMessage,
        res: ServerResponse,
        body: BodyReader,
        trace: CallTrace,
        err: ProblemError,
    ): void {
        Object.assign(trace, { status: err.status, error: err.code, verdict: err.verdict, detail: err.message });
        if (res.headersSent) {
            // Part of the response has been sent; only closing the connection can signal that it is incomplete.
            res.destroy();
            return;
        }
        if (!req.complete || body.isConnectionStopped) {
            res.setHeader("Connection", "close");
            req.resume();
            lingerAfterAnswer(req.socket);
        }
        sendProblem(res, err);
    }

    private recordCall(req: IncomingMessage, arrivedAt: number, trace: CallTrace): void {
        const ms = Math.round(performance.now() - arrivedAt);
        const { metrics, log } = this.options;
        metrics.onCall(trace.route ?? "none", trace.error ?? String(trace.status ?? "gone"), ms);
        log.info("call", { method: req.method, path: req.url, ...trace, ms });
    }
}

const isChunked = ({ headers }: IncomingMessage): boolean => headers["transfer-encoding"] !== undefined;
