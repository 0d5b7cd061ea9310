/** Sends the requests of callers over connections that they keep. */
import { request } from "node:http";
import type { Agent, IncomingMessage } from "node:http";

import { headersOf, pathOf } from "./soakCalls.js";
import type { Attempt } from "./soakRecord.js";

/** Time that an answer may take beyond the limit that its caller named. */
const answerSlackMs = 1_000;

/** A request and the front that it is sent to. */
export interface SentCall {
    readonly address: { readonly host: string; readonly port: number; };
    readonly body: string;
    /** Time that the worker takes. */
    readonly workMs: number;
    /** Turn that is continued. */
    readonly previous?: string | undefined;
}

/** Sends an attempt, and notes in it what comes back. Resolves once that has ended. */
export const sendAttempt = (
    agent: Agent,
    attempt: Attempt,
    { address, body, workMs, previous }: SentCall,
): Promise<void> => {
    const { kind, limitMs } = attempt;
    const path = pathOf(kind, workMs);
    const headers = headersOf(attempt, limitMs, previous);
    return new Promise(resolve => {
        const req = request({ ...address, method: kind === "safe" ? "GET" : "POST", path, headers, agent }, res => {
            void readAnswer(res).then(({ text, isWhole }) => {
                const hasFrame = res.headers["content-length"] !== undefined ||
                    res.headers["transfer-encoding"] !== undefined;
                const framedWhole = isWhole && hasFrame;
                Object.assign(attempt, { status: res.statusCode, body: text, ended: isWhole, framedWhole });
                resolve();
            });
        });
        req.setTimeout(limitMs + answerSlackMs, () => {
            attempt.end = "timeout";
            req.destroy();
        });
        req.on("error", () => {
            attempt.end ??= "closed";
            resolve();
        });
        req.end(kind === "safe" ? undefined : body);
    });
};

/** Reads an answer to its end, or to where it breaks off. */
const readAnswer = (res: IncomingMessage): Promise<{ readonly text: string; readonly isWhole: boolean; }> =>
    new Promise(resolve => {
        let text = "";
        res.setEncoding("latin1");
        res.on("data", (chunk: string) => text += chunk);
        res.on("end", () => resolve({ text, isWhole: res.complete }));
        res.on("error", () => resolve({ text, isWhole: false }));
    });
