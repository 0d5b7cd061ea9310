/** Everything the owner keeps of one live program. */
import type { Agent, ProgramClaims } from "@marigolddrift/common";
import { openAccount, recoverAccount } from "@marigolddrift/ledger";
import type { BudgetAccount, HandoverState, ProgramEntry } from "@marigolddrift/ledger";
import { initialLoopState } from "@marigolddrift/policy";
import type { LoopState, WorkerScore } from "@marigolddrift/policy";

import type { AnswerLog } from "../answerLog.js";
import { createProgramLifecycle } from "../lifecycles/programLifecycle.js";
import type { ProgramLifecycle } from "../lifecycles/programLifecycle.js";
import { CallSequencer } from "./callSequencer.js";
import { ProgramHistory } from "./programHistory.js";

/** A call whose answer can be joined or replayed. */
export interface CallEntry {
    readonly call: number;
    /** Digest of the request, which tells a repeat from another request under the same number. */
    readonly request: string;
    readonly log: AnswerLog;
}

/** Why a call went where it went. */
export interface Decision {
    readonly at: number;
    readonly call: number;
    readonly choice: string;
    readonly reason: string;
    readonly scores: readonly WorkerScore[];
}

/** Why a program ended. */
export type EndReason = "ended" | "deadline" | "budget" | "loop" | "turns" | "cancelled";

const keptAnswers = 2;
const keptDecisions = 50;

/** One live program. */
export class ProgramState {
    readonly lifecycle: ProgramLifecycle = createProgramLifecycle();
    readonly sequencer: CallSequencer;
    readonly history: ProgramHistory;
    readonly decisions: Decision[] = [];
    account: BudgetAccount;
    loop: LoopState = initialLoopState;
    turns = 0;
    /** Engine time that calls have used, in milliseconds. */
    attainedMs = 0;
    /** Tokens of the whole history, as the engine counted them; 0 if unknown. */
    historyTokens = 0;
    meanAnswerTokens = 0;
    lastCallEndedAt = 0;
    lastUsedAt = Date.now();
    pauseKind = "";
    endReason: EndReason | undefined;
    private readonly answers = new Map<number, CallEntry>();

    /**
     * @param entry What the ledger knows of the program.
     * @param opened Whether this instance has just opened the program.
     * @param handed What the former owner handed over.
     */
    constructor(
        readonly id: string,
        readonly claims: ProgramClaims,
        readonly agent: Agent,
        entry: ProgramEntry | undefined,
        opened: boolean,
        handed?: HandoverState,
    ) {
        this.account = opened ?
            openAccount(claims.budget, claims.firstChunk) :
            recoverAccount(claims.budget, claims.firstChunk, entry?.reserved);
        this.sequencer = new CallSequencer(opened ? 1 : handed?.nextCall);
        this.history = handed === undefined ?
            new ProgramHistory(id, !opened) :
            ProgramHistory.handedOver(id, handed.historyDigest, handed.historyLength);
        this.turns = handed?.turns ?? 0;
        this.historyTokens = handed?.historyTokens ?? 0;
        if (entry?.ended === true) {
            this.end("ended");
        }
    }

    get isEnded(): boolean {
        return this.lifecycle.state === "ended";
    }

    end(reason: EndReason): void {
        this.endReason ??= reason;
        this.lifecycle.send("end");
        this.history.dropMessages();
    }

    /** What the next owner needs to go on, if this one knows it. */
    handOver(epoch: number): HandoverState | undefined {
        const { nextCall } = this.sequencer;
        const historyLength = this.history.knownLength;
        if (nextCall === undefined || historyLength === undefined) {
            return undefined;
        }
        const { turns, historyTokens } = this;
        return { epoch, nextCall, turns, historyDigest: this.history.digest, historyLength, historyTokens };
    }

    answerOf(call: number): CallEntry | undefined {
        return this.answers.get(call);
    }

    keepAnswer(entry: CallEntry): void {
        this.answers.set(entry.call, entry);
        for (const call of this.answers.keys()) {
            if (call <= entry.call - keptAnswers) {
                this.answers.delete(call);
            }
        }
    }

    /** Forgets an answer, so that the call can be sent again. */
    forgetAnswer(entry: CallEntry): void {
        if (this.answers.get(entry.call) === entry) {
            this.answers.delete(entry.call);
        }
    }

    addDecision(decision: Decision): void {
        this.decisions.push(decision);
        if (this.decisions.length > keptDecisions) {
            this.decisions.shift();
        }
    }
}
