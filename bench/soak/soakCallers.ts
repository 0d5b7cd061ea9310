/** Callers that run programs of turns and tool calls, and retry as the platform's do. */
import { delay } from "@marigolddrift/common";
import { Agent } from "node:http";

import type { Machine } from "./machine.js";
import { pick } from "./pick.js";
import { budgetTokens, visitBudgetTokens } from "./soakCalls.js";
import type { CallKind } from "./soakCalls.js";
import type { SoakFleet } from "./soakFleet.js";
import { outputOf } from "./soakRecord.js";
import type { Attempt, SoakRecord } from "./soakRecord.js";
import { sendAttempt } from "./soakSend.js";

const callTimeoutMs = 4_000;

/** Attempts at a turn or call before its program is given up. */
const maxAttempts = 4;

const retryDelayMs = 250;
const pauseMs = 60;

const turnsPerProgram = 5;
const loopingShare = 0.1;

/** Size of a large input, above that of a value in the platform's store. */
const largeInputBytes = 1_300_000;

/** Sub-agents of a program with a large input, which continue its first turn at the same time. */
const subAgents = 3;

/** Pause between the turns of a slow conversation. */
const visitPauseMs = 4_500;

/** The longest time that workers take for a call; most take much less. */
const maxWorkMs = 300;

/** One caller, which runs one program after the other over connections that it keeps. */
export class SoakCaller {
    private readonly agent = new Agent({ keepAlive: true });
    private nextId = 0;
    private stopped = false;

    /** @param random Returns numbers in [0, 1). */
    constructor(
        private readonly name: string,
        private readonly workspace: string,
        private readonly fleet: SoakFleet,
        private readonly record: SoakRecord,
        private readonly random: () => number,
        private readonly largeShare: number,
    ) {}

    async run(): Promise<void> {
        while (!this.stopped) {
            await this.runProgram();
        }
        this.agent.destroy();
    }

    stop(): void {
        this.stopped = true;
    }

    private async runProgram(): Promise<void> {
        const program = this.newId("p");
        const zone = pick(this.fleet.fronts, this.random).zone;
        const loops = this.random() < loopingShare;
        this.record.setBudget(program, budgetTokens);
        let history = "";
        let previous: string | undefined;
        for (let turn = 0; !this.stopped && (loops || turn < turnsPerProgram); turn++) {
            const isLarge = turn === 0 && this.random() < this.largeShare;
            const input = `${program} asks ${turn};${isLarge ? "x".repeat(largeInputBytes) : ""}`;
            const attempt = await this.callUntilAnswered("turn", zone, history + input, input, program, previous);
            if (attempt === undefined) {
                this.record.count(`program ended at turn ${Math.min(turn, turnsPerProgram)}`);
                return;
            }
            history += input + outputOf(attempt.id);
            previous = attempt.id;
            if (isLarge) {
                await this.runSubAgents(zone, program, history, attempt.id);
            }
            await this.callTools(zone);
            await delay(pauseMs);
        }
        this.record.count("program complete");
    }

    private async runSubAgents(zone: string, program: string, history: string, previous: string): Promise<void> {
        const turns = Array.from({ length: subAgents }, (_, index) => {
            const input = `${program} asks for ${index};`;
            return this.callUntilAnswered("turn", zone, history + input, input, program, previous);
        });
        const answers = await Promise.all(turns);
        this.record.count("sub-agent answered", answers.filter(answer => answer !== undefined).length);
    }

    /** One conversation that goes on for longer than its turns are kept, with each turn in time after the one before. */
    async visit(): Promise<void> {
        while (!this.stopped) {
            await this.runVisit();
        }
        this.agent.destroy();
    }

    private async runVisit(): Promise<void> {
        const program = this.newId("v");
        this.record.setBudget(program, visitBudgetTokens);
        let history = "";
        let previous: string | undefined;
        while (!this.stopped) {
            // Inputs above the size from which records refer to earlier ones.
            const input = `${program} goes on;${"x".repeat(5_000)}`;
            const zone = pick(this.fleet.fronts, this.random).zone;
            const attempt = await this.callUntilAnswered("visit", zone, history + input, input, program, previous);
            if (attempt === undefined) {
                return;
            }
            history += input + outputOf(attempt.id);
            previous = attempt.id;
            this.record.count("visit goes on");
            await delay(visitPauseMs);
        }
    }

    /** Continues a turn that may be of another caller. Resolves to the last answer. */
    async continueTurn({ id, program, expectedBody }: Attempt): Promise<Attempt | undefined> {
        const input = `${this.newId("goes on")};`;
        const zone = pick(this.fleet.fronts, this.random).zone;
        return await this.callUntilAnswered("turn", zone, expectedBody + outputOf(id) + input, input, program, id);
    }

    private async callTools(zone: string): Promise<void> {
        const calls = [this.callUntilAnswered("safe", zone, "", "")];
        if (this.random() < 0.5) {
            const body = `${this.newId("bags")} please`;
            calls.push(this.callUntilAnswered("order", zone, body, body));
        }
        await Promise.all(calls);
    }

    /** Retries as often as the platform's callers do; what must not be repeated only after a promise that it has not run. */
    private async callUntilAnswered(
        kind: CallKind,
        zone: string,
        expectedBody: string,
        body: string,
        program?: string,
        previous?: string,
    ): Promise<Attempt | undefined> {
        for (let tries = 0; tries < maxAttempts; tries++) {
            const front = this.pickFront(zone);
            const attempt: Attempt = {
                id: this.newId("r"),
                kind,
                expectedBody,
                front: front.name,
                startedAt: performance.now(),
                limitMs: callTimeoutMs,
                key: pick(this.fleet.workspaces.inForce(this.workspace), this.random).key,
                workspace: this.workspace,
                ...(program && { program }),
            };
            this.record.begin(attempt);
            const workMs = Math.ceil(this.random() ** 3 * maxWorkMs);
            const address = this.fleet.frontAddress(front);
            await sendAttempt(this.agent, attempt, { address, body, workMs, previous });
            attempt.endedAt = performance.now();
            if (this.record.onAnswer(attempt)) {
                return attempt;
            }
            if (attempt.status === 402) {
                return undefined;
            }
            if (attempt.status === 404 || attempt.status === 410) {
                if (this.record.isKept(previous)) {
                    this.record.violations.push(
                        `${attempt.id} continues ${previous}, which was kept, and got ${attempt.status}`,
                    );
                }
                return undefined;
            }
            await delay(retryDelayMs);
        }
        return undefined;
    }

    /** Mostly a front of the caller's zone; its retries reach others. */
    private pickFront(zone: string): Machine {
        const inZone = this.fleet.fronts.filter(front => front.zone === zone);
        return this.random() < 0.7 ? pick(inZone, this.random) : pick(this.fleet.fronts, this.random);
    }

    private newId(prefix: string): string {
        return `${prefix}-${this.name}-${this.nextId++}`;
    }
}
