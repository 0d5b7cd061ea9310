/** A single attempt to run a call on an upstream. */
import type { Progress } from "@marigolddrift/common";

import type { CallProtocol, ReplyHead } from "../protocol.js";
import { classifyReply } from "./classifyReply.js";
import type { HeldReply, ReplyMemory } from "./replyMemory.js";
import type { OutgoingCall, ReplyListener, RunningCall } from "./upstreamConnections.js";
import type { Upstream } from "./upstreams.js";

/** Who ended an attempt early: "here" is the caller, the deadline, a stop or a bound of this instance, and tells nothing of the upstream. */
export type EndedBy = "upstream" | "here";

/** How an attempt ended. */
export type AttemptResult =
    | { readonly kind: "complete"; }
    /** The upstream did not run the call. */
    | {
        readonly kind: "notRun";
        readonly detail: string;
        readonly endedBy: EndedBy;
        /** Whether the upstream could not be reached at all; only an end by the upstream shows that. */
        readonly unreachable: boolean;
    }
    /** The call may have run, and there is no complete reply. */
    | { readonly kind: "broken"; readonly detail: string; readonly endedBy: EndedBy; };

/** Receives a reply that has been found to belong to the call. */
export interface ResponseSink {
    /** Called for each reply to the call, also a refusal, with the limit that the upstream names in it, if any. */
    onLimit(requestsPerSecond: number | undefined): void;
    /** Called for a reply, also a refusal, in which the upstream says that it is about to stop. */
    onLeaving(): void;
    /** Set by the attempt: to be called when the caller does not read, and when it does again. */
    onFull: (isFull: boolean) => void;
    onHead(head: ReplyHead): void;
    /** Returns why nothing of the reply may be passed on; undefined once it has been. */
    onData(chunk: Buffer): string | undefined;
    /** Memory that the sink needs for what has arrived. */
    readonly heldBytes: number;
    /**
     * Whether the body that has arrived can be the whole one.
     *
     * @param endedWithConnection Whether nothing but the end of the connection tells that the body has ended.
     */
    isWhole(endedWithConnection: boolean): boolean;
}

/** Size from which the body of a reply is taken for endless: faulty upstreams may send bytes until the caller closes. */
const maxReplyBytes = 4 * 1024 * 1024;

/** Size and time within which the body of a refusal must end for its connection to be kept. */
const maxRefusalBytes = 64 * 1024;
const refusalBodyTimeoutMs = 500;

/** Status by which another process than the expected one refuses a call, after it has taken over the address. */
const misdirectedStatus = 421;

/** A call to send, and what its reply needs. */
export interface Attempt {
    readonly call: OutgoingCall;
    readonly protocol: CallProtocol;
    readonly sink: ResponseSink;
    readonly memory: ReplyMemory;
    /** Returns why the upstream may no longer get the call; asked just before it is sent. */
    refuseToSend(): string | undefined;
}

/** Sends a call to an upstream and writes the reply to a sink. */
export const attemptCall = (upstream: Upstream, attempt: Attempt, progress: Progress): Promise<AttemptResult> =>
    new Promise(resolve => {
        const active: { call?: RunningCall; } = {};
        const abort = (reason: Error): void => active.call?.abort(reason);
        const onAbort = (): void => {
            listener.onEndedHere();
            abort(progress.abortReason as Error);
        };
        let removeListener = (): void => {};
        const finish = (result: AttemptResult): void => {
            removeListener();
            resolve(result);
        };
        const pauses = new ReplyPauses(() => active.call);
        const listener = new AttemptListener(attempt, finish, abort, () => active.call?.markRefused(), pauses);
        attempt.sink.onFull = isFull => pauses.set("caller", isFull);
        active.call = upstream.connections.send(attempt.call, listener);
        removeListener = progress.onAbort(onAbort);
    });

/** Why a reply is not read: its caller does not read it, or there is too little memory. */
type PauseReason = "caller" | "memory";

/** Stops reading a reply for as long as there is a reason. */
class ReplyPauses {
    private readonly reasons = new Set<PauseReason>();

    constructor(private readonly getCall: () => RunningCall | undefined) {}

    set(reason: PauseReason, isPaused: boolean): void {
        const wasPaused = this.reasons.size > 0;
        if (isPaused) {
            this.reasons.add(reason);
        }
        else {
            this.reasons.delete(reason);
        }
        if (wasPaused !== this.reasons.size > 0) {
            const call = this.getCall();
            if (wasPaused) {
                call?.resume();
            }
            else {
                call?.pause();
            }
        }
    }
}

