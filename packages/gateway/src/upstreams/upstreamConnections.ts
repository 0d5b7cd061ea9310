/** Keep-alive connections to an upstream, and the calls on them. */
import { isInterimStatus } from "@marigolddrift/common";
import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import { buildConnector, Pool } from "undici";
import type { Dispatcher as HttpDispatcher } from "undici";

import type { ChunkedBytes } from "../memory/chunkedBytes.js";
import { endsWithConnection, isRunTogether } from "./framing.js";
import { PieceJoiner } from "./pieceJoiner.js";
import { UpstreamConnection } from "./upstreamConnection.js";
import type { CarriedRequest, ConnectionOptions } from "./upstreamConnection.js";

/** Timeout for establishing a connection. */
const connectTimeoutMs = 400;

/** Time for which an idle connection is kept open if the upstream does not specify one. */
const defaultKeepAliveMs = 8_000;

/** Size up to which a body is written in one piece together with the head, which takes the least time. */
const joinedBodyBytes = 64 * 1024;

/** A call as it is sent to an upstream. */
export interface OutgoingCall {
    /** Id by which the upstream's replies name the call. */
    readonly id: string;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: ChunkedBytes | undefined;
    /** Called once the upstream has taken the whole body, but for a last piece in the buffer of its connection. */
    readonly onBodySent?: () => void;
}

/** Receives the parts of a reply as they arrive. */
export interface ReplyListener {
    /**
     * Called when a connection is free for the call, just before it is sent.
     *
     * @returns Why it may no longer be sent; undefined if it may.
     */
    onStart(): Error | undefined;
    /** Returns false to abort the reply. */
    onHead(status: number, rawHeaders: string[]): boolean;
    /** Returns false to abort the reply. */
    onData(chunk: Buffer): boolean;
    /**
     * The complete reply has arrived.
     *
     * @param endedWithConnection Whether nothing but the end of the connection tells so.
     */
    onEnd(endedWithConnection: boolean): void;
    /** @param sent Whether any part of the call may have reached the upstream. */
    onError(err: Error, sent: boolean): void;
}

/** A call in progress. */
export interface RunningCall {
    abort(reason: Error): void;
    /** Notes that the upstream has refused the call, which its connection does not carry again. */
    markRefused(): void;
    /** Stops reading the reply. */
    pause(): void;
    resume(): void;
}

/** How a connection ends: the upstream has closed it in order, or it failed. */
type SocketEnd = "closed" | "failed";

/** Set while the listeners of a socket's end or error event run. */
interface SocketEnding {
    now: SocketEnd | undefined;
}

/**
 * Creates a connector that records the end of a connection before the HTTP client handles it: the client treats what has
 * arrived as complete, also if the connection was reset, or closed before the announced length.
 */
const trackSocketEnds = (ending: SocketEnding, onUnreachable: () => void): buildConnector.connector => {
    const connect = buildConnector({ timeout: connectTimeoutMs });
    const mark = (end: SocketEnd): void => {
        ending.now = end;
        queueMicrotask(() => ending.now = undefined);
    };
    return (options, callback) =>
        connect(options, (...args) => {
            const [err, socket] = args;
            if (err !== null) {
                onUnreachable();
            }
            socket?.on("end", () => mark(isReset(socket) ? "failed" : "closed"));
            socket?.on("error", () => mark("failed"));
            callback(...args);
        });
};

/**
 * Whether a connection that has ended was reset. If the reset arrives together with data, as it does at a busy process, the
 * runtime reports an end in order; but only a reset takes the address of the other side away. It must not have been read before.
 */
const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;

/**
 * Calls back once all input that had arrived has been read. The end of an idle connection may have arrived while this process was
 * busy; a call that was written to it would count as one that may have run. The first callback may come before input is polled
 * for again, the second one comes after.
 */
const afterPendingInput = (callback: () => void): void => void setImmediate(() => setImmediate(callback));

/**
 * Returns the body and the headers for the HTTP client. A large body is written as the upstream reads it: what is written to a connection
 * that nobody reads stays in memory, and with it a copy of the whole if the body has been joined.
 */
const encodeBody = (
    { headers, body, onBodySent }: OutgoingCall,
): Pick<HttpDispatcher.DispatchOptions, "body" | "headers"> => {
    if (body === undefined || body.length <= joinedBodyBytes) {
        onBodySent?.();
        return { body: body?.toBuffer() ?? null, headers: headers as string[] };
    }
    return {
        // The client takes any iterable; its types name only streams.
        body: writtenChunks(body, onBodySent) as unknown as Readable,
        headers: [...headers, "content-length", String(body.length)],
    };
};

/** Yields the pieces of a body one after the other; the HTTP client asks for the next one when a connection takes more. */
const writtenChunks = function*({ chunks }: ChunkedBytes, onSent: () => void = () => {}): Iterable<Buffer> {
    yield* chunks;
    onSent();
};

/** A pool of connections, each of which carries one call at a time. */
export class UpstreamConnections {
    /** Called when a connection cannot be opened, also if the call that needed it has been given up meanwhile. */
    onUnreachable: () => void = () => {};
    /** Called when a connection is opened anew because of the calls that were refused on it. */
    onReopened: () => void = () => {};
    private readonly pool: Pool;
    private readonly socketEnding: SocketEnding = { now: undefined };

