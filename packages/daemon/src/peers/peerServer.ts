/** Server for connections from peers. */
import { asError, openPort, Progress, toProblemError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { Server as TlsServer } from "node:https";
import { WebSocketServer } from "ws";
import type { WebSocket } from "ws";

import type { AnswerEvent, OwnerRequest } from "../calls.js";
import { FrameCodec, maxFrameBytes } from "./frames.js";
import { createMac, createNonce, findMatchingKey } from "./handshake.js";
import type { HandshakeKeys } from "./handshake.js";
import type { Identity } from "./identity.js";
import { protocolVersion } from "./messages.js";
import type { ControlRequest, Heartbeat, Hello, PeerMessage, UpstreamNotice } from "./messages.js";
import { NotOwnerError } from "./peerErrors.js";
import type { TlsFiles } from "./tls.js";

const handshakeTimeoutMs = 2_000;

/** Handlers for connections and messages from peers. */
export interface PeerHandlers {
    onHello(hello: Hello): void;
    onClosed(hello: Hello): void;
    onHeartbeat(hello: Hello, heartbeat: Heartbeat): void;
    onSlots(hello: Hello, version: number, owned: readonly number[]): void;
    onUpstreams(states: readonly UpstreamNotice[]): void;
    /** Yields the response to a request; throws NotOwnerError if this instance does not own the slot. */
    answer(request: OwnerRequest, progress: Progress): AsyncGenerator<AnswerEvent>;
    onControlRequest(request: ControlRequest, progress: Progress): Promise<unknown>;
}

const controlRequestTimeoutMs = 30_000;

/** Accepts and authenticates connections from peers on one port. */
export class PeerServer {
    private readonly server: Server | TlsServer;
    private readonly sockets: WebSocketServer;

    constructor(
        private readonly identity: Identity,
        private readonly keys: HandshakeKeys,
        private readonly tls: TlsFiles | undefined,
        private readonly handlers: PeerHandlers,
        private readonly log: Logger,
    ) {
        this.server = tls?.createServer() ?? createServer();
        this.sockets = new WebSocketServer({
            server: this.server,
            path: "/peer",
            maxPayload: maxFrameBytes,
            perMessageDeflate: false,
        });
        // The WebSocket server passes the errors of the HTTP server on, which are handled there.
        this.sockets.on("error", () => {});
        this.sockets.on("connection", socket => new PeerSession(socket, identity, keys, handlers, log));
    }

    listen(host: string, port: number): Promise<number> {
        return openPort(this.server, { name: "peers", host, ports: [port], log: this.log });
    }

    /** Reloads the certificate files; open connections are not affected. */
    reloadTls(): void {
        this.tls?.reload(this.server as TlsServer);
    }

    async close(): Promise<void> {
        this.sockets.clients.forEach(socket => socket.terminate());
        this.sockets.close();
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }
}

/** One accepted connection, which is authenticated before any other message is handled. */
class PeerSession {
    private hello: Hello | undefined;
    private readonly nonce = createNonce();
    private readonly incoming = new FrameCodec();
    private readonly outgoing = new FrameCodec();
    private readonly calls = new Map<number, Progress>();
    private readonly handshakeTimer: NodeJS.Timeout;

    constructor(
        private readonly socket: WebSocket,
        private readonly identity: Identity,
        private readonly keys: HandshakeKeys,
        private readonly handlers: PeerHandlers,
        private readonly log: Logger,
    ) {
        socket.on("message", (data: Buffer) => this.onFrame(data));
        socket.on("error", () => socket.terminate());
        socket.on("close", () => this.onClose());
        this.handshakeTimer = setTimeout(() => this.hello === undefined && socket.terminate(), handshakeTimeoutMs);
        this.handshakeTimer.unref();
        this.send({ type: "challenge", version: protocolVersion, nonce: this.nonce });
    }

    private onFrame(data: Buffer): void {
        try {
            const message = this.incoming.unpack(data);
            if (this.hello === undefined) {
                this.authenticate(message);
            }
            else {
                this.onMessage(this.hello, message);
            }
        }
        catch (err) {
            this.log.warn("peer refused", {
                peer: this.hello?.instance ?? "unauthenticated",
                error: asError(err).message,
            });
            this.socket.terminate();
        }
    }

    private authenticate(message: PeerMessage): void {
        if (message.type !== "hello" || message.version !== protocolVersion) {
            throw new Error("the first message is not a hello with the supported protocol version");
        }
        const computeMac = (key: string): string =>
            createMac(key, "connecting", this.nonce, message.nonce, message.instance);
        const key = findMatchingKey(this.keys, message.mac, computeMac);
        if (key === undefined) {
            throw new Error("peer authentication failed: the proof does not match the shared key");
        }
        this.hello = message;
        clearTimeout(this.handshakeTimer);
        const mac = createMac(key, "accepting", this.nonce, message.nonce, this.identity.instance);
        this.send({ type: "welcome", instance: this.identity.instance, mac });
        this.handlers.onHello(message);
    }

    private onMessage(hello: Hello, message: PeerMessage): void {
        if (message.type === "heartbeat") {
            this.handlers.onHeartbeat(hello, message);
        }
        else if (message.type === "slots") {
            this.handlers.onSlots(hello, message.version, message.owned);
        }
        else if (message.type === "upstreams") {
            this.handlers.onUpstreams(message.states);
        }
        else if (message.type === "call") {
            void this.onCall(message.id, message.leftMs, message.request);
        }
        else if (message.type === "cancel") {
            this.calls.get(message.id)?.abort(new Error("the peer cancelled the request"));
        }
        else if (message.type === "ask") {
            void this.onControlRequest(message.id, message.ask);
        }
        else {
            throw new Error(`a connecting peer must not send "${message.type}"`);
        }
    }

    private async onCall(id: number, leftMs: number, request: OwnerRequest): Promise<void> {
        const progress = new Progress(leftMs);
        this.calls.set(id, progress);
        try {
            for await (const event of this.handlers.answer(request, progress)) {
                this.send({ type: "event", id, event });
            }
        }
        catch (err) {
            this.onCallError(id, err);
        }
        finally {
            this.calls.delete(id);
            progress.dispose();
        }
    }

    private onCallError(id: number, err: unknown): void {
        if (err instanceof NotOwnerError) {
            this.send({ type: "notOwner", id, ...(err.owner === undefined ? {} : { owner: err.owner }) });
        }
        else if (this.calls.get(id)?.signal.aborted !== true) {
            const problem = toProblemError(err, "mayHaveRun");
            if (problem.code === "internal") {
                this.log.error("peer request failed", { error: problem.message });
            }
            this.send({ type: "event", id, event: { kind: "problem", problem: problem.toProblem() } });
            this.send({ type: "event", id, event: { kind: "end" } });
        }
    }

    private async onControlRequest(id: number, request: ControlRequest): Promise<void> {
        const progress = new Progress(controlRequestTimeoutMs);
        try {
            this.send({ type: "reply", id, value: await this.handlers.onControlRequest(request, progress) });
        }
        catch (err) {
            this.log.warn("peer question failed", { kind: request.kind, error: asError(err).message });
            this.send({ type: "reply", id, value: undefined });
        }
        finally {
            progress.dispose();
        }
    }

    private send(message: PeerMessage): void {
        if (this.socket.readyState === this.socket.OPEN) {
            this.socket.send(this.outgoing.pack(message));
        }
    }

    private onClose(): void {
        clearTimeout(this.handshakeTimer);
        this.calls.forEach(progress => progress.abort(new Error("the connection to the peer was lost")));
        if (this.hello !== undefined) {
            this.handlers.onClosed(this.hello);
        }
    }
}
