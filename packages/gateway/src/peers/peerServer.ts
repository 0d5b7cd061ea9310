/** Server for the requests of peers. */
import { asError, openPort, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { HistoryGoneError } from "@marigolddrift/store";
import { Packr } from "msgpackr";
import { timingSafeEqual } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import { WebSocketServer } from "ws";
import type { WebSocket } from "ws";

import type { BufferCollector } from "../memory/bufferCollector.js";
import type { MemoryShares } from "../memory/memoryShares.js";
import { PeerInput } from "./peerInput.js";
import type { JournalRequest, PeerRequest, RequestFrame, ResponseFrame } from "./peerMessages.js";

const maxFrameBytes = 4 * 1024 * 1024;

/** Size of all requests that are being handled, and of responses that have not been read, from which no more are read. */
const defaultMaxInputBytes = 2 * maxFrameBytes;

/** Handles a request. An error that it throws is sent as a failed response. */
export type RequestHandler = (request: PeerRequest | JournalRequest, progress: Progress) => Promise<unknown>;

/** The bound on what peers send and do not read, and what observes it. */
export interface PeerMemory {
    readonly shares: Pick<MemoryShares, "peerBytes">;
    readonly collector: Pick<BufferCollector, "onAllocated">;
}

/** Accepts WebSocket connections from peers that have the shared key. */
export class PeerServer {
    private readonly packr = new Packr({ useRecords: false });
    private readonly http = createServer();
    private isDisconnected = false;
    private readonly input: PeerInput;
    private readonly server = new WebSocketServer({
        server: this.http,
        path: "/peer",
        maxPayload: maxFrameBytes,
        perMessageDeflate: false,
        verifyClient: ({ req }: { req: IncomingMessage; }) => this.mayConnect(req),
    });

    constructor(
        private readonly getKey: () => string | undefined,
        private readonly handleRequest: RequestHandler,
        private readonly log: Logger,
        private readonly memory?: PeerMemory,
    ) {
        this.input = new PeerInput(memory?.shares.peerBytes ?? defaultMaxInputBytes);
        this.server.on("connection", socket => this.onConnection(socket));
        // The WebSocket server passes the errors of the HTTP server on, which are handled there.
        this.server.on("error", () => {});
    }

    /**
     * Opens the first of the ports that is free; waits while none is.
     *
     * @param signal Ends the wait.
     */
    listen(host: string, ports: readonly number[], signal?: AbortSignal): Promise<number> {
        return openPort(this.http, { name: "peers", host, ports, log: this.log, signal });
    }

    /** Ends all connections and refuses new ones, but keeps the port. */
    disconnect(): void {
        this.isDisconnected = true;
        this.server.clients.forEach(client => client.terminate());
    }

    close(): void {
        this.disconnect();
        this.http.close();
        this.http.closeAllConnections();
    }

    private mayConnect(req: IncomingMessage): boolean {
        return !this.isDisconnected && this.isAuthorized(req);
    }

    private isAuthorized(req: IncomingMessage): boolean {
        const key = this.getKey();
        const sent = Buffer.from(req.headers.authorization ?? "");
        const expected = Buffer.from(`Bearer ${key ?? ""}`);
        const isAuthorized = key !== undefined && sent.length === expected.length && timingSafeEqual(sent, expected);
        if (!isAuthorized) {
            this.log.warn("peer connection refused", {
                from: req.socket.remoteAddress,
                reason: "missing or wrong shared key",
            });
        }
        return isAuthorized;
    }

    private onConnection(socket: WebSocket): void {
        socket.on("error", err => this.log.info("peer connection failed", { error: err.message }));
        socket.on("close", () => this.input.forget(socket));
        socket.on("message", (data: Buffer) => {
            const frame = this.readFrame(data);
            if (frame === undefined) {
                socket.terminate();
                return;
            }
            const release = this.input.add(socket, data.length);
            // With the frame that has arrived, what is made of it: an entry for the disk, or a call to the store.
            this.memory?.collector.onAllocated(2 * data.length);
            void this.respond(frame).then(response => this.send(socket, response)).finally(release);
        });
    }

    /** A response counts until it has been written: a peer that asks for many records may be slow to read them. */
    private send(socket: WebSocket, response: ResponseFrame): void {
        const data = this.packr.pack(response);
        this.memory?.collector.onAllocated(data.length);
        const release = this.input.add(socket, data.length);
        socket.send(data, release);
    }

    private readFrame(data: Buffer): RequestFrame | undefined {
        try {
            const frame = this.packr.unpack(data) as Partial<RequestFrame> | undefined;
            const isValid = typeof frame?.id === "number" && typeof frame.leftMs === "number" &&
                typeof frame.question === "object" && Boolean(frame.question);
            return isValid ? frame as RequestFrame : undefined;
        }
        catch (err) {
            this.log.warn("refused invalid peer frame", { error: asError(err).message });
            return undefined;
        }
    }

    private async respond({ id, leftMs, question }: RequestFrame): Promise<ResponseFrame> {
        const progress = new Progress(leftMs);
        try {
            return { id, value: await progress.race(this.handleRequest(question, progress)) };
        }
        catch (err) {
            const name = err instanceof HistoryGoneError ? "historyGone" : "failed";
            return { id, error: { name, detail: asError(err).message } };
        }
        finally {
            progress.dispose();
        }
    }
}
