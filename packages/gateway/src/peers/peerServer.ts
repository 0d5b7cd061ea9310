/** Server for the requests of peers. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { HistoryGoneError } from "@marigolddrift/store";
import { Packr } from "msgpackr";
import { timingSafeEqual } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { WebSocketServer } from "ws";
import type { WebSocket } from "ws";

import { PeerInput } from "./peerInput.js";
import type { JournalRequest, PeerRequest, RequestFrame, ResponseFrame } from "./peerMessages.js";

const maxFrameBytes = 4 * 1024 * 1024;

/** Size of all requests that are being handled from which no more are read: two of the largest. */
const maxInputBytes = 2 * maxFrameBytes;

/** Handles a request. An error that it throws is sent as a failed response. */
export type RequestHandler = (request: PeerRequest | JournalRequest, progress: Progress) => Promise<unknown>;

/** Accepts WebSocket connections from peers that have the shared key. */
export class PeerServer {
    private readonly packr = new Packr({ useRecords: false });
    private readonly http = createServer();
    private readonly input = new PeerInput(maxInputBytes);
    private readonly server = new WebSocketServer({
        server: this.http,
        path: "/peer",
        maxPayload: maxFrameBytes,
        perMessageDeflate: false,
        verifyClient: ({ req }: { req: IncomingMessage; }) => this.isAuthorized(req),
    });

    constructor(
        private readonly getKey: () => string | undefined,
        private readonly handleRequest: RequestHandler,
        private readonly log: Logger,
    ) {
        this.server.on("connection", socket => this.onConnection(socket));
    }

    async listen(host: string, port: number): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.http.once("error", reject);
            this.http.listen(port, host, () => resolve());
        });
        return (this.http.address() as AddressInfo).port;
    }

    close(): void {
        this.server.clients.forEach(client => client.terminate());
        this.http.close();
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
            void this.respond(frame).then(response => socket.send(this.packr.pack(response))).finally(release);
        });
    }

    private readFrame(data: Buffer): RequestFrame | undefined {
        try {
            const frame = this.packr.unpack(data) as Partial<RequestFrame>;
            const isValid = typeof frame.id === "number" && typeof frame.leftMs === "number" &&
                typeof frame.question === "object";
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
