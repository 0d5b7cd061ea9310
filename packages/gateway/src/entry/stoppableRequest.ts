/** Stops the HTTP parser within a read of a connection. */
import { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * Creates the class of a server's requests. The parser goes on to the end of a read of 64 KB, which may have thousands of heads,
 * whether or not the connection is paused or closed. Only a request that takes over its connection stops it: one that arrives
 * when `isFull` says so is reported by the server's event `upgrade`, and what follows it is not parsed.
 *
 * @example
 * const server = createServer({ IncomingMessage: stoppableRequest(socket => socket.destroyed) });
 * server.on("upgrade", (req, socket) => socket.destroy());
 */
export const stoppableRequest = (isFull: (socket: Socket) => boolean): typeof IncomingMessage =>
    class extends IncomingMessage {
        private asksForUpgrade = false;
        private isStopped = false;

        /** Set by the parser for each head, and read by the server once after the head and once after the read. */
        set upgrade(value: unknown) {
            if (typeof value === "boolean") {
                this.asksForUpgrade = value;
                this.isStopped ||= isFull(this.socket);
            }
        }

        /** Of requests that ask for an upgrade only tunnels take over their connection; others are served as usual. */
        get upgrade(): boolean {
            return this.isStopped || (this.asksForUpgrade && this.method === "CONNECT");
        }
    };
