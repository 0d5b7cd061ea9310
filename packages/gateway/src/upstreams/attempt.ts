/** A single attempt to run a call on an upstream. */
import type { Progress } from "@marigolddrift/common";

import type { CallProtocol, ReplyHead } from "../protocol.js";
import { classifyReply } from "./classifyReply.js";
import type { OutgoingCall, ReplyListener, RunningCall } from "./upstreamConnections.js";
import type { Upstream } from "./upstreams.js";

/** How an attempt ended. */
export type AttemptResult =
    | { readonly kind: "complete"; }
    /** The upstream did not run the call. */
    | { readonly kind: "notRun"; readonly detail: string; readonly unreachable: boolean; }
    /** The call may have run, and there is no complete reply. */
    | { readonly kind: "broken"; readonly detail: string; };

/** Receives a reply that has been found to belong to the call. */
export interface ResponseSink {
    onHead(head: ReplyHead): void;
    onData(chunk: Buffer): void;
}

/** Sends a call to an upstream and writes the reply to a sink. */
export const attemptCall = (
    upstream: Upstream,
    call: OutgoingCall,
    callId: string,
    protocol: CallProtocol,
    sink: ResponseSink,
    progress: Progress,
): Promise<AttemptResult> =>
    new Promise(resolve => {
        const active: { call?: RunningCall; } = {};
        const onAbort = (): void => active.call?.abort(progress.signal.reason as Error);
        const finish = (result: AttemptResult): void => {
            progress.signal.removeEventListener("abort", onAbort);
            resolve(result);
        };
        active.call = upstream.connections.send(call, new AttemptListener(callId, protocol, sink, finish));
        progress.signal.addEventListener("abort", onAbort, { once: true });
        if (progress.signal.aborted) {
            onAbort();
        }
    });

class AttemptListener implements ReplyListener {
    private refusal: AttemptResult | undefined;

    constructor(
        private readonly callId: string,
        private readonly protocol: CallProtocol,
        private readonly sink: ResponseSink,
        private readonly finish: (result: AttemptResult) => void,
    ) {}

    onHead(status: number, rawHeaders: string[]): boolean {
        const head = this.protocol.parseReply(status, rawHeaders);
        const replyKind = classifyReply(head, this.callId);
        if (replyKind === "answer") {
            this.sink.onHead(head);
            return true;
        }
        if (replyKind === "notRun") {
            this.refusal = {
                kind: "notRun",
                detail: `the upstream refused with ${status}`,
                unreachable: status === 421,
            };
            return true;
        }
        this.refusal = { kind: "broken", detail: `a reply with status ${status} that does not belong to the call` };
        return false;
    }

    onData(chunk: Buffer): void {
        if (this.refusal === undefined) {
            this.sink.onData(chunk);
        }
    }

    onEnd(): void {
        this.finish(this.refusal ?? { kind: "complete" });
    }

    onError(err: Error, sent: boolean): void {
        if (this.refusal !== undefined) {
            this.finish(this.refusal);
        }
        else if (sent) {
            this.finish({ kind: "broken", detail: err.message });
        }
        else {
            this.finish({ kind: "notRun", detail: err.message, unreachable: true });
        }
    }
}
