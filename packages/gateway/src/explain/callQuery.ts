/** Decodes the description of a call that has not been sent, from the query of a status request. */
import { z } from "zod";

import type { CallHead, PromptPart } from "../call.js";

/** Time limit of a call that names none; the route's timeout is shorter as a rule. */
const defaultLimitMs = 60_000;

const count = z.coerce.number().nonnegative();

const querySchema = z.strictObject({
    host: z.string().min(1),
    path: z.string().startsWith("/"),
    workspace: z.string().optional(),
    service: z.string().optional(),
    program: z.string().optional(),
    previousTurn: z.string().optional(),
    model: z.string().optional(),
    promptTokens: count.optional(),
    outputTokens: count.optional(),
    parts: z.string().optional(),
    affinityKey: z.string().optional(),
    limitMs: count.default(defaultLimitMs),
});

/** A call that is described, but not sent. */
export interface DescribedCall {
    readonly host: string;
    readonly path: string;
    /** Name of the caller's workspace; undefined for a caller without an API key. */
    readonly workspace: string | undefined;
    /** Service to take among those of the route; undefined for the one with the largest weight. */
    readonly service: string | undefined;
    readonly limitMs: number;
    readonly head: CallHead;
}

/** Error in a description, in words for an operator. */
export class CallQueryError extends Error {}

/** Parses prompt parts with their tokens, for example `5c1e07a2:800,91bd3f06:410`. */
const parseParts = (text: string | undefined): PromptPart[] =>
    (text ?? "").split(",").filter(part => part !== "").map(part => {
        const colon = part.lastIndexOf(":");
        const tokens = Number(part.slice(colon + 1));
        if (colon <= 0 || !Number.isFinite(tokens)) {
            throw new CallQueryError(`parts: "${part}" is not of the form ID:TOKENS`);
        }
        return { id: part.slice(0, colon).trim(), tokens };
    });

/**
 * Decodes the query of a status request.
 *
 * @throws CallQueryError that names each field that is missing, unknown or invalid.
 * @example
 * parseCallQuery(new URLSearchParams("host=quotes.example&path=/fills/7&workspace=north"));
 */
export const parseCallQuery = (query: URLSearchParams): DescribedCall => {
    const { success, data, error } = querySchema.safeParse(Object.fromEntries(query));
    if (!success) {
        throw new CallQueryError(
            error.issues.map(({ path, message }) => `${path.join(".")}${path.length > 0 ? ": " : ""}${message}`).join(
                "; ",
            ),
        );
    }
    const { host, path, workspace, service, program, previousTurn, limitMs } = data;
    const parts = parseParts(data.parts);
    const promptTokens = data.promptTokens ?? parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const hasPrompt = data.promptTokens !== undefined || data.outputTokens !== undefined || parts.length > 0;
    return {
        host,
        path,
        workspace,
        service,
        limitMs,
        head: {
            id: undefined,
            leftMs: limitMs,
            prompt: hasPrompt ?
                {
                    model: data.model ?? "",
                    promptTokens,
                    maxOutputTokens: data.outputTokens ?? 0,
                    parts,
                    expectedOutputTokens: undefined,
                } :
                undefined,
            program: program === undefined ? undefined : {
                id: program,
                thread: program,
                finishInMs: undefined,
                tokenBudget: undefined,
                previousTurnId: previousTurn,
            },
            affinityKey: data.affinityKey,
            resumption: undefined,
        },
    };
};
