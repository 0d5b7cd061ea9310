/** Context of a request that the owner's filters share. */
import type { Message, Progress } from "@marigolddrift/common";
import type { Outcome } from "@marigolddrift/ledger";

import type { AnswerLog } from "../answerLog.js";
import type { ChatRequest, ServiceRequest } from "../calls.js";
import type { SlotHold } from "../controllers/slots.js";
import type { RequestLifecycle } from "../lifecycles/requestLifecycle.js";
import type { ProgramState } from "../programs/programState.js";

/** Fields that all requests have at their owner. */
export interface OwnerContext {
    readonly progress: Progress;
    readonly log: AnswerLog;
    readonly lifecycle: RequestLifecycle;
    readonly hold: SlotHold;
    program: ProgramState | undefined;
    /** Number of the call in its program; 0 if it belongs to no program. */
    call: number;
}

/** A model call at its owner. */
export interface ChatContext extends OwnerContext {
    readonly req: ChatRequest;
    program: ProgramState;
    /** The whole conversation, including the new messages. */
    conversation: readonly Message[];
    /** The messages that this call adds to the history. */
    newMessages: readonly Message[];
    /** The whole answer, once it is complete. */
    answer: string;
}

/** A service call at its owner. */
export interface ServiceContext extends OwnerContext {
    readonly req: ServiceRequest;
    /** The service's response, once received. */
    outcome: Outcome | undefined;
}
