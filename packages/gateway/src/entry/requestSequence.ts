/** Order of the requests that a caller sends on one connection without awaiting the answers (pipelining). */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Lets the requests of a connection be served one after the other, so that none runs whose answer can't be sent because
 * an earlier one ends the connection.
 */
export class RequestSequence {
    private readonly newest = new WeakMap<Socket, ServerResponse>();

    /**
     * Waits until all earlier requests of the connection have been answered; resolves to false if it ends before that. Keeps the
     * answer before from ending the connection, if its head has not been sent.
     *
     * @example
     * if (!await sequence.enter(req, res)) {
     *     return; // The request has not been served, and there is no connection left for an answer.
     * }
     */
    enter(req: IncomingMessage, res: ServerResponse): Promise<boolean> {
        const { socket } = req;
        const previous = this.newest.get(socket);
        this.newest.set(socket, res);
        // The server gives a response its connection when all before it have been sent.
        if (res.socket !== null) {
            return Promise.resolve(true);
        }
        if (previous?.headersSent === false) {
            // The connection must stay open for the answer to this request.
            previous.removeHeader("Connection");
        }
        return untilTurn(socket, res);
    }

    /** Whether no request has arrived on the connection after the given one. */
    isNewest({ socket }: IncomingMessage, res: ServerResponse): boolean {
        return this.newest.get(socket) === res;
    }
}

/** The server assigns the connection to a response once the ones before it have been sent. */
const untilTurn = (socket: Socket, res: ServerResponse): Promise<boolean> =>
    new Promise(resolve => {
        const onClose = (): void => resolve(false);
        // Each waiting request adds a listener, of which there may be more than the ten that the runtime warns about.
        socket.setMaxListeners(0);
        socket.once("close", onClose);
        res.once("socket", () => {
            socket.off("close", onClose);
            resolve(true);
        });
    });
