/** Refuses input on a connection that is not a request that can be served. */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { Socket } from "node:net";

import type { CallerConnections, HeadRefusal } from "./callerConnections.js";
import { closeLingering, isLingering } from "./lingeringClose.js";
import type { RefusalLog } from "./refusalLog.js";

const badRequest = "400 Bad Request";
const late = "408 Request Timeout";
const tooManyRequests = "503 Service Unavailable";
const headTooLarge = "431 Request Header Fields Too Large";

/** Answers with a status and ends the connection, after the answers to the requests before. */
export class ConnectionRefuser {
    constructor(
        private readonly callers: CallerConnections,
        private readonly refusals: RefusalLog,
        private readonly log: Logger,
    ) {}

    /** The parser has found input that is not a valid request, or the server has given up waiting for one. */
    onClientError(err: Error, socket: Socket): void {
        if (isLingering(socket) || this.callers.get(socket)?.isEnding) {
            // The parser reports what follows on a connection that is already refused.
            return;
        }
        const { code } = err as { code?: string; };
        if (code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        const status = code === "HPE_HEADER_OVERFLOW" ?
            headTooLarge :
            code === "ERR_HTTP_REQUEST_TIMEOUT" ?
            late :
            badRequest;
        this.log.info("request refused", { error: asError(err).message, code, status });
        void this.refuse(socket, status);
    }

    /** A head was not completed within its limits of time and size. */
    onHead(socket: Socket, refusal: HeadRefusal): void {
        this.refusals.add(refusal === "late" ? "head late" : "head too large");
        void this.refuse(socket, refusal === "late" ? late : headTooLarge);
    }

    /** A request asks for a tunnel. */
    onTunnel(socket: Socket): void {
        this.log.info("request refused", { error: "a request for a tunnel", status: badRequest });
        // The server no longer reads the connection, and only one that is read tells that its caller has left.
        socket.on("error", () => socket.destroy());
        socket.resume();
        void this.refuse(socket, badRequest);
    }

    /** More requests have arrived on a connection than may wait there. The first of those beyond is refused, the others are not read. */
    onTooManyRequests(socket: Socket): void {
        // The server no longer listens for errors.
        socket.on("error", () => socket.destroy());
        const connection = this.callers.get(socket);
        if (connection === undefined || socket.destroyed) {
            return;
        }
        this.refusals.add("requests");
        // The server has given up the connection, and no longer tells the answers before that they may be continued.
        socket.on("drain", () => [...connection.unsent][0]?.emit("drain"));
        socket.resume();
        void this.refuse(socket, tooManyRequests);
    }

    /** A caller takes answers in the order of its requests, so that those before come first. */
    private async refuse(socket: Socket, status: string): Promise<void> {
        const connection = this.callers.get(socket);
        if (connection === undefined || connection.isEnding) {
            return;
        }
        connection.isEnding = true;
        const unsent = [...connection.unsent].filter(res => res.req.complete);
        await Promise.all(unsent.map(res => new Promise(resolve => res.once("close", resolve))));
        if (socket.writable) {
            socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
            closeLingering(socket);
        }
    }
}
