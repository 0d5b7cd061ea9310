/** Runs the programs of a workload against real daemons. */
import type { Message, Problem } from "@marigolddrift/common";

import { Client } from "./client.js";
import type { ChatAnswer } from "./client.js";
import type { CallPlan, ProgramPlan } from "./programPlan.js";
import { RunRecorder } from "./report.js";

const bytesPerToken = 4;
const maxTries = 8;
const retryMs = 500;

/** Where and how programs are run. */
export interface HttpRunOptions {
    /** URLs of daemons; each call goes to another one. */
    readonly urls: readonly string[];
    readonly key: string;
    readonly service: string;
    /** Factor on all pauses and start times. */
    readonly timeScale: number;
    readonly onProgress?: (done: number, total: number) => void;
}

/** Counts of service calls by their idempotency key, as the caller saw them. */
export interface OrderCounts {
    readonly sent: number;
    readonly answered: number;
    readonly unknown: number;
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Runs programs as callers do. */
export class HttpRunner {
    readonly recorder = new RunRecorder();
    readonly orders = { sent: 0, answered: 0, unknown: 0 };
    /** Problems that ended programs, by code. */
    readonly problems = new Map<string, number>();
    private readonly client: Client;
    private next = 0;
    private done = 0;

    constructor(private readonly options: HttpRunOptions) {
        this.client = new Client(options.key);
    }

    /** Runs all programs at their times. */
    async run(programs: readonly ProgramPlan[]): Promise<void> {
        const startedAt = Date.now();
        await Promise.all(programs.map(async program => {
            await sleep(program.startMs * this.options.timeScale - (Date.now() - startedAt));
            await this.runProgram(program, true);
            this.done += 1;
            this.options.onProgress?.(this.done, programs.length);
        }));
        await this.client.close();
    }

    private url(): string {
        this.next += 1;
        return this.options.urls[this.next % this.options.urls.length]!;
    }

    private async runProgram(program: ProgramPlan, counted: boolean): Promise<void> {
        const startedAt = Date.now();
        try {
            const id = await this.open(program);
            await this.converse(id, program);
            if (program.kind.order && this.options.service !== "") {
                await this.order(id, program);
            }
            if (counted) {
                this.recorder.onFinished(
                    program.kind.agent,
                    Date.now() - startedAt,
                    program.kind.deadlineSeconds * 1000,
                );
            }
            await this.client.end(this.url(), id);
        }
        catch (err) {
            this.onFailure(err);
        }
    }

    private async open(program: ProgramPlan): Promise<string> {
        const body = { agent: program.kind.agent, deadline_seconds: program.kind.deadlineSeconds };
        return await this.retry(async () => await this.client.open(this.url(), body), result => result.id);
    }

    private async converse(id: string, program: ProgramPlan): Promise<void> {
        let messages: Message[] = [{ role: "system", content: filler(program.kind.agent, program.kind.systemTokens) }];
        for (const [index, call] of program.calls.entries()) {
            const content = `${filler(`${program.name} ${index}`, call.promptTokens)} [[tokens=${call.answerTokens}]]`;
            messages = [...messages, { role: "user", content }];
            const answer = await this.chat(id, index + 1, messages, call);
            messages = [...messages, { role: "assistant", content: answer.text }];
            if (index < program.calls.length - 1) {
                await this.pause(call);
            }
        }
    }

    private async pause(call: CallPlan): Promise<void> {
        const startedAt = Date.now();
        if (call.helper !== undefined) {
            await this.runProgram(call.helper, false);
        }
        await sleep(call.pauseMs * this.options.timeScale - (Date.now() - startedAt));
    }

    private async chat(id: string, number: number, messages: readonly Message[], call: CallPlan): Promise<ChatAnswer> {
        const options = {
            call: number,
            maxTokens: call.answerTokens,
            stream: true,
            ...(call.tool === "" ? {} : { nextTool: call.tool }),
        };
        const answer = await this.retry(
            async () => await this.client.chat(this.url(), id, messages, options),
            result => result.status === 200 ? result : undefined,
        );
        this.recorder.firstToken.record(answer.firstTokenMs);
        answer.gapsMs.forEach(gap => this.recorder.betweenTokens.record(gap));
        this.recorder.onUsage(answer.promptTokens, answer.cachedTokens);
        return answer;
    }

    private async order(id: string, program: ProgramPlan): Promise<void> {
        this.orders.sent += 1;
        const headers = { "idempotency-key": `${program.name}-${id.slice(-8)}` };
        for (let attempt = 0; attempt < maxTries; attempt++) {
            const reply = await this.client.service(this.url(), `${this.options.service}/orders`, headers, {
                program: program.name,
            });
            if (reply.status === 200) {
                this.orders.answered += 1;
                return;
            }
            if ((reply.value as Problem).verdict !== "notRun") {
                this.orders.unknown += 1;
                return;
            }
            await sleep(retryMs);
        }
    }

    /** Repeats what did not run, and model calls in any case. */
    private async retry<R extends { readonly problem: Problem | undefined; }, V>(
        attempt: () => Promise<R>,
        accept: (result: R) => V | undefined,
    ): Promise<NonNullable<V>> {
        for (let tries = 1;; tries++) {
            const result = await attempt();
            const value = accept(result);
            if (value !== undefined && value !== null && value !== "") {
                return value;
            }
            const problem = result.problem;
            this.recorder.refused += problem?.verdict === "notRun" ? 1 : 0;
            if (tries >= maxTries || (problem !== undefined && problem.status < 429)) {
                throw new CallFailure(problem?.code ?? "cut");
            }
            await sleep((problem?.retryAfterSeconds ?? 0) * 1000 * this.options.timeScale + retryMs);
        }
    }

    private onFailure(err: unknown): void {
        this.recorder.failed += 1;
        const code = err instanceof CallFailure ? err.code : String(err);
        this.problems.set(code, (this.problems.get(code) ?? 0) + 1);
    }
}

/** A program that could not go on. */
class CallFailure extends Error {
    constructor(readonly code: string) {
        super(code);
    }
}

/** Text of about so many tokens, the same for the same seed text. */
export const filler = (seed: string, tokens: number): string => {
    const unit = `${seed} `;
    return unit.repeat(Math.ceil(tokens * bytesPerToken / unit.length)).slice(0, tokens * bytesPerToken);
};
