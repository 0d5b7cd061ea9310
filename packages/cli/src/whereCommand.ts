/** The `marigolddrift where` command: asks a running front where a call would go now, without sending it. */
import { asError } from "@marigolddrift/common";
import VError from "verror";

import { requestJson } from "./requestJson.js";

const timeoutMs = 5_000;

/** Path of the front's metrics port that answers. */
const wherePath = "/where";

/** Description of a call, by the names that the front knows. */
export interface WhereQuery {
    /** Host and path, for example `quotes.example/fills/7`. */
    readonly url: string;
    /** Name of the workspace; keys are never sent. */
    readonly workspace?: string | undefined;
    readonly service?: string | undefined;
    readonly program?: string | undefined;
    readonly previousTurn?: string | undefined;
    readonly model?: string | undefined;
    readonly promptTokens?: number | undefined;
    readonly outputTokens?: number | undefined;
    /** Parts of the prompt with their tokens, for example `5c1e07a2:800,91bd3f06:410`. */
    readonly parts?: string | undefined;
    readonly affinityKey?: string | undefined;
    readonly limitMs?: number | undefined;
}

interface WhereAnswer {
    readonly outcome: {
        readonly action: string;
        readonly upstream?: string;
        readonly status?: number;
        readonly code?: string;
        readonly reason: string;
    };
}

/** A front that cannot be asked, or does not understand the question. */
export class WhereError extends VError {
    constructor(front: string, detail: string) {
        super({ name: "WhereError" }, "%s: %s. Check --front and the description of the call.", front, detail);
    }
}

/**
 * Asks a front where a call would go.
 *
 * @param front Address of the front's metrics port.
 * @example
 * await askWhere("10.1.0.38:9464", { url: "quotes.example/fills/7", workspace: "north" });
 */
export const askWhere = async (front: string, { url, ...fields }: WhereQuery): Promise<WhereAnswer> => {
    const [host, ...path] = url.replace(/^https?:\/\//, "").split("/");
    const query = new URLSearchParams({ host: host!, path: `/${path.join("/")}` });
    for (const [name, value] of Object.entries(fields)) {
        if (value !== undefined) {
            query.set(name, String(value));
        }
    }
    const endpoint = `http://${front}${wherePath}?${query.toString()}`;
    try {
        return await requestJson(endpoint, { headersTimeout: timeoutMs }) as WhereAnswer;
    }
    catch (err) {
        throw new WhereError(front, asError(err).message);
    }
};

/**
 * Returns an answer with the outcome in words first, for people.
 *
 * @example
 * printResult(describeWhere(await askWhere(front, query)), false);
 */
export const describeWhere = ({ outcome, ...rest }: WhereAnswer): Record<string, unknown> => ({
    outcome: outcomeInWords(outcome),
    reason: outcome.reason,
    ...rest,
});

const outcomeInWords = ({ action, upstream, status, code }: WhereAnswer["outcome"]): string => {
    switch (action) {
        case "send":
            return `would be sent to ${upstream}`;
        case "wait":
            return "would wait";
        default:
            return `would be refused: ${status} ${code}`;
    }
};