    /** @param maxConnections Number of connections; further calls wait for one of them, whatever becomes of the upstream. */
    constructor(readonly address: string, readonly maxConnections: number) {
        this.pool = new Pool(`http://${address}`, {
            connections: maxConnections,
            pipelining: 1,
            connect: trackSocketEnds(this.socketEnding, () => this.onUnreachable()),
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: defaultKeepAliveMs,
            keepAliveTimeoutThreshold: 1_000,
            factory: (origin, options) =>
                new UpstreamConnection(origin, {
                    ...options as Omit<ConnectionOptions, "onReopened">,
                    onReopened: () => this.onReopened(),
                }),
        });
    }

    send(call: OutgoingCall, listener: ReplyListener): RunningCall {
        const handler = new ReplyHandler(call.id, listener, this.socketEnding);
        const carried: CarriedRequest = {
            callId: call.id,
            onConnection: connection => handler.connection = connection,
            method: call.method,
            path: call.path,
            ...encodeBody(call),
        };
        const dispatch = (): void => void this.pool.dispatch(carried, handler);
        if (this.hasIdleConnection) {
            afterPendingInput(dispatch);
        }
        else {
            dispatch();
        }
        return handler;
    }

    /** Whether a call can be sent without a new connection. */
    get hasIdleConnection(): boolean {
        return this.pool.stats.free > 0;
    }

    /** Closes the connections after their calls have ended. */
    closeWhenIdle(): void {
        void this.pool.close().catch(() => {
            // The pool was already closed.
        });
    }

    close(): void {
        void this.pool.destroy().catch(() => {
            // The pool was already closed.
        });
    }
}

/** Forwards the HTTP client's callbacks to a {@link ReplyListener}, and signals the end or an error only once. */
class ReplyHandler implements HttpDispatcher.DispatchHandler, RunningCall {
    /** Undefined until there is a connection for the call. */
    connection: UpstreamConnection | undefined;
    private controller: HttpDispatcher.DispatchController | undefined;
    private abortReason: Error | undefined;
    private ended = false;
    private endsWithConnection = false;
    private readonly joiner = new PieceJoiner(piece => this.onPiece(piece));

    constructor(
        private readonly callId: string,
        private readonly listener: ReplyListener,
        private readonly socketEnding: Readonly<SocketEnding>,
    ) {}

    abort(reason: Error): void {
        this.abortReason ??= reason;
        this.controller?.abort(reason);
        if (this.controller === undefined) {
            this.endOnce(() => this.listener.onError(reason, false));
        }
    }

    markRefused(): void {
        this.connection?.markRefused(this.callId);
    }

    pause(): void {
        this.controller?.pause();
    }

    resume(): void {
        this.controller?.resume();
    }

    onRequestStart(controller: HttpDispatcher.DispatchController): void {
        this.abortReason ??= this.listener.onStart();
        if (this.abortReason !== undefined) {
            controller.abort(this.abortReason);
            return;
        }
        this.controller = controller;
    }

    onResponseStart(
        controller: HttpDispatcher.DispatchController,
        status: number,
        _: unknown,
        reason = "",
    ): void {
        const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
        const headers = raw.map(value => typeof value === "string" ? value : value.toString("latin1"));
        if (isRunTogether(reason, headers)) {
            this.abort(new Error("the head of a reply broke off, and another reply followed"));
            return;
        }
        const isInterim = isInterimStatus(status);
        if (isInterim && !endsWithConnection(headers)) {
            this.abort(new Error(`a reply with status ${status}, which ends none, has a length or chunks`));
            return;
        }
        if (isInterim) {
            return;
        }
        this.endsWithConnection = endsWithConnection(headers);
        if (!this.listener.onHead(status, headers)) {
            this.abort(new Error("the reply was refused by its listener"));
        }
    }

    onResponseData(_: HttpDispatcher.DispatchController, chunk: Buffer): void {
        if (!this.ended) {
            this.joiner.add(chunk);
        }
    }

    onResponseEnd(): void {
        this.joiner.flush();
        const end = this.socketEnding.now;
        const isTruncated = end === "failed" || (end === "closed" && !this.endsWithConnection);
        if (isTruncated) {
            this.endOnce(() => this.listener.onError(new Error("the connection ended before the reply did"), true));
            return;
        }
        this.endOnce(() => this.listener.onEnd(end === "closed"));
    }

    onResponseError(_: HttpDispatcher.DispatchController | undefined, err: Error): void {
        this.joiner.flush();
        this.endOnce(() => this.listener.onError(this.abortReason ?? err, this.controller !== undefined));
    }

    private onPiece(piece: Buffer): void {
        if (!this.ended && this.abortReason === undefined && !this.listener.onData(piece)) {
            this.abort(new Error("the reply was refused by its listener"));
        }
    }

    private endOnce(notify: () => void): void {
        if (!this.ended) {
            this.ended = true;
            notify();
        }
    }
}
