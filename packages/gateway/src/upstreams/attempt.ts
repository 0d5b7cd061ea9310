/** One attempt at a call on one upstream. */
import type { Progress } from "@marigolddrift/common";

import type { CallProtocol, ReplyHead } from "../protocol.js";
import { judgeReply } from "./replyCheck.js";
import type { OutgoingCall, ReplyListener, RunningCall } from "./upstreamConnections.js";
import type { Upstream } from "./upstreams.js";

/** How an attempt ended. */
export type AttemptEnd =
    | { readonly kind: "complete"; }
    /** The upstream did not run the call. */
    | { readonly kind: "notRun"; readonly detail: string; readonly unreachable: boolean; }
    /** The call may have run, and there is no whole answer. */
    | { readonly kind: "broken"; readonly detail: string; };

/** Takes an answer that was checked. */
export interface AnswerSink {
    onHead(head: ReplyHead): void;
    onData(chunk: Buffer): void;
}

/** Sends a call and passes its answer to a sink. */
export const attemptCall = (
    upstream: Upstream,
    call: OutgoingCall,
    callId: string,
    protocol: CallProtocol,
    sink: AnswerSink,
    progress: Progress,
): Promise<AttemptEnd> =>
    new Promise(resolve => {
        const running: { call?: RunningCall; } = {};
        const onAbort = (): void => running.call?.abort(progress.signal.reason as Error);
        const finish = (end: AttemptEnd): void => {
            progress.signal.removeEventListener("abort", onAbort);
            resolve(end);
        };
        running.call = upstream.connections.send(call, new AttemptListener(callId, protocol, sink, finish));
        progress.signal.addEventListener("abort", onAbort, { once: true });
        if (progress.signal.aborted) {
            onAbort();
        }
    });

class AttemptListener implements ReplyListener {
    private refusal: AttemptEnd | undefined;

    constructor(
        private readonly callId: string,
        private readonly protocol: CallProtocol,
        private readonly sink: AnswerSink,
        private readonly finish: (end: AttemptEnd) => void,
    ) {}

    onHead(status: number, rawHeaders: string[]): boolean {
        const head = this.protocol.readReply(status, rawHeaders);
        const meaning = judgeReply(head, this.callId);
        if (meaning === "answer") {
            this.sink.onHead(head);
            return true;
        }
        if (meaning === "notRun") {
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
