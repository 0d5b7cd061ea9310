/** One keep-alive connection to an upstream, which never carries a call again that was refused on it. */
import type { Socket } from "node:net";
import { Client } from "undici";
import type { buildConnector, Dispatcher as HttpDispatcher } from "undici";

/**
 * Number of refused calls that a connection remembers. It is opened anew after that many, rather than forget one of them, so that
 * the memory of all connections stays small in an overload.
 */
const maxRefusedCalls = 64;

/** A request whose call is known to the connection that carries it. */
export interface CarriedRequest extends HttpDispatcher.DispatchOptions {
    readonly callId: string;
    /** Called with the connection that carries the request, before it is sent. */
    readonly onConnection: (connection: UpstreamConnection) => void;
}

/** Settings of an {@link UpstreamConnection}. */
export interface ConnectionOptions extends Client.Options {
    readonly connect: buildConnector.connector;
    /** Called when the connection is opened anew because of the calls that were refused on it. */
    readonly onReopened: () => void;
}

/** The open socket of a connection, and the calls that were refused on it. */
class CarryingSocket {
    private socket: Socket | undefined;
    private readonly refusedCalls = new Set<string>();

    markRefused(callId: string): void {
        this.refusedCalls.add(callId);
    }

    mayCarry(callId: string): boolean {
        return !this.refusedCalls.has(callId) && this.refusedCalls.size < maxRefusedCalls;
    }

    close(): void {
        this.refusedCalls.clear();
        this.socket?.destroy();
    }

    /** Wraps a connector, so that the socket that it opens takes the place of the former one. */
    track(connect: buildConnector.connector): buildConnector.connector {
        return (options, callback) =>
            connect(options, (...args) => {
                this.refusedCalls.clear();
                this.socket = args[1] ?? undefined;
                callback(...args);
            });
    }
}

/**
 * A connection of a pool. Load pattern: a faulty upstream sends a second, late copy of a refusal, while the refused call returns to it
 * with the same id. Nothing but the connection tells which of the two sends the copy answers.
 */
export class UpstreamConnection extends Client {
    private readonly onReopened: () => void;

    constructor(
        origin: URL,
        { connect, onReopened, ...options }: ConnectionOptions,
        private readonly carrying = new CarryingSocket(),
    ) {
        super(origin, { ...options, connect: carrying.track(connect) });
        this.onReopened = onReopened;
    }

    /** Notes that the upstream has refused a call on this connection. */
    markRefused(callId: string): void {
        this.carrying.markRefused(callId);
    }

    /** Sends a request, on a new socket if its call was refused on this one. Called while the connection is idle. */
    override dispatch(options: HttpDispatcher.DispatchOptions, handler: HttpDispatcher.DispatchHandler): boolean {
        const { callId, onConnection } = options as CarriedRequest;
        if (!this.carrying.mayCarry(callId)) {
            this.carrying.close();
            this.onReopened();
        }
        onConnection(this);
        return super.dispatch(options, handler);
    }
}
