/** Creates the context of a call from the head of its request. */
import { ProblemError, Progress } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";

import { fingerprintsOf } from "../crashes/fingerprint.js";
import type { Fingerprints } from "../crashes/fingerprint.js";
import type { CallContext, CallTrace } from "../filters/callContext.js";
import { ChunkedBytes } from "../memory/chunkedBytes.js";
import type { CallProtocol } from "../protocol.js";
import { chooseTarget } from "../routes.js";
import type { Route, RouteTable } from "../routes.js";
import type { BodyReader } from "./bodyReader.js";
import { checkCaller, checkHeaderBytes, identifyWorkspace } from "./callChecks.js";
import type { DrainSchedule } from "./drainSchedule.js";
import type { InputBounds } from "./inputBounds.js";
import { UnsentAnswer } from "./unsentAnswer.js";

/** Time after which callers may retry if the instance has no configuration yet. */
const notReadyRetryAfterSeconds = 0.5;

/** What contexts are created from, besides the request. */
export interface CallContextSources {
    readonly protocol: CallProtocol;
    routes(): RouteTable | undefined;
    /** Set while the instance is stopping, so that callers should close their connections. */
    drainSchedule(): DrainSchedule | undefined;
    readonly input: InputBounds;
    readonly random: () => number;
}

/** A request whose head has been read. */
export interface ArrivedRequest {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly body: BodyReader;
    /** Monotonic time. */
    readonly arrivedAt: number;
    /** Filled in as far as the head is understood, even if the request is refused. */
    readonly trace: CallTrace;
}

/**
 * Creates the context of a call; its time begins to run.
 *
 * @throws ProblemError if the request is refused by its head.
 */
export const createCallContext = (sources: CallContextSources, request: ArrivedRequest): CallContext => {
    const { req, res, body, arrivedAt, trace } = request;
    const table = requireRoutes(sources);
    checkHeaderBytes(req, table.config.limits.maxHeaderBytes);
    const head = sources.protocol.parseCall(req.headers);
    const { program } = head;
    Object.assign(trace, { request: head.id, program: program?.id, turnOf: program?.previousTurnId });
    trace.resumes = head.resumption?.callId;
    trace.config = table.config.version;
    const route = table.match(req.headers.host ?? "", req.url ?? "");
    const service = route && table.service(chooseTarget(route, sources.random()));
    if (route === undefined || service === undefined) {
        throw new ProblemError("unknown_route", "notRun", "No route matches the host and path.");
    }
    if (head.id === undefined) {
        throw new ProblemError("invalid_request", "notRun", "The request has no id.");
    }
    const workspace = identifyWorkspace(table, route, sources.protocol.readApiKey(req.headers));
    const limitMs = Math.min(head.leftMs ?? Infinity, route.timeoutMs);
    Object.assign(trace, { route: route.name, service: service.name, workspace: workspace?.name, limitMs });
    if (sources.drainSchedule()?.takes(limitMs, arrivedAt) === false) {
        throw new ProblemError("draining", "notRun", "The instance is stopping.", { retryAfterSeconds: 0 });
    }
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
        progress: startProgress(request, route, limitMs),
        body: ChunkedBytes.empty,
        readBody: () => body.read(),
        unsent: new UnsentAnswer(res, sources.input.memory),
        conversation: undefined,
        reservation: undefined,
        permit: undefined,
        candidates: undefined,
        trace,
        checkCaller: () => checkCaller(req, res),
        fingerprints: () => fingerprints ??= fingerprintsOf(req, ctx.body, workspace?.name),
    };
    return ctx;
};

const requireRoutes = (sources: CallContextSources): RouteTable => {
    const table = sources.routes();
    if (table === undefined) {
        throw new ProblemError("not_configured", "notRun", "This instance has not read the configuration yet.", {
            retryAfterSeconds: notReadyRetryAfterSeconds,
        });
    }
    return table;
};

/** Limits the time of a call, and ends a call that may run twice or can be resumed when its caller leaves. */
const startProgress = ({ res, arrivedAt }: ArrivedRequest, route: Route, limitMs: number): Progress => {
    const progress = new Progress(limitMs - (performance.now() - arrivedAt));
    res.on("close", () => {
        if (!res.writableFinished && (route.isStreaming || route.idempotent)) {
            progress.abort(new ProblemError("caller_gone", "mayHaveRun", "The caller closed the connection."));
        }
    });
    return progress;
};
