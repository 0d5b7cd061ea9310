/** Stops and resumes reading from a connection of a caller. */
import type { Socket } from "node:net";

/**
 * The HTTP server resumes a connection for reasons of its own, such as a request whose body is read. A gate keeps it paused
 * as long as anyone asks for that.
 *
 * @example
 * const gate = ReadGate.of(req.socket);
 * gate.set(this, true); // Nothing is read until `gate.set(this, false)`.
 */
export class ReadGate {
    private static readonly gates = new WeakMap<Socket, ReadGate>();
    private readonly reasons = new Set<object>();
    private isOpen = false;
    private isClosed = false;

    private constructor(private readonly socket: Socket) {
        socket.on("resume", () => (this.reasons.size > 0 || this.isClosed) && socket.pause());
    }

    /** Returns the gate of a connection; there is one for each. */
    static of(socket: Socket): ReadGate {
        const gate = this.gates.get(socket) ?? new ReadGate(socket);
        this.gates.set(socket, gate);
        return gate;
    }

    /** Adds or removes a reason for which the connection is not read; it is read again once there is none. */
    set(reason: object, isPaused: boolean): void {
        const { socket } = this;
        if (this.isClosed) {
            return;
        }
        if (isPaused && !this.isOpen) {
            this.reasons.add(reason);
            socket.pause();
            return;
        }
        if (this.reasons.delete(reason) && this.reasons.size === 0 && !socket.destroyed) {
            socket.resume();
        }
    }

    /** Lets the rest of the connection's input be read, whatever is asked for later. */
    open(): void {
        this.isOpen = true;
        [...this.reasons].forEach(reason => this.set(reason, false));
    }

    /** Reads nothing any more, whatever is asked for later. */
    close(): void {
        this.isClosed = true;
        this.socket.pause();
    }
}
