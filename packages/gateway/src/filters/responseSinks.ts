/** Sinks that send the response to the caller, either buffered or as a stream. */
import type { StreamEvent } from "@marigolddrift/policy";
import type { ServerResponse } from "node:http";

import type { UnsentAnswer } from "../entry/unsentAnswer.js";
import type { ReplyHead } from "../protocol.js";
import type { ResponseSink } from "../upstreams/attempt.js";
import { EventCollector } from "../upstreams/eventCollector.js";
import type { OutputCollector } from "../upstreams/outputCollector.js";

/**
 * Size of what a caller has not read of a stream from which no more is read from the upstream. Large enough that only a caller
 * that has stopped reading is noticed.
 */
const maxUnsentBytes = 512 * 1024;

/** Buffers a response, which is sent only once it is complete. */
export class BufferedResponse implements ResponseSink {
    onLimit: ResponseSink["onLimit"] = () => {};
    onLeaving: ResponseSink["onLeaving"] = () => {};
    /** Called at the first data of a stream, or at the head of any other answer. */
    onFirstByte: () => void = () => {};
    onFull: ResponseSink["onFull"] = () => {};
    private head: ReplyHead | undefined;
    private readonly chunks: Buffer[] = [];
    receivedBytes = 0;

    get heldBytes(): number {
        return this.receivedBytes;
    }

    get status(): number | undefined {
        return this.head?.status;
    }

    /** Whether any of the body has arrived. */
    get hasData(): boolean {
        return this.chunks.length > 0;
    }

    /** The end of the connection ends the response to the caller, too, who must judge. */
    isWhole(): boolean {
        return true;
    }

    onHead(head: ReplyHead): void {
        this.head = head;
        this.chunks.length = 0;
        this.receivedBytes = 0;
        this.onFirstByte();
    }

    onData(chunk: Buffer): undefined {
        this.chunks.push(chunk);
        this.receivedBytes += chunk.length;
    }

    /** Sends the buffered response. */
    send(answer: UnsentAnswer): void {
        const { res } = answer;
        const { status, headers, endsWithConnection } = this.head!;
        if (hasBody(status) && endsWithConnection) {
            writeUnframedHead(res, this.head!);
        }
        else {
            const length = hasBody(status) ? ["Content-Length", String(this.receivedBytes)] : [];
            res.writeHead(status, [...headers, ...length]);
        }
        // Not joined, which would need the memory of the whole a second time.
        res.cork();
        this.chunks.forEach(chunk => res.write(chunk));
        res.end();
        answer.update();
    }
}

/**
 * Forwards a stream as it arrives, in chunks, so that its caller can tell when it is broken off, also if the upstream's stream
 * ends with its connection. An error that does so is passed on without chunks, since nothing in it tells whether it is whole. `end` must
 * be called once the stream is known to be complete.
 */
export class StreamedResponse implements ResponseSink {
    onLimit: ResponseSink["onLimit"] = () => {};
    onLeaving: ResponseSink["onLeaving"] = () => {};
    /** Called at the first data of a stream, or at the head of any other answer. */
    onFirstByte: () => void = () => {};
    /** Called at the first whole event, before anything is written; returns false if the caller gets another response. */
    claim: () => boolean = () => true;
    /** Returns why a successful stream may not begin; called until something of it has been passed on. */
    refuseToBegin: () => string | undefined = () => undefined;
    /** Called before the first data of a successful stream is passed on. */
    onBegun: () => void = () => {};
    /** Called when the first data of a successful stream is passed on. */
    onPassedOn: () => void = () => {};
    /** Called with the whole events of a successful stream before they are passed on; undefined if they are not needed. */
    onEvents: ((events: readonly StreamEvent[]) => void) | undefined;
    /** The data of all whole events; undefined if it is not needed. */
    output: OutputCollector | undefined;
    /** Whether nothing may be written before the response is claimed; a response without events is claimed at its end. */
    isRaced = false;
    onFull: ResponseSink["onFull"] = () => {};
    readonly events = new EventCollector(event => this.onEvent(event));
    private unreportedEvents: StreamEvent[] = [];
    private readonly unclaimed: Buffer[] = [];
    private unclaimedBytes = 0;
    private isClaimed = false;
    /** Monotonic time at which the first data was forwarded. */
    firstDataAt: number | undefined;
    receivedBytes = 0;
    private head: ReplyHead | undefined;
    private readonly res: ServerResponse;
    private isFull = false;

