/** Runs the programs of a workload against real daemons. */
import type { Message, Problem } from "@marigolddrift/common";

import { Client } from "./client.js";
import type { ChatAnswer } from "./client.js";
import type { CallPlan, ProgramPlan } from "./programPlan.js";
import { RunRecorder } from "./report.js";

const bytesPerToken = 4;
const maxAttempts = 8;
const retryDelayMs = 500;

/** Options of a workload run over HTTP. */
export interface HttpRunOptions {
    /** URLs of daemons, used round-robin. */
    readonly urls: readonly string[];
    readonly key: string;
    readonly service: string;
    /** Factor applied to all pauses and start times. */
    readonly timeScale: number;
    readonly onProgress?: (done: number, total: number) => void;
}

/** Number of service calls by outcome, as the client observed it. */
export interface OrderCounts {
    readonly sent: number;
    readonly answered: number;
    readonly unknown: number;
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Runs programs against daemons through their HTTP API. */
export class HttpRunner {
    readonly recorder = new RunRecorder();
    readonly orders = { sent: 0, answered: 0, unknown: 0 };
    /** Number of programs that failed, by problem code. */
    readonly problems = new Map<string, number>();
    private readonly client: Client;
    private next = 0;
    private done = 0;

    constructor(private readonly options: HttpRunOptions) {
        this.client = new Client(options.key);
    }

    /** Runs all programs, each at its start time. */
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

    private async runProgram(program: ProgramPlan, recordsLatency: boolean): Promise<void> {
        const startedAt = Date.now();
        try {
            const id = await this.open(program);
            await this.converse(id, program);
            if (program.kind.order && this.options.service !== "") {
                await this.placeOrder(id, program);
            }
            if (recordsLatency) {
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
        let messages: Message[] = [{
            role: "system",
            content: fillerText(program.kind.agent, program.kind.systemTokens),
        }];
        for (const [index, call] of program.calls.entries()) {
            const content = `${
                fillerText(`${program.name} ${index}`, call.promptTokens)
            } [[tokens=${call.answerTokens}]]`;
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

    private async placeOrder(id: string, program: ProgramPlan): Promise<void> {
        this.orders.sent += 1;
        const headers = { "idempotency-key": `${program.name}-${id.slice(-8)}` };
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
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
            await sleep(retryDelayMs);
        }
    }

    /**
     * Makes up to `maxAttempts` attempts until a result is accepted. Model calls are retried even if they may have run;
     * problems with a status below 429 are not retried.
     */
    private async retry<R extends { readonly problem: Problem | undefined; }, V>(
        attempt: () => Promise<R>,
        accept: (result: R) => V | undefined,
    ): Promise<NonNullable<V>> {
        for (let attempts = 1;; attempts++) {
            const result = await attempt();
            const value = accept(result);
            if (value !== undefined && value !== null && value !== "") {
                return value;
            }
            const problem = result.problem;
            this.recorder.refused += problem?.verdict === "notRun" ? 1 : 0;
            if (attempts >= maxAttempts || (problem !== undefined && problem.status < 429)) {
                throw new CallError(problem?.code ?? "cut");
            }
            await sleep((problem?.retryAfterSeconds ?? 0) * 1000 * this.options.timeScale + retryDelayMs);
        }
    }

    private onFailure(err: unknown): void {
        this.recorder.failed += 1;
        const code = err instanceof CallError ? err.code : String(err);
        this.problems.set(code, (this.problems.get(code) ?? 0) + 1);
    }
}

/** A call that failed after all retries or must not be retried; it ends its program. */
class CallError extends Error {
    constructor(readonly code: string) {
        super(code);
    }
}

/** Returns filler text of approximately the given number of tokens; it is the same for the same seed. */
export const fillerText = (seed: string, tokens: number): string => {
    const unit = `${seed} `;
    return unit.repeat(Math.ceil(tokens * bytesPerToken / unit.length)).slice(0, tokens * bytesPerToken);
};
