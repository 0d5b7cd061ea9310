/** A caller that has no right to what it asks for, and one that sends more than its workspace may. */
import { delay } from "@marigolddrift/common";
import { Agent } from "node:http";

import { pick } from "./pick.js";
import { budgetTokens } from "./soakCalls.js";
import type { CallKind } from "./soakCalls.js";
import type { SoakFleet } from "./soakFleet.js";
import type { Attempt, SoakRecord } from "./soakRecord.js";
import { sendAttempt } from "./soakSend.js";
import { crowdedWorkspace, keyMark, workspaceNames } from "./soakWorkspaces.js";

const limitMs = 3_000;
const pauseMs = 50;

/** Pause between the calls of one caller of the crowd; a dozen of them send several times their quota. */
const crowdPauseMs = 15;

/** Turns that another workspace tries to continue, the latest ones, and how long they have to be kept from then on. */
const candidateTurns = 20;
const keptForMs = 5_000;

/** Removed keys that are used, the latest ones, so that some were removed long enough ago to be refused everywhere. */
const candidateKeys = 6;

const maxWorkMs = 20;

/** Sends calls one after the other, over connections that it keeps. */
export class Intruder {
    private readonly agent = new Agent({ keepAlive: true });
    private nextId = 0;
    private stopped = false;

    /** @param random Returns numbers in [0, 1). */
    constructor(
        private readonly name: string,
        private readonly fleet: SoakFleet,
        private readonly record: SoakRecord,
        private readonly random: () => number,
    ) {}

    /** Sends calls with keys that were never issued, with none, with removed keys, and to continue turns of other workspaces. */
    async run(): Promise<void> {
        const attempts = [
            () => this.call("order", `${keyMark}never-issued-${this.nextId}`),
            () => this.call("safe", undefined),
            () => this.useRemovedKey(),
            () => this.continueForeignTurn(),
        ];
        for (let index = 0; !this.stopped; index++) {
            await attempts[index % attempts.length]!();
            await delay(pauseMs);
        }
        this.agent.destroy();
    }

    /** Sends calls of the crowded workspace, without regard to refusals. */
    async press(): Promise<void> {
        while (!this.stopped) {
            await this.call("order", this.fleet.workspaces.inForce(crowdedWorkspace)[0]!.key);
            await delay(crowdPauseMs);
        }
        this.agent.destroy();
    }

    stop(): void {
        this.stopped = true;
    }

    private async useRemovedKey(): Promise<void> {
        const removed = this.fleet.workspaces.removed().slice(0, candidateKeys);
        if (removed.length > 0) {
            await this.call(this.random() < 0.5 ? "order" : "turn", pick(removed, this.random).key);
        }
    }

    private async continueForeignTurn(): Promise<void> {
        const turns = [...this.record.attempts.values()].slice(-candidateTurns * 10).filter(({ id, kind, workspace }) =>
            kind === "turn" && workspace !== undefined && this.record.isKept(id, keptForMs)
        );
        if (turns.length === 0) {
            return;
        }
        const turn = pick(turns.slice(-candidateTurns), this.random);
        const others = workspaceNames.filter(name => name !== turn.workspace);
        await this.call("turn", this.fleet.workspaces.inForce(pick(others, this.random))[0]!.key, turn);
    }

    private async call(kind: CallKind, key: string | undefined, continued?: Attempt): Promise<void> {
        const front = pick(this.fleet.fronts, this.random);
        const id = `${this.name}-${this.nextId++}`;
        const program = kind === "turn" ? continued?.program ?? `p-${id}` : undefined;
        const body = kind === "safe" ? "" : `${kind} ${id}`;
        const attempt: Attempt = {
            id,
            kind,
            expectedBody: body,
            front: front.name,
            startedAt: performance.now(),
            limitMs,
            key,
            workspace: this.fleet.workspaces.find(key)?.workspace,
            continuesForeignTurn: continued !== undefined,
            ...(program && { program }),
        };
        this.record.begin(attempt);
        if (program !== undefined && continued === undefined) {
            this.record.setBudget(program, budgetTokens);
        }
        const address = this.fleet.frontAddress(front);
        const workMs = Math.ceil(this.random() * maxWorkMs);
        await sendAttempt(this.agent, attempt, { address, body, workMs, previous: continued?.id });
        attempt.endedAt = performance.now();
        this.record.onAnswer(attempt);
    }
}