    constructor(private readonly answer: UnsentAnswer) {
        this.res = answer.res;
    }

    get status(): number | undefined {
        return this.head?.status;
    }

    /** Whether any of the body has arrived. */
    get hasData(): boolean {
        return this.firstDataAt !== undefined;
    }

    /** An error that is answered in place of the stream has no events. */
    isWhole(endedWithConnection: boolean): boolean {
        return !this.isSuccess || this.events.isWhole(endedWithConnection);
    }

    get heldBytes(): number {
        return (this.output?.bytes ?? 0) + this.events.pendingBytes + this.unclaimedBytes;
    }

    get isSuccess(): boolean {
        return this.head !== undefined && this.head.status < 300;
    }

    onHead(head: ReplyHead): void {
        this.head = head;
    }

    onData(chunk: Buffer): string | undefined {
        const refusal = this.isSuccess && !this.res.headersSent ? this.refuseToBegin() : undefined;
        if (refusal === undefined) {
            this.passOn(chunk);
        }
        return refusal;
    }

    private passOn(chunk: Buffer): void {
        if (this.firstDataAt === undefined) {
            this.onFirstByte();
            this.firstDataAt = performance.now();
        }
        this.receivedBytes += chunk.length;
        this.events.feed(chunk);
        if (this.isRaced && !this.isClaimed) {
            this.unclaimed.push(chunk);
            this.unclaimedBytes += chunk.length;
            this.isClaimed = this.isSuccess && this.events.count > 0 && this.claim();
            if (this.isClaimed) {
                this.writeUnclaimed();
            }
            return;
        }
        this.writeHead();
        this.reportEvents();
        this.res.write(chunk);
        this.answer.update();
        if (!this.isFull && this.res.writableLength > maxUnsentBytes) {
            this.isFull = true;
            this.onFull(true);
            this.res.once("drain", () => {
                this.isFull = false;
                this.onFull(false);
            });
        }
    }

    /** Ends the response as complete. */
    end(): void {
        this.writeHead();
        this.writeUnclaimed();
        this.res.end();
    }

    private writeUnclaimed(): void {
        this.writeHead();
        this.reportEvents();
        this.unclaimed.splice(0).forEach(chunk => this.res.write(chunk));
        this.unclaimedBytes = 0;
    }

    private onEvent(event: StreamEvent): void {
        this.output?.add(event.data);
        if (this.onEvents !== undefined) {
            this.unreportedEvents.push(event);
        }
    }

    private reportEvents(): void {
        const events = this.unreportedEvents;
        if (this.isSuccess && events.length > 0) {
            this.unreportedEvents = [];
            this.onEvents?.(events);
        }
    }

    private writeHead(): void {
        if (!this.res.headersSent && !this.res.destroyed) {
            const { status, headers, endsWithConnection } = this.head!;
            if (this.isSuccess) {
                this.onBegun();
                this.onPassedOn();
            }
            else if (endsWithConnection && hasBody(status)) {
                writeUnframedHead(this.res, this.head!);
                return;
            }
            this.res.writeHead(status, [...headers]);
        }
    }
}

const hasBody = (status: number): boolean => status !== 204 && status !== 304;

/**
 * Begins a response that ends with its connection, as the reply did: a length or chunks would tell the caller that it is
 * whole, but a connection that ends in order does not.
 */
const writeUnframedHead = (res: ServerResponse, { status, headers }: ReplyHead): void => {
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
    res.writeHead(status, [...headers, "Connection", "close"]);
};
