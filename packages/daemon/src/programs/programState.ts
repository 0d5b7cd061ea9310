/** In-memory state of a live program on the instance that owns its slot. */
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

/** A call whose answer can be joined while it runs, or replayed afterwards. */
export interface CallEntry {
    readonly call: number;
    /** Digest of the request, which distinguishes a retry from a different request with the same call number. */
    readonly request: string;
    readonly log: AnswerLog;
}

/** Record of a placement decision for a call. */
export interface Decision {
    readonly at: number;
    readonly call: number;
    readonly choice: string;
    readonly reason: string;
    readonly scores: readonly WorkerScore[];
}

/** Why a program ended. */
export type EndReason = "ended" | "deadline" | "budget" | "loop" | "turns" | "cancelled";

const maxStoredAnswers = 2;
const maxStoredDecisions = 50;

/** A live program. */
export class ProgramState {
    readonly lifecycle: ProgramLifecycle = createProgramLifecycle();
    readonly sequencer: CallSequencer;
    readonly history: ProgramHistory;
    readonly decisions: Decision[] = [];
    account: BudgetAccount;
    loop: LoopState = initialLoopState;
    turns = 0;
    /** Attained service: the engine time that all calls have used. */
    attainedMs = 0;
    /** Tokens of the whole history, as counted by the engine; 0 if unknown. */
    historyTokens = 0;
    meanAnswerTokens = 0;
    lastCallEndedAt = 0;
    lastUsedAt = Date.now();
    pauseKind = "";
    endReason: EndReason | undefined;
    private readonly answers = new Map<number, CallEntry>();

    /**
     * @param entry Entry of the program in the ledger, if it has one.
     * @param isNew Whether this instance has just opened the program.
     * @param handedOver State that the previous owner handed over, if any.
     */
    constructor(
        readonly id: string,
        readonly claims: ProgramClaims,
        readonly agent: Agent,
        entry: ProgramEntry | undefined,
        isNew: boolean,
        handedOver?: HandoverState,
    ) {
        this.account = isNew ?
            openAccount(claims.budget, claims.firstChunk) :
            recoverAccount(claims.budget, claims.firstChunk, entry?.reserved);
        this.sequencer = new CallSequencer(isNew ? 1 : handedOver?.nextCall);
        this.history = handedOver === undefined ?
            new ProgramHistory(id, !isNew) :
            ProgramHistory.fromHandover(id, handedOver.historyDigest, handedOver.historyLength);
        this.turns = handedOver?.turns ?? 0;
        this.historyTokens = handedOver?.historyTokens ?? 0;
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

    /** State that the next owner needs to continue the program; undefined if it is not fully known here. */
    createHandoverState(epoch: number): HandoverState | undefined {
        const { nextCall } = this.sequencer;
        const historyLength = this.history.knownLength;
        if (nextCall === undefined || historyLength === undefined) {
            return undefined;
        }
        const { turns, historyTokens } = this;
        return { epoch, nextCall, turns, historyDigest: this.history.digest, historyLength, historyTokens };
    }

    storedAnswer(call: number): CallEntry | undefined {
        return this.answers.get(call);
    }

    storeAnswer(entry: CallEntry): void {
        this.answers.set(entry.call, entry);
        for (const call of this.answers.keys()) {
            if (call <= entry.call - maxStoredAnswers) {
                this.answers.delete(call);
            }
        }
    }

    /** Removes an answer, so that the call can be retried. */
    removeAnswer(entry: CallEntry): void {
        if (this.answers.get(entry.call) === entry) {
            this.answers.delete(entry.call);
        }
    }

    addDecision(decision: Decision): void {
        this.decisions.push(decision);
        if (this.decisions.length > maxStoredDecisions) {
            this.decisions.shift();
        }
    }
}
