/** Kept connections to one upstream, and the calls on them. */
import { buildConnector, Pool } from "undici";
import type { Dispatcher as HttpDispatcher } from "undici";

/** Time to set up a connection, in milliseconds. */
const connectTimeoutMs = 400;

/** Time for which an idle connection is kept if the upstream does not say, in milliseconds. */
const idleMs = 8_000;

/** A call as it is sent. */
export interface OutgoingCall {
    readonly method: string;
    readonly path: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

/** Receives a reply piece by piece. */
export interface ReplyListener {
    /** Returns false to break the reply off. */
    onHead(status: number, rawHeaders: string[]): boolean;
    onData(chunk: Buffer): void;
    /** The whole reply has arrived. */
    onEnd(): void;
    /** @param sent Whether any of the call may have reached the upstream. */
    onError(err: Error, sent: boolean): void;
}

/** A call under way. */
export interface RunningCall {
    abort(reason: Error): void;
}

/** Whether the socket that is being handled right now ends, while its listeners run. */
interface SocketEnd {
    isEnding: boolean;
}

/**
 * Opens connections whose ends are known before the HTTP client sees them: it takes whatever has arrived of a reply that
 * is to end with its connection for the whole reply, also after a crash of the upstream.
 */
const watchEnds = (end: SocketEnd): buildConnector.connector => {
    const connect = buildConnector({ timeout: connectTimeoutMs });
    const mark = (): void => {
        end.isEnding = true;
        queueMicrotask(() => end.isEnding = false);
    };
    return (options, callback) =>
        connect(options, (...args) => {
            args[1]?.on("end", mark);
            args[1]?.on("error", mark);
            callback(...args);
        });
};

/** A pool of connections that carry one call at a time each. */
export class UpstreamConnections {
    private readonly pool: Pool;
    private readonly socketEnd: SocketEnd = { isEnding: false };

    constructor(readonly address: string, connections: number) {
        this.pool = new Pool(`http://${address}`, {
            connections,
            pipelining: 1,
            connect: watchEnds(this.socketEnd),
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: idleMs,
            keepAliveTimeoutThreshold: 1_000,
        });
    }

    send(call: OutgoingCall, listener: ReplyListener): RunningCall {
        const handler = new ReplyHandler(listener, this.socketEnd);
        this.pool.dispatch({
            method: call.method,
            path: call.path,
            headers: call.headers as string[],
            body: call.body ?? null,
        }, handler);
        return handler;
    }

    /** Closes the connections once their calls have ended. */
    closeWhenIdle(): void {
        void this.pool.close().catch(() => {
            // It was closed before; there is nothing left to close.
        });
    }

    close(): void {
        void this.pool.destroy().catch(() => {
            // It was closed before; there is nothing left to close.
        });
    }
}

/** Turns the client's callbacks into those of a {@link ReplyListener}, each end at most once. */
class ReplyHandler implements HttpDispatcher.DispatchHandler, RunningCall {
    private controller: HttpDispatcher.DispatchController | undefined;
    private abortReason: Error | undefined;
    private ended = false;

    constructor(private readonly listener: ReplyListener, private readonly socketEnd: Readonly<SocketEnd>) {}

    abort(reason: Error): void {
        this.abortReason ??= reason;
        this.controller?.abort(reason);
        if (this.controller === undefined) {
            this.end(() => this.listener.onError(reason, false));
        }
    }

    onRequestStart(controller: HttpDispatcher.DispatchController): void {
        if (this.abortReason !== undefined) {
            controller.abort(this.abortReason);
            return;
        }
        this.controller = controller;
    }

    onResponseStart(controller: HttpDispatcher.DispatchController, status: number): void {
        if (status < 200) {
            return;
        }
        const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
        const headers = raw.map(value => typeof value === "string" ? value : value.toString("latin1"));
        if (!this.listener.onHead(status, headers)) {
            this.abort(new Error("the reply was refused"));
        }
    }

    onResponseData(_: HttpDispatcher.DispatchController, chunk: Buffer): void {
        if (!this.ended) {
            this.listener.onData(chunk);
        }
    }

    /** A reply that shows its end only by its connection's cannot be told from one that a crash cut off. */
    onResponseEnd(): void {
        if (this.socketEnd.isEnding) {
            this.end(() => this.listener.onError(new Error("the connection ended before the reply did"), true));
            return;
        }
        this.end(() => this.listener.onEnd());
    }

    onResponseError(_: HttpDispatcher.DispatchController | undefined, err: Error): void {
        this.end(() => this.listener.onError(this.abortReason ?? err, this.controller !== undefined));
    }

    private end(action: () => void): void {
        if (!this.ended) {
            this.ended = true;
            action();
        }
    }
}
