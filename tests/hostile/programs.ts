/** Programs whose turns continue each other, as callers send them to a front. */
import { delay } from "@marigolddrift/common";
import { request } from "node:http";

import type { HostileFront } from "./hostileFront.js";
import { hostileHost } from "./hostileFront.js";

const deadlineMs = 20_000;

/** Times that a turn is sent again after an answer that says when to come back. */
const maxTries = 6;

/** Pause before a turn is sent again whose answer names no time. */
const retryMs = 100;

/** A turn to send. */
export interface Turn {
    readonly program: string;
    /** Id of the turn that it continues. */
    readonly previous?: string | undefined;
    readonly input: string | Buffer;
}

/** The answer to a turn, or why there is none. */
export interface TurnAnswer {
    readonly id: string;
    readonly outcome: number | string;
    readonly retryAfterMs: number;
    /** Size of the answer. */
    readonly bytes: number;
}

let nextId = 1;

/** Sends a turn once. */
export const sendTurn = (front: HostileFront, { program, previous, input }: Turn): Promise<TurnAnswer> =>
    new Promise(resolve => {
        const id = `turn-${nextId++}`;
        const fail = (err: Error): void => resolve({ id, outcome: err.message, retryAfterMs: retryMs, bytes: 0 });
        const headers = {
            "Host": hostileHost,
            "Request-Id": id,
            "Deadline-Ms": String(deadlineMs),
            "Program-Id": program,
            "Session-Id": program,
            "Finish-Ms": "60000",
            "Token-Usage": "40,50",
            "Model": "m",
            "Content-Length": String(input.length),
            ...(previous === undefined ? {} : { "Previous-Turn": previous }),
        };
        const req = request({ ...front.address, method: "POST", path: "/chat/1", headers, agent: false }, res => {
            let bytes = 0;
            const retryAfterMs = Number(res.headers["retry-after"] ?? retryMs / 1_000) * 1_000;
            res.on("data", (chunk: Buffer) => bytes += chunk.length);
            res.on("error", fail);
            res.on("end", () => resolve({ id, outcome: res.statusCode!, retryAfterMs, bytes }));
        });
        req.on("error", fail);
        req.end(input);
    });

/** Sends a turn until it is answered 200; resolves to the last answer. */
export const playTurn = async (front: HostileFront, turn: Turn): Promise<TurnAnswer> => {
    for (let tries = 1;; tries++) {
        const answer = await sendTurn(front, turn);
        if (answer.outcome === 200 || tries === maxTries) {
            return answer;
        }
        await delay(answer.retryAfterMs);
    }
};

/** A program: turns one after the other, then sub-agents that continue the last one at the same time. */
export interface ProgramPlan {
    readonly name: string;
    readonly turns: number;
    readonly inputBytes: number;
    readonly subAgents: number;
}

/** Plays a program; resolves to what became of its turns, those of the sub-agents last. */
export const playProgram = async (
    front: HostileFront,
    { name, turns, inputBytes, subAgents }: ProgramPlan,
): Promise<(number | string)[]> => {
    const outcomes: (number | string)[] = [];
    const input = Buffer.alloc(inputBytes, "x");
    let previous: string | undefined;
    for (let turn = 0; turn < turns; turn++) {
        const { id, outcome } = await playTurn(front, { program: name, previous, input });
        outcomes.push(outcome);
        previous = id;
    }
    const answers = await Promise.all(
        Array.from({ length: subAgents }, () => playTurn(front, { program: name, previous, input: "a question" })),
    );
    return [...outcomes, ...answers.map(({ outcome }) => outcome)];
};

/** Sends ordinary calls until stopped; resolves to what became of those that were not answered 200. */
export const callOrdinarily = (front: HostileFront): () => Promise<(number | string)[]> => {
    const failures: (number | string)[] = [];
    let isStopped = false;
    const calls = (async () => {
        while (!isStopped) {
            const outcome = await front.callOnce();
            if (outcome !== 200) {
                failures.push(outcome);
            }
            await delay(100);
        }
    })();
    return async () => {
        isStopped = true;
        await calls;
        return failures;
    };
};
