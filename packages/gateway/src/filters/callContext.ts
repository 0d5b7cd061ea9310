/** State of a call, shared by the filters. */
import type { Progress } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";

import type { Beginning } from "../beginnings/beginnings.js";
import type { Reservation } from "../budgets/budgets.js";
import type { CallHead } from "../call.js";
import type { Fingerprints } from "../crashes/fingerprint.js";
import type { UnsentAnswer } from "../entry/unsentAnswer.js";
import { ChunkedBytes } from "../memory/chunkedBytes.js";
import type { ForwardedCaller } from "../protocol.js";
import type { CallPermit } from "../quotas/callPermit.js";
import type { Route, Service } from "../routes.js";
import type { HeldConversation } from "../turns/heldConversation.js";
import type { UpstreamEntry } from "../upstreams/upstreamEntry.js";
import type { Workspace } from "../workspaces.js";

/**
 * Fields that are logged when a call has ended. `sentMs` and `firstMs` are times since the headers arrived;
 * `historyMs`, `budgetMs` and `savedMs` are durations.
 */
export interface CallTrace {
    request?: string;
    program?: string;
    turnOf?: string;
    /** Version of the configuration that the route was taken from. */
    config?: number;
    workspace?: string;
    /** The earlier of the caller's deadline and the route's timeout, in milliseconds since the headers arrived. */
    limitMs?: number;
    route?: string;
    service?: string;
    /** Id of the last upstream that the call was sent to, and its build. */
    upstream?: string;
    build?: string;
    /** Id of the call that began the stream which this call asks to go on with. */
    resumes?: string;
    attempts?: number;
    /** Id of the upstream that a second copy of the call was sent to; `upstream` is the one whose answer the caller got. */
    hedged?: string;
    /** Number of times that a chosen upstream was at the limit that it names. */
    permitsRefused?: number;
    /** Time for which the call waited for its first permit under the quota, beyond what it had to wait for anyway. */
    quotaMs?: number;
    historyMs?: number;
    budgetMs?: number;
    sentMs?: number;
    /** Time for which a call waited for room before it was refused for lack of it. */
    queuedMs?: number;
    /** Time that such a call was expected to wait. */
    expectedWaitMs?: number;
    /** Number of calls that waited for the service when such a call was refused. */
    waiting?: number;
    /** Share of the workspace's calls that got room lately, relative to that of all calls, when such a call was refused. */
    share?: number;
    firstMs?: number;
    savedMs?: number;
    /** Number of tokens sent to the caller. */
    tokens?: number;
    status?: number;
    error?: string;
    verdict?: string;
    detail?: string;
}

/** Restricts a call to some of the upstreams of its service. */
export interface CandidateRule {
    accepts(entry: UpstreamEntry): boolean;
    /** Set if few upstreams may be accepted, so that other calls must not wait behind the call; calls of one name wait together. */
    readonly lane: string | undefined;
}

/** A call that passes through the filter chain. */
export interface CallContext {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly head: CallHead;
    /** Id of this attempt of the caller. */
    readonly id: string;
    readonly route: Route;
    /** Drawn among the targets of the route, or that of the stream which the call takes up. */
    service: Service;
    /** Undefined if the configuration has no workspaces, or if the caller needs none on this route. */
    readonly workspace: Workspace | undefined;
    /** What upstreams are told of the caller. */
    readonly caller: ForwardedCaller | undefined;
    /** Priority of the workspace, or else of the route; 0 is the highest. */
    readonly priority: number;
    /** Monotonic time at which the call's headers had arrived. */
    readonly arrivedAt: number;
    /** Aborted at the caller's deadline or the route's timeout, or when the caller disconnects. */
    readonly progress: Progress;
    body: ChunkedBytes;
    /** Reads the whole body, within the bounds on input. */
    readBody(): Promise<ChunkedBytes>;
    /** Counts what the caller has not read of the response. */
    readonly unsent: UnsentAnswer;
    conversation: HeldConversation | undefined;
    /** What the caller of a turn has of the stream that the call takes up; undefined if the call begins its stream. */
    beginning?: Beginning | undefined;
    reservation: Reservation | undefined;
    /** Undefined if the call counts towards no quota. */
    permit: CallPermit | undefined;
    /** Upstreams that the call may be sent to; undefined for all of its service. */
    candidates: CandidateRule | undefined;
    /** The route with all services at which its streams may have begun; undefined if these are its targets. */
    streamRoute?: Route | undefined;
    readonly trace: CallTrace;
    /** Throws if the caller has closed the connection. To be used before anything is sent to an upstream. */
    checkCaller(): void;
    /** Recognize the call if its caller sends it again. To be used only once the body has been read. */
    fingerprints(): Fingerprints;
}

/** What decides where a call goes; also known of a call that is only described, for which there is no request. */
export type CallDescription = Pick<
    CallContext,
    "head" | "id" | "route" | "service" | "workspace" | "priority" | "progress" | "body" | "candidates"
>;

/** Whether the call is a turn that is kept once it has been answered whole. */
export const keepsTurn = ({ route, head }: Pick<CallContext, "route" | "head">): boolean =>
    route.turnRetentionMs > 0 && head.program !== undefined;

/** Returns the body for the upstream: the history of the conversation, followed by the body of this call. */
export const outgoingBody = ({ conversation, body }: CallContext): ChunkedBytes =>
    conversation === undefined ? body : ChunkedBytes.of(conversation.history, body);
