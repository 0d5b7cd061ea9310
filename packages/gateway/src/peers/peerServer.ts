/** Answers the questions of peers. */
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

import type { AnswerFrame, JournalQuestion, PeerQuestion, QuestionFrame } from "./peerMessages.js";

const maxFrameBytes = 4 * 1024 * 1024;

/** Answers a question; what it throws becomes a failed answer. */
export type AnswerFunction = (question: PeerQuestion | JournalQuestion, progress: Progress) => Promise<unknown>;

/** The port for peers. */
export class PeerServer {
    private readonly packr = new Packr({ useRecords: false });
    private readonly http = createServer();
    private readonly server = new WebSocketServer({
        server: this.http,
        path: "/peer",
        maxPayload: maxFrameBytes,
        perMessageDeflate: false,
        verifyClient: ({ req }: { req: IncomingMessage; }) => this.isAuthorized(req),
    });

    constructor(
        private readonly key: () => string | undefined,
        private readonly answer: AnswerFunction,
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
        const key = this.key();
        const sent = Buffer.from(req.headers.authorization ?? "");
        const expected = Buffer.from(`Bearer ${key ?? ""}`);
        const isAuthorized = key !== undefined && sent.length === expected.length && timingSafeEqual(sent, expected);
        if (!isAuthorized) {
            this.log.warn("peer refused", {
                from: req.socket.remoteAddress,
                reason: "it does not have the shared key",
            });
        }
        return isAuthorized;
    }

    private onConnection(socket: WebSocket): void {
        socket.on("error", err => this.log.info("peer connection failed", { error: err.message }));
        socket.on("message", (data: Buffer) => {
            const frame = this.readFrame(data);
            if (frame === undefined) {
                socket.terminate();
                return;
            }
            void this.respond(frame).then(answer => socket.send(this.packr.pack(answer)));
        });
    }

    private readFrame(data: Buffer): QuestionFrame | undefined {
        try {
            const frame = this.packr.unpack(data) as Partial<QuestionFrame>;
            const isWhole = typeof frame.id === "number" && typeof frame.leftMs === "number" &&
                typeof frame.question === "object";
            return isWhole ? frame as QuestionFrame : undefined;
        }
        catch (err) {
            this.log.warn("peer frame refused", { error: asError(err).message });
            return undefined;
        }
    }

    private async respond({ id, leftMs, question }: QuestionFrame): Promise<AnswerFrame> {
        const progress = new Progress(leftMs);
        try {
            return { id, value: await progress.race(this.answer(question, progress)) };
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
