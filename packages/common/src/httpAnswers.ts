/** HTTP responses with problem documents and JSON. */
import type { ServerResponse } from "node:http";

import type { ProblemError } from "./verdict.js";

/** Responds with a problem document, unless the response headers are already sent or the connection is closed. */
export const sendProblem = (res: ServerResponse, err: ProblemError): void => {
    if (res.headersSent || res.destroyed) {
        return;
    }
    res.writeHead(err.status, {
        "content-type": "application/problem+json",
        ...(err.retryAfterSeconds === undefined ? {} : { "retry-after": String(err.retryAfterSeconds) }),
    });
    res.end(JSON.stringify(err.toProblem()));
};

/** Responds with a JSON document. */
export const sendJson = (
    res: ServerResponse,
    status: number,
    value: unknown,
    headers: Record<string, string> = {},
): void => {
    res.writeHead(status, { "content-type": "application/json", ...headers });
    res.end(JSON.stringify(value));
};
