/** Open connections from callers, with bounds on their number and on what arrives without a request. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

import type { HeldInput, InputMemory } from "./inputMemory.js";
import { ReadGate } from "./readGate.js";

/** Interval at which connections without a request are checked; the HTTP server's own check has 30 s and skips empty lines. */
const checkIntervalMs = 250;

/** Memory for each byte of a head that is still being parsed, as text and as buffers. */
const bytesPerHeadByte = 2;

/** Number of requests that may wait on a connection behind the one that is served. Beyond it the connection is not read. */
const maxWaiting = 8;

/** Number of requests that may be parsed on a connection before the first one has been answered. */
const maxUnsent = 64;

/** What the runtime needs for a request that waits, besides its head and body. */
const waitingBytes = 4 * 1024;

/** Why a connection without a request is refused. */
export type HeadRefusal = "late" | "tooLarge";

/** Limits that follow from the configuration. */
export interface HeadLimits {
    /** Time within which a head that has begun must be complete. */
    readonly timeoutMs: number;
    /** Bytes that may arrive without a request. */
    readonly maxBytes: number;
}

/** Settings and dependencies of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
    readonly memory: InputMemory;
    readonly maxConnections: number;
    limits(): HeadLimits;
    refuseHead(socket: Socket, refusal: HeadRefusal): void;
    /** A connection was closed since there are too many; `heldMs` is the time since it last had a request. */
    onTooMany(heldMs: number): void;
}

/** One connection from a caller. */
export class CallerConnection {
    /** Responses that have not been sent to their end: a refusal waits for these. */
    readonly unsent = new Set<ServerResponse>();
    /** Monotonic time since which the connection has had no request. */
    idleSince = performance.now();
    /** Set once the connection has been closed to free memory or to make room for others. */
    isRefused = false;
    /** Set once input has arrived that is not a valid request: the connection ends after the answers to those before. */
    isEnding = false;
    private readBytes = 0;
    private headSince: number | undefined;
    private readonly head: HeldInput;
    private readonly waiting: HeldInput;

    constructor(readonly socket: Socket, memory: InputMemory) {
        const refuse = (): void => {
            this.isRefused = true;
            socket.destroy();
        };
        this.head = memory.hold({ kind: "head", refuse });
        this.waiting = memory.hold({ kind: "pipelined", refuse });
    }

    /** A request has arrived. */
    enter(res: ServerResponse): void {
        this.unsent.add(res);
        this.headSince = undefined;
        this.head.resize(0);
        this.onWaitingChanged();
    }

    /** A response has been sent to its end, or its connection has ended. */
    leave(res: ServerResponse): void {
        this.unsent.delete(res);
        this.idleSince = performance.now();
        this.readBytes = this.socket.bytesRead;
        this.onWaitingChanged();
    }

    /** Whether a head has begun to arrive, or nothing has ever arrived. */
    get isWithoutRequest(): boolean {
        return this.unsent.size === 0 && (this.headSince !== undefined || this.readBytes === 0);
    }

    /** Whether all that the connection is used for is a body that has not arrived whole. */
    get isOnlyReading(): boolean {
        const [first] = this.unsent;
        return this.unsent.size === 1 && !first!.req.complete;
    }

    /** Whether no further request of the connection is to be parsed. */
    get isFull(): boolean {
        return this.socket.destroyed || this.unsent.size >= maxUnsent;
    }

    /** Returns why the connection is to be refused, if it is. */
    checkHead({ timeoutMs, maxBytes }: HeadLimits): HeadRefusal | undefined {
        const pendingBytes = this.socket.bytesRead - this.readBytes;
        if (this.unsent.size > 0 || pendingBytes === 0 || this.isEnding || !this.socket.writable) {
            return undefined;
        }
        const now = performance.now();
        this.headSince ??= now;
        this.head.resize(Math.min(pendingBytes, maxBytes) * bytesPerHeadByte);
        if (pendingBytes > maxBytes) {
            return "tooLarge";
        }
        return now - this.headSince > timeoutMs ? "late" : undefined;
    }

    release(): void {
        this.head.release();
        this.waiting.release();
    }

    private onWaitingChanged(): void {
        const count = Math.max(0, this.unsent.size - 1);
        this.waiting.resize(count * waitingBytes);
        ReadGate.of(this.socket).set(this, count > maxWaiting);
    }
}

/** Load pattern: callers that open connections and send no request, or one that never ends. */
export class CallerConnections {
    private readonly connections = new Map<Socket, CallerConnection>();
    private readonly timer = setInterval(() => this.check(), checkIntervalMs).unref();

    constructor(private readonly options: CallerConnectionsOptions) {}

    /** Number of open connections. */
    get size(): number {
        return this.connections.size;
    }

    get(socket: Socket): CallerConnection | undefined {
        return this.connections.get(socket);
    }

    /** Registers a new connection. If there are too many, the one that has had no request for the longest time is closed. */
    add(socket: Socket): void {
        const connection = new CallerConnection(socket, this.options.memory);
        this.connections.set(socket, connection);
        socket.on("close", () => {
            this.connections.delete(socket);
            connection.release();
        });
        if (this.connections.size > this.options.maxConnections) {
            const closed = this.findLeastUsed(connection) ?? connection;
            this.options.onTooMany(Math.round(performance.now() - closed.idleSince));
            closed.isRefused = true;
            this.connections.delete(closed.socket);
            closed.socket.destroy();
        }
    }

    close(): void {
        clearInterval(this.timer);
    }

    /**
     * Connections without a request come first, then idle ones, then those whose request has not arrived whole: none of these has
     * a call that may have run.
     */
    private findLeastUsed(newest: CallerConnection): CallerConnection | undefined {
        const others = [...this.connections.values()].filter(connection => connection !== newest);
        const groups = [
            others.filter(connection => connection.isWithoutRequest),
            others.filter(({ unsent }) => unsent.size === 0),
            others.filter(connection => connection.isOnlyReading),
        ];
        return groups.find(group => group.length > 0)?.reduce((oldest, other) =>
            other.idleSince < oldest.idleSince ? other : oldest
        );
    }

    private check(): void {
        const limits = this.options.limits();
        for (const connection of this.connections.values()) {
            const refusal = connection.checkHead(limits);
            if (refusal !== undefined) {
                this.options.refuseHead(connection.socket, refusal);
            }
        }
    }
}
