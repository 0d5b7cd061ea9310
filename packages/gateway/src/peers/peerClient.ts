/** Requests to one peer over a WebSocket connection, which is opened on first use. */
import { asError, isDeadlineExceeded, Progress } from "@marigolddrift/common";
import { LatencyEstimate } from "@marigolddrift/policy";
import { HistoryGoneError, StoreError } from "@marigolddrift/store";
import { Packr } from "msgpackr";
import { WebSocket } from "ws";

import type { Exchange } from "../trafficMeter.js";
import { peerName } from "./peerMessages.js";
import type { JournalRequest, PeerAddress, PeerRequest, PeerResponses, ResponseFrame } from "./peerMessages.js";

/** Timeout of the handshake. Longer than requests wait for it, because a busy process is slow to accept connections. */
const handshakeTimeoutMs = 2_000;

/** Backoff after the first failure; doubles with each consecutive failure. */
const initialBackoffMs = 1_000;

/** Upper limit of the backoff. */
const maxBackoffMs = 16_000;

/** Time for which a peer is not used as a relay after its store call failed. */
const relayBackoffMs = 2_000;

/** Shortest wait without a response after which the peer is suspected to be dead. */
const minSilenceMs = 150;

type AnyRequest = PeerRequest | JournalRequest;

/** Records an exchange with one peer, whose link is known. */
export type PeerTrafficRecorder = (exchange: Omit<Exchange, "link">) => void;

interface PendingRequest {
    /** Size of the response; 0 until it has arrived. */
    receivedBytes: number;
    resolve(value: unknown): void;
    reject(err: Error): void;
}

/** A connection to one peer. */
export class PeerClient {
    private readonly packr = new Packr({ useRecords: false });
    private readonly pending = new Map<number, PendingRequest>();
    private readonly latencies = new Map<AnyRequest["kind"], LatencyEstimate>();
    private socket: WebSocket | undefined;
    private connecting: Promise<WebSocket> | undefined;
    private nextId = 1;
    private failures = 0;
    private usableFrom = -Infinity;
    private relayUsableFrom = -Infinity;
    /** Monotonic time at which the last frame was received from the peer. */
    private lastFrameAt = -Infinity;

    constructor(
        readonly address: PeerAddress,
        private readonly getKey: () => string | undefined,
        private readonly recordTraffic: PeerTrafficRecorder = () => {},
    ) {}

    /** Whether requests may be sent to the peer, that is, it is not in backoff. */
    get isUsable(): boolean {
        return performance.now() >= this.usableFrom;
    }

    /** Whether store calls may be relayed through the peer; the store may reject calls of the peer, too. */
    get mayRelay(): boolean {
        return this.isUsable && performance.now() >= this.relayUsableFrom;
    }

    /** Suspends the peer as a relay after a relayed store call failed. */
    onRelayFailed(): void {
        this.relayUsableFrom = performance.now() + relayBackoffMs;
    }

    /** Host and port, which are stable across restarts of the peer. */
    get name(): string {
        return peerName(this.address);
    }

    /** Opens the connection before a request needs it. Does not reject: a failure only starts the backoff. */
    async preconnect(): Promise<void> {
        await this.connect().catch(() => {
            // `onFailure` has started the backoff; the next request that needs the peer logs the error.
        });
    }

    /** Whether a connection is open. */
    get isConnected(): boolean {
        return this.socket?.readyState === WebSocket.OPEN;
    }

    get isConnecting(): boolean {
        return this.connecting !== undefined;
    }

    /** Time after which a response to a request of this kind is later than usual; at least `minMs`. */
    hedgeDelayMs(kind: AnyRequest["kind"], minMs: number): number {
        return this.latencies.get(kind)?.hedgeDelayMs(minMs) ?? minMs;
    }

    /** Sends a notification with its own timeout, for callers that do not wait for the response. */
    async notify(request: AnyRequest, timeoutMs: number): Promise<void> {
        const progress = new Progress(timeoutMs);
        try {
            await this.ask(request, progress);
        }
        finally {
            progress.dispose();
        }
    }

    /** Sends a request to the peer and waits for the response. @throws StoreError if there is none. */
    async ask<K extends AnyRequest["kind"]>(
        request: Extract<AnyRequest, { kind: K; }>,
        progress: Progress,
    ): Promise<PeerResponses[K]> {
        const id = this.nextId++;
        const startedAt = performance.now();
        let sentAt: number | undefined;
        let sentBytes = 0;
        let isAnswered = false;
        try {
            const socket = await progress.race(this.connect());
            const frame = this.packr.pack({ id, leftMs: progress.leftMs, question: request });
            sentBytes = frame.length;
            const response = new Promise<unknown>((resolve, reject) =>
                this.pending.set(id, { resolve, reject, receivedBytes: 0 })
            );
            socket.send(frame);
            sentAt = performance.now();
            const value = await progress.race(response) as PeerResponses[K];
            this.failures = 0;
            isAnswered = true;
            return value;
        }
        catch (err) {
            if (
                isDeadlineExceeded(progress.abortReason) && performance.now() - (sentAt ?? startedAt) >= minSilenceMs
            ) {
                this.onNoResponse(sentAt);
            }
            throw err;
        }
        finally {
            const receivedBytes = this.pending.get(id)?.receivedBytes ?? 0;
            this.recordExchange(request.kind, {
                sentBytes,
                receivedBytes,
                ms: isAnswered ? performance.now() - startedAt : undefined,
            });
            this.pending.delete(id);
        }
    }

