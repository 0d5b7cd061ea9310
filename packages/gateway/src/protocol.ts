/** How calls and replies are written on the wire; adapters implement it. */
import type { IncomingHttpHeaders } from "node:http";

import type { CallHead } from "./call.js";

/** What an instance adds to a call that it passes on. */
export interface ForwardedCall {
    /** Instance id of the only upstream that may run the call. */
    readonly upstream: string;
    /** Time left to the caller, in milliseconds. */
    readonly leftMs: number;
    /** Priority for a model engine, 0 first and 9 last; missing for plain services. */
    readonly enginePriority: number | undefined;
}

/** What the head of an upstream's reply says. */
export interface ReplyHead {
    readonly status: number;
    /** The call that the reply answers. */
    readonly callId: string | undefined;
    /** Whether the reply bears the upstream's signature. */
    readonly signed: boolean;
    /** Whether the upstream states that it did not run the call. */
    readonly notRun: boolean;
    /** Whether the status promises a caller that the call has not run. */
    readonly promisesNotRun: boolean;
    /** Headers for the caller, as names and values in turn. */
    readonly headers: readonly string[];
}

/** Translates between the wire and the product's types. */
export interface CallProtocol {
    readCall(headers: IncomingHttpHeaders): CallHead;
    /** Headers for the upstream, as names and values in turn. */
    forward(rawHeaders: readonly string[], call: ForwardedCall): string[];
    readReply(status: number, rawHeaders: readonly string[]): ReplyHead;
}
