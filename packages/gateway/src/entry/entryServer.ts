/** HTTP server for callers: selects the route of each request and runs the filter chain. */
import { attachRouter, openPort, ProblemError, runChain, sendProblem } from "@marigolddrift/common";
import type { Filter, Logger, Progress } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import polka from "polka";

import type { CallContext } from "../filters/callContext.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { CallerLimits } from "../routes.js";
import { BodyReader } from "./bodyReader.js";
import { pendingInputRead, toProblem } from "./callChecks.js";
import { createCallContext } from "./callContexts.js";
import type { ArrivedRequest, CallContextSources } from "./callContexts.js";
import { CallerConnections } from "./callerConnections.js";
import { ConnectionRefuser } from "./connectionRefuser.js";
import { DrainableServer } from "./drainableServer.js";
import { lingerAfterAnswer } from "./lingeringClose.js";
import { RequestSequence } from "./requestSequence.js";
import { stoppableRequest } from "./stoppableRequest.js";

/** Maximum size of the request headers for the HTTP parser until there is a configuration. */
const maxParserHeaderBytes = 128 * 1024;

/** The parser's limit as a multiple of the configured one, which is checked after parsing. */
const parserHeaderFactor = 2;

/** Time for which idle connections stay open beyond the configured idle timeout. */
const keepAliveSlackMs = 1_000;

/** Maximum time for receiving a complete request. */
const requestTimeoutMs = 30_000;

/** Time within which a head must be complete until there is a configuration. */
const defaultHeadersTimeoutMs = 3_000;

/** Settings and dependencies of an {@link EntryServer}. */
export interface EntryServerOptions extends CallContextSources {
    readonly filters: readonly Filter<CallContext>[];
    /** Maximum size of a body. */
    maxBodyBytes(): number;
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
            await this.serve({ req, res, body, arrivedAt, trace: {} });
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

    private async serve(request: ArrivedRequest): Promise<void> {
        const { req, res, body } = request;
        let progress: Progress | undefined;
        try {
            if (this.options.drainSchedule() !== undefined && this.sequence.isNewest(req, res)) {
                res.setHeader("Connection", "close");
            }
            const ctx = createCallContext(this.options, request);
            progress = ctx.progress;
            this.progresses.add(progress);
            await pendingInputRead();
            ctx.checkCaller();
            await runChain(this.options.filters, ctx);
        }
        catch (err) {
            body.release();
            this.onFailed(request, toProblem(err, progress));
        }
        finally {
            body.release();
            progress?.dispose();
            this.progresses.delete(progress!);
            this.recordCall(request);
        }
    }

    private onFailed({ req, res, body, trace }: ArrivedRequest, err: ProblemError): void {
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

    private recordCall({ req, arrivedAt, trace }: ArrivedRequest): void {
        const ms = Math.round(performance.now() - arrivedAt);
        const { metrics, log } = this.options;
        metrics.onCall(trace.route ?? "none", trace.error ?? String(trace.status ?? "gone"), ms);
        log.info("call", { method: req.method, path: req.url, ...trace, ms });
    }
}

const isChunked = ({ headers }: IncomingMessage): boolean => headers["transfer-encoding"] !== undefined;
