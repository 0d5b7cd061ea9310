/** Outgoing connection to one peer, for requests and control messages. */
import { asError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import { WebSocket } from "ws";

import type { AnswerEvent, OwnerRequest } from "../calls.js";
import { FrameCodec, maxFrameBytes } from "./frames.js";
import { createMac, createNonce, macEquals } from "./handshake.js";
import type { HandshakeKeys } from "./handshake.js";
import type { Identity } from "./identity.js";
import { protocolVersion } from "./messages.js";
import type { ControlRequest, PeerMessage } from "./messages.js";
import { NotOwnerError, PeerLostError } from "./peerErrors.js";
import type { TlsFiles } from "./tls.js";

const minBackoffMs = 100;
const maxBackoffMs = 2_000;
const handshakeTimeoutMs = 2_000;

/** A request whose response is not complete. */
interface PendingCall {
    onEvent(event: AnswerEvent): void;
    onLost(err: Error): void;
}

interface PendingControlRequest {
    resolve(value: unknown): void;
    reject(err: Error): void;
}

/** Connection events of a peer link. */
export interface PeerLinkEvents {
    onConnected(instance: string): void;
    /** @param refused Whether the connection was refused, so that nothing listens on the address. */
    onDisconnected(refused: boolean): void;
}

/** Maintains one connection to a peer and reconnects with exponential backoff when it is lost. */
export class PeerLink {
    /** Total bytes of control messages sent. */
    controlBytes = 0;
    private socket: WebSocket | undefined;
    private ready = false;
    private closed = false;
    private backoffMs = minBackoffMs;
    private attempt = 0;
    private retryTimer: NodeJS.Timeout | undefined;
    private nextId = 1;
    private outgoing = new FrameCodec();
    private readonly calls = new Map<number, PendingCall>();
    private readonly controlRequests = new Map<number, PendingControlRequest>();

    constructor(
        readonly address: string,
        private readonly identity: Identity,
        private readonly keys: HandshakeKeys,
        private readonly tls: TlsFiles | undefined,
        private readonly events: PeerLinkEvents,
        private readonly log: Logger,
    ) {
        this.connect();
    }

    get isReady(): boolean {
        return this.ready;
    }

    /** Sends a control message; drops it if the link is not ready. */
    send(message: PeerMessage): void {
        if (this.ready) {
            const bytes = this.outgoing.pack(message);
            this.controlBytes += bytes.length;
            this.socket!.send(bytes);
        }
    }

    /**
     * Sends a request and yields the events of its response.
     *
     * @throws NotOwnerError if the peer does not own the slot.
     * @throws PeerLostError if the link is not ready or the connection is lost before the response is complete.
     */
    async *call(request: OwnerRequest, progress: Progress): AsyncGenerator<AnswerEvent> {
        if (!this.ready) {
            throw new PeerLostError(this.address, false);
        }
        const id = this.nextId++;
        const queue = new EventQueue();
        this.calls.set(id, queue);
        let ended = false;
        try {
            this.socket!.send(this.outgoing.pack({ type: "call", id, leftMs: progress.leftMs, request }));
            while (!ended) {
                const event = await progress.race(queue.next());
                ended = event.kind === "end";
                yield event;
            }
        }
        finally {
            this.calls.delete(id);
            if (!ended) {
                this.send({ type: "cancel", id });
            }
        }
    }

    /** Sends a control request and returns its reply. */
    async ask(request: ControlRequest, progress: Progress): Promise<unknown> {
        if (!this.ready) {
            throw new PeerLostError(this.address, false);
        }
        const id = this.nextId++;
        try {
            const reply = new Promise<unknown>((resolve, reject) => this.controlRequests.set(id, { resolve, reject }));
            this.send({ type: "ask", id, ask: request });
            return await progress.race(reply);
        }
        finally {
            this.controlRequests.delete(id);
        }
    }

    close(): void {
        this.closed = true;
        clearTimeout(this.retryTimer);
        this.socket?.close();
        this.socket?.terminate();
    }

    private connect(): void {
        const scheme = this.tls === undefined ? "ws" : "wss";
        const socket = new WebSocket(`${scheme}://${this.address}/peer`, {
            maxPayload: maxFrameBytes,
            handshakeTimeout: handshakeTimeoutMs,
            perMessageDeflate: false,
            ...(this.tls?.clientOptions() ?? {}),
        });
        this.socket = socket;
        this.outgoing = new FrameCodec();
        const incoming = new FrameCodec();
        const key = this.attempt % 2 === 1 && this.keys.previousKey !== undefined ?
            this.keys.previousKey :
            this.keys.key;
        this.attempt += 1;
        const nonce = createNonce();
        let challenge = "";
        let refused = false;
        socket.on("message", (data: Buffer) => {
            try {
                const message = incoming.unpack(data);
                if (message.type === "challenge") {
                    challenge = message.nonce;
                    this.answerChallenge(message.version, challenge, nonce, key);
                }
                else if (message.type === "welcome") {
                    this.onWelcome(message, challenge, nonce, key);
                }
                else if (this.ready) {
                    this.onMessage(message);
                }
            }
            catch (err) {
                this.log.warn("peer frame refused", { peer: this.address, error: asError(err).message });
                socket.terminate();
            }
        });
        socket.on("error", err => {
            refused ||= (err as { code?: string; }).code === "ECONNREFUSED";
        });
        socket.on("close", () => this.onClose(refused));
    }

    private answerChallenge(version: number, challenge: string, nonce: string, key: string): void {
        if (version !== protocolVersion) {
            throw new Error(
                `the peer uses protocol version ${version}; this instance requires version ${protocolVersion}`,
            );
        }
        const mac = createMac(key, "connecting", challenge, nonce, this.identity.instance);
        this.socket!.send(
            this.outgoing.pack({ type: "hello", version: protocolVersion, ...this.identity, nonce, mac }),
        );
    }

    private onWelcome(
        message: { instance: string; mac: string; },
        challenge: string,
        nonce: string,
        key: string,
    ): void {
        if (!macEquals(createMac(key, "accepting", challenge, nonce, message.instance), message.mac)) {
            throw new Error("peer authentication failed: the proof does not match the shared key");
        }
        this.ready = true;
        this.backoffMs = minBackoffMs;
        this.attempt = 0;
        this.events.onConnected(message.instance);
    }

    private onMessage(message: PeerMessage): void {
        if (message.type === "event") {
            this.calls.get(message.id)?.onEvent(message.event);
        }
        else if (message.type === "notOwner") {
            this.calls.get(message.id)?.onLost(new NotOwnerError(-1, message.owner));
        }
        else if (message.type === "reply") {
            this.controlRequests.get(message.id)?.resolve(message.value);
        }
    }

    private onClose(refused: boolean): void {
        this.ready = false;
        const err = new PeerLostError(this.address, true);
        [...this.calls.values()].forEach(call => call.onLost(err));
        [...this.controlRequests.values()].forEach(request => request.reject(err));
        if (this.closed) {
            return;
        }
        this.events.onDisconnected(refused);
        this.retryTimer = setTimeout(() => this.connect(), this.backoffMs);
        this.retryTimer.unref();
        this.backoffMs = Math.min(maxBackoffMs, this.backoffMs * 2);
    }
}

/** Queue of received events; after the last event, `next` throws the error that ended the call, if any. */
class EventQueue implements PendingCall {
    private readonly events: AnswerEvent[] = [];
    private error: Error | undefined;
    private wakeReader: (() => void) | undefined;

    onEvent(event: AnswerEvent): void {
        this.events.push(event);
        this.wakeReader?.();
    }

    onLost(err: Error): void {
        this.error = err;
        this.wakeReader?.();
    }

    async next(): Promise<AnswerEvent> {
        while (this.events.length === 0) {
            if (this.error !== undefined) {
                throw this.error;
            }
            await new Promise<void>(resolve => this.wakeReader = resolve);
        }
        return this.events.shift()!;
    }
}