    private recordExchange(kind: AnyRequest["kind"], exchange: Omit<Exchange, "link" | "kind">): void {
        this.recordTraffic({ ...exchange, kind });
        if (exchange.ms !== undefined) {
            const latency = this.latencies.get(kind) ?? new LatencyEstimate();
            this.latencies.set(kind, latency);
            latency.record(exchange.ms);
        }
    }

    close(): void {
        this.socket?.terminate();
    }

    /** Closes the connection unless a request waits for its response; the next request opens it again. */
    closeIfIdle(): void {
        if (this.pending.size === 0) {
            this.close();
        }
    }

    /**
     * Handles a request without a response. The connection may be dead without a reset, so it is closed and the next
     * request opens a new one. A peer that has sent another frame since the request is only slow, and a connection that
     * is still being opened is left to complete.
     *
     * @param sentAt Time at which the request was sent; undefined if there was no connection yet.
     */
    private onNoResponse(sentAt: number | undefined): void {
        if (sentAt === undefined) {
            this.usableFrom = performance.now() + initialBackoffMs;
        }
        else if (this.lastFrameAt < sentAt) {
            this.onFailure();
            this.socket?.terminate();
        }
    }

    private onFailure(): void {
        this.usableFrom = performance.now() + Math.min(maxBackoffMs, initialBackoffMs * 2 ** this.failures);
        this.failures += 1;
    }

    private connect(): Promise<WebSocket> {
        if (this.socket !== undefined && this.isConnected) {
            return Promise.resolve(this.socket);
        }
        this.connecting ??= this.open().finally(() => this.connecting = undefined);
        return this.connecting;
    }

    private async open(): Promise<WebSocket> {
        const socket = this.createSocket();
        return await new Promise((resolve, reject) => {
            socket.on("open", () => {
                this.socket = socket;
                this.usableFrom = -Infinity;
                resolve(socket);
            });
            socket.on("message", (data: Buffer) => this.onMessage(socket, data));
            socket.on("error", err => {
                this.onFailure();
                reject(this.unconnectedError(err));
            });
            socket.on("close", () => this.onClosed(socket));
        });
    }

    /** @throws StoreError if the address or the key is none, as in an entry or a value of another writer. */
    private createSocket(): WebSocket {
        const { host, port } = this.address;
        try {
            return new WebSocket(`ws://${host}:${port}/peer`, {
                handshakeTimeout: handshakeTimeoutMs,
                perMessageDeflate: false,
                headers: { authorization: `Bearer ${this.getKey() ?? ""}` },
            });
        }
        catch (err) {
            this.onFailure();
            throw this.unconnectedError(asError(err));
        }
    }

    private unconnectedError(err: Error): StoreError {
        return new StoreError("no", `cannot connect to peer ${this.address.instance}`, err);
    }

    /** What can't be decoded says nothing about any request: the connection ends, and with it the requests on it. */
    private onMessage(socket: WebSocket, data: Buffer): void {
        const frame = decodeResponse(this.packr, data);
        if (frame === undefined) {
            this.onFailure();
            this.rejectPending(`peer ${this.address.instance} sent a frame that cannot be decoded`);
            socket.terminate();
            return;
        }
        this.onResponse(frame, data.length);
    }

    private onResponse(frame: ResponseFrame, bytes: number): void {
        this.lastFrameAt = performance.now();
        const pending = this.pending.get(frame.id);
        if (pending !== undefined) {
            pending.receivedBytes = bytes;
        }
        if (frame.error === undefined) {
            pending?.resolve(frame.value);
            return;
        }
        const err = frame.error.name === "historyGone" ?
            new HistoryGoneError(0) :
            new StoreError("unknown", `peer ${this.address.instance}: ${frame.error.detail}`);
        pending?.reject(err);
    }

    private onClosed(socket: WebSocket): void {
        if (this.socket === socket) {
            this.socket = undefined;
        }
        this.rejectPending(`connection to peer ${this.address.instance} closed before the response`);
    }

    private rejectPending(reason: string): void {
        const err = new StoreError("unknown", reason);
        this.pending.forEach(pending => pending.reject(err));
    }
}

/** Returns undefined if the bytes are no response; a peer may run other code, or something else may have its address. */
const decodeResponse = (packr: Packr, data: Buffer): ResponseFrame | undefined => {
    try {
        const frame = packr.unpack(data) as Partial<ResponseFrame> | undefined;
        const isError = (error: unknown): boolean =>
            error === undefined || (typeof error === "object" && Boolean(error));
        return typeof frame?.id === "number" && isError(frame.error) ? frame as ResponseFrame : undefined;
    }
    catch {
        return undefined;
    }
};
