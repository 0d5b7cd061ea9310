/** Checks on a request before its call is served, and the error that its caller is told. */
import { ProblemError, toProblemError } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";

import type { Route, RouteTable } from "../routes.js";
import type { Workspace } from "../workspaces.js";

/**
 * Resolves once the input has been read that was pending when the request was. Load pattern: more requests than the process can
 * read at once, so that they wait, and the callers of many have left when their turn comes. The end of a connection is read only
 * in the turn of the event loop after its last data.
 */
export const pendingInputRead = async (): Promise<void> => {
    await nextCheckPhase();
    await nextCheckPhase();
};

const nextCheckPhase = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/**
 * Throws `caller_gone` if the caller has closed its connection: nobody waits for the answer, and running the call would delay
 * others.
 */
export const checkCaller = (req: IncomingMessage, res: ServerResponse): void => {
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
export const identifyWorkspace = (table: RouteTable, route: Route, key: string | undefined): Workspace | undefined => {
    const workspace = table.workspaces?.identify(key);
    if (table.workspaces !== undefined && workspace === undefined && !route.isPublic) {
        throw new ProblemError("unauthorized", "notRun", "The API key is missing or unknown.");
    }
    return workspace;
};

/** Throws `headers_too_large` if a head is larger than configured; the parser has a wider limit of its own. */
export const checkHeaderBytes = (req: IncomingMessage, maxBytes: number): void => {
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
export const toProblem = (err: unknown, progress: Progress | undefined): ProblemError => {
    const reason: unknown = progress?.isAborted ? progress.abortReason : undefined;
    const mayHaveRun = err instanceof ProblemError && err.verdict !== "notRun";
    // The status of a refusal would promise that the call has not run.
    if (reason instanceof ProblemError && mayHaveRun && reason.code !== "draining") {
        return new ProblemError(reason.code, "mayHaveRun", reason.message);
    }
    return toProblemError(err, "mayHaveRun");
};
