/** What the filters know of a call. */
import type { Progress } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";

import type { Reservation } from "../budgets/budgets.js";
import type { CallHead } from "../call.js";
import type { Route, Service } from "../routes.js";
import type { Conversation } from "../turns/turnStore.js";

/** What is logged of a call once it has ended; times are in milliseconds since its head arrived, or durations. */
export interface CallTrace {
    request?: string;
    program?: string;
    turnOf?: string;
    /** Version of the configuration that chose the route. */
    config?: number;
    route?: string;
    service?: string;
    /** The last upstream that the call was sent to. */
    upstream?: string;
    attempts?: number;
    historyMs?: number;
    budgetMs?: number;
    sentMs?: number;
    firstMs?: number;
    savedMs?: number;
    /** Tokens handed to the caller. */
    tokens?: number;
    status?: number;
    error?: string;
    verdict?: string;
    detail?: string;
}

/** A call on its way through the filters. */
export interface CallContext {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly head: CallHead;
    /** Id of the caller's attempt. */
    readonly id: string;
    readonly route: Route;
    readonly service: Service;
    /** Time of the monotonic clock at which the call's head had arrived, in milliseconds. */
    readonly arrivedAt: number;
    /** Ends at the caller's deadline or the route's timeout, and when the caller leaves. */
    readonly progress: Progress;
    body: Buffer;
    conversation: Conversation | undefined;
    reservation: Reservation | undefined;
    /** Fields of the line that is logged when the call has ended. */
    readonly trace: CallTrace;
}

/** Body as an upstream gets it: the conversation, then what is new. */
export const outgoingBody = (ctx: CallContext): Buffer =>
    ctx.conversation === undefined ? ctx.body : Buffer.concat([ctx.conversation.history, ctx.body]);