class AttemptListener implements ReplyListener {
    /** Set once the result is known although the reply goes on. */
    private result: AttemptResult | undefined;
    private bytes = 0;
    private endedBy: EndedBy = "upstream";
    private refusalTimer: NodeJS.Timeout | undefined;
    private readonly held: HeldReply;

    constructor(
        private readonly attempt: Attempt,
        private readonly finish: (result: AttemptResult) => void,
        private readonly abort: (reason: Error) => void,
        private readonly markRefused: () => void,
        private readonly pauses: ReplyPauses,
    ) {
        this.held = attempt.memory.hold(() => this.breakOff(), isPaused => this.pauses.set("memory", isPaused));
    }

    onStart(): Error | undefined {
        const refusal = this.attempt.refuseToSend();
        if (refusal === undefined) {
            return undefined;
        }
        this.onEndedHere();
        return new Error(refusal);
    }

    onHead(status: number, rawHeaders: string[]): boolean {
        const { call: { id: callId }, protocol, sink } = this.attempt;
        const head = protocol.parseReply(status, rawHeaders);
        const replyKind = classifyReply(head, callId);
        // Refusals of a call that did not reach the upstream itself may lack the limit that it names.
        const tellsLimit = replyKind === "answer" || (replyKind === "notRun" && head.requestsPerSecond !== undefined);
        if (head.callId === callId && tellsLimit) {
            sink.onLimit(head.requestsPerSecond);
        }
        const isOfUpstream = status !== misdirectedStatus && head.callId === callId;
        if (head.isLeaving && isOfUpstream) {
            sink.onLeaving();
        }
        if (replyKind === "answer") {
            sink.onHead(head);
            return true;
        }
        if (replyKind === "notRun") {
            this.onRefused(status);
            return true;
        }
        this.result = this.broken(`a reply with status ${status} that does not belong to the call`);
        return false;
    }

    onData(chunk: Buffer): boolean {
        this.bytes += chunk.length;
        if (this.result !== undefined) {
            return this.bytes <= maxRefusalBytes;
        }
        if (this.bytes > maxReplyBytes) {
            this.result = this.broken(`the reply is longer than ${maxReplyBytes} bytes`);
            return false;
        }
        this.held.add(chunk.length);
        if (this.result !== undefined) {
            return false;
        }
        const refusal = this.attempt.sink.onData(chunk);
        // What has been passed on is counted as unsent, for as long as the caller has not read it.
        this.held.resize(this.attempt.sink.heldBytes);
        if (refusal !== undefined) {
            this.onEndedHere();
            this.result = this.broken(refusal);
        }
        return refusal === undefined;
    }

    onEnd(endedWithConnection: boolean): void {
        this.end(
            this.result !== undefined || this.attempt.sink.isWhole(endedWithConnection) ?
                { kind: "complete" } :
                this.broken("the stream ended inside an event or before the first one"),
        );
    }

    onError(err: Error, sent: boolean): void {
        const { endedBy } = this;
        this.end(
            sent ?
                this.broken(err.message) :
                { kind: "notRun", detail: err.message, endedBy, unreachable: endedBy === "upstream" },
        );
    }

    /** Notes that what follows is not the upstream's doing. */
    onEndedHere(): void {
        this.endedBy = "here";
    }

    /** A refusal counts from its head on; its body is read only so that the connection can be used again. */
    private onRefused(status: number): void {
        this.markRefused();
        this.result = {
            kind: "notRun",
            detail: `the upstream refused with ${status}`,
            endedBy: "upstream",
            unreachable: status === misdirectedStatus,
        };
        this.refusalTimer = setTimeout(
            () => this.abort(new Error("the body of the refusal did not end")),
            refusalBodyTimeoutMs,
        );
        this.finish(this.result);
    }

    private breakOff(): void {
        this.onEndedHere();
        this.result = this.broken("the replies of all calls need too much memory");
        this.abort(new Error(this.result.detail));
    }

    private broken(detail: string): Extract<AttemptResult, { kind: "broken"; }> {
        return { kind: "broken", detail, endedBy: this.endedBy };
    }

    private end(result: AttemptResult): void {
        this.held.release();
        clearTimeout(this.refusalTimer);
        this.finish(this.result ?? result);
    }
}
