/** Encoding of calls and replies on the wire; implemented by adapters. */
import type { IncomingHttpHeaders } from "node:http";

import type { CallHead } from "./call.js";

/** The caller's identity as an upstream is told, in place of the API key and of what the caller says itself. */
export interface ForwardedCaller {
    /** Undefined for a caller without an API key, on a route that needs none. */
    readonly workspace: string | undefined;
}

/** Metadata that an instance adds to a call that it forwards. */
export interface ForwardedCall {
    /** Id of the upstream process that the call is meant for; no other process may run it. */
    readonly upstream: string;
    /** Time left until the call's deadline. */
    readonly leftMs: number;
    /** What the upstream is told of the caller; undefined if the configuration has no workspaces. */
    readonly caller: ForwardedCaller | undefined;
    /** Priority for a model engine, from 0 (highest) to 9 (lowest); missing for plain services. */
    readonly enginePriority: number | undefined;
}

/** The decoded status and headers of an upstream's reply. */
export interface ReplyHead {
    readonly status: number;
    /** Id of the call that the reply answers; missing if the reply does not name one. */
    readonly callId: string | undefined;
    /** Whether the reply carries the upstream's signature. */
    readonly signed: boolean;
    /** Whether the upstream states explicitly that it did not run the call. */
    readonly notRun: boolean;
    /** Whether the status alone promises a caller that the call has not run. */
    readonly promisesNotRun: boolean;
    /** Whether the upstream says that it is about to stop. */
    readonly isLeaving: boolean;
    /** Requests a second that the upstream takes from all instances together; missing if it does not limit them. */
    readonly requestsPerSecond: number | undefined;
    /** Whether the reply has neither a length nor chunks, so that only its caller can tell whether it is whole. */
    readonly endsWithConnection: boolean;
    /** Headers for the caller, as alternating names and values. */
    readonly headers: readonly string[];
}

/** Translates between the wire format and the gateway's types. */
export interface CallProtocol {
    parseCall(headers: IncomingHttpHeaders): CallHead;
    /** Returns the caller's API key. It is not a part of the head, which outlives the look-up and may be logged. */
    readApiKey(headers: IncomingHttpHeaders): string | undefined;
    /** Returns the headers for the upstream, as alternating names and values. */
    buildUpstreamHeaders(rawHeaders: readonly string[], call: ForwardedCall): string[];
    parseReply(status: number, rawHeaders: readonly string[]): ReplyHead;
}
