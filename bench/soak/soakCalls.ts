/** Requests of the kinds that callers send. */

/** Kind of a call: whether it may be repeated, or continues a conversation. */
export type CallKind = "turn" | "visit" | "safe" | "order";

/** Time for which turns of programs can be continued, and those of slow conversations, which go on for longer than that. */
export const turnKeepS = 60;
export const visitKeepS = 8;

/** Tokens in an event, and the most that a turn may generate. */
export const tokensPerEvent = 10;
export const maxTurnTokens = 50;

/** Budget of a program; those that loop ask for turns until they are told that it is spent. */
export const budgetTokens = 400;

/** Budget of a slow conversation. */
export const visitBudgetTokens = 100_000;

const promptTokens = 100;
const finishMs = 20_000;

const prefixes: Readonly<Record<CallKind, string>> = {
    turn: "/chat/",
    visit: "/visit/",
    safe: "/look/",
    order: "/order/",
};

/** Path of a call; workers take the time that its last part names. */
export const pathOf = (kind: CallKind, workMs: number): string => `${prefixes[kind]}${workMs}`;

/** Time that a worker takes for each event of a stream, or for a plain answer, by the path of the call. */
export const delayOfPath = (path: string, events: number): number => {
    const workMs = Number(path.split("/").at(-1));
    return path.startsWith(prefixes.turn) || path.startsWith(prefixes.visit) ? workMs / events : workMs;
};

/** What the headers of a call name. */
export interface CallNames {
    readonly id: string;
    readonly kind: CallKind;
    readonly program?: string;
    /** API key of the caller. */
    readonly key?: string | undefined;
}

/** Headers of a call, but for those that frame its body. */
export const headersOf = (
    { id, kind, program, key }: CallNames,
    deadlineMs: number,
    previous?: string,
): Record<string, string> => ({
    "Host": "soak.example",
    "Request-Id": id,
    "Deadline-Ms": String(deadlineMs),
    // A name of the caller's own choice, which must not reach the worker.
    "Tenant": "forged",
    ...(key !== undefined && { "Api-Key": key }),
    ...(program !== undefined && {
        "Program-Id": program,
        "Session-Id": program,
        "Finish-Ms": String(finishMs),
        "Token-Budget": String(kind === "visit" ? visitBudgetTokens : budgetTokens),
        "Token-Usage": `${promptTokens},${maxTurnTokens}`,
        "Model": "m",
    }),
    ...(previous !== undefined && { "Previous-Turn": previous }),
});
